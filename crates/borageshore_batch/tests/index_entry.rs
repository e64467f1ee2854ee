//! Encoding of index entries.

use std::sync::Arc;

use borageshore_batch::{Demand, IndexEntry, SubmissionOrigin};
use borageshore_topology::Residency;
use serde_json::{Value, json};

fn entry() -> IndexEntry {
    IndexEntry {
        work_key: "llm/0".into(),
        trainer: "m".into(),
        demand: Demand {
            tokens: 7,
            items: 2,
        },
        record_bytes: 0,
        entered_at_ms: 5,
        is_ended: false,
        allowed_regions: None,
        origin: None,
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // A daemon cannot decode the entries of older daemons and forgets their submissions.
    entries_of_older_daemons_have_no_restriction => {
        let text = json!({ "work_key": "llm/0", "expected_tokens": 7, "entered_at_ms": 5, "is_ended": false });
        let decoded: IndexEntry = serde_json::from_value(text).unwrap();
        assert_eq!(decoded.residency(), Residency::anywhere());
        assert_eq!((decoded.origin, decoded.record_bytes), (None, 0));
    }

    // Entries of deployments without regions grow, or an empty set of regions becomes no restriction.
    restrictions_are_kept_and_cost_nothing_where_there_are_none => {
        let plain = serde_json::to_value(entry()).unwrap();
        assert!(plain.get("record_bytes").is_none() && plain.get("allowed_regions").is_none() && plain.get("origin").is_none());
        for regions in [vec![], vec![Arc::from("a"), Arc::from("b")]] {
            let origin = SubmissionOrigin {
                host: "h".into(), path: "/p".into(), organisation: Some("mill".into()), service: "llm".into(),
            };
            let restricted = IndexEntry { allowed_regions: Some(regions.clone()), origin: Some(origin), ..entry() };
            let text: Value = serde_json::to_value(&restricted).unwrap();
            let decoded: IndexEntry = serde_json::from_value(text).unwrap();
            assert_eq!(decoded, restricted);
            assert_eq!(decoded.residency(), Residency::within(regions));
        }
    }
}
