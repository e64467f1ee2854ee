//! Reads of the newest record of one key.

use std::{cell::Cell, rc::Rc, sync::Arc};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use borageshore_net::{CallError, run_event_loop};
use borageshore_platform::{Store, StoreCall, StoreTransport, Topic};
use bytes::Bytes;
use hyper::StatusCode;
use serde_json::json;

/// A store with these keys, each with itself as the value, that returns two keys at a time.
#[derive(Debug, Clone)]
struct TwoAtATime {
    keys: Vec<&'static str>,
    calls: Rc<Cell<usize>>,
}

impl StoreTransport for TwoAtATime {
    async fn call(&self, call: StoreCall) -> Result<(StatusCode, Bytes), CallError> {
        self.calls.set(self.calls.get() + 1);
        let (_, query) = call.target.split_once('?').unwrap_or_default();
        let mut parameters = form_urlencoded::parse(query.as_bytes());
        let after = parameters.find(|(name, _)| name == "after");
        let after = after.map(|(_, key)| key.into_owned()).unwrap_or_default();
        let later: Vec<&str> = self
            .keys
            .iter()
            .copied()
            .filter(|key| **key > *after)
            .collect();
        let item =
            |key: &&str| json!({ "key": key, "value": BASE64_STANDARD.encode(key), "offset": 1 });
        let items: Vec<_> = later.iter().take(2).map(item).collect();
        let page = json!({ "items": items, "has_more": later.len() > 2, "end": 9 });
        Ok((StatusCode::OK, page.to_string().into()))
    }
}

/// What is found of a key, with the number of calls.
fn found(keys: &[&'static str], key: &str) -> (Option<Arc<str>>, usize) {
    let calls = Rc::<Cell<usize>>::default();
    let transport = TwoAtATime {
        keys: keys.to_vec(),
        calls: calls.clone(),
    };
    let store = Store::open(transport);
    let record = run_event_loop(store.newest_of(Topic::Index, 0, key)).unwrap();
    (record.map(|record| record.key), calls.get())
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // A submission is said not to exist because the store returns only the keys after the one that is asked for, or
    // because others come before it.
    one_key_is_found_among_others => {
        let keys = ["a", "step-1", "step-10", "step-11", "step-12", "step-2", "z"];
        for key in keys {
            assert_eq!(found(&keys, key).0.as_deref(), Some(key));
        }
        assert_eq!(found(&keys, "step-1").1, 1);
        for key in ["step-13", "step", "zz", "0"] {
            assert_eq!(found(&keys, key).0, None, "{key}");
        }
    }

    // A search for a key that does not exist reads the whole topic.
    a_search_ends_behind_the_key => {
        let keys = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"];
        assert_eq!(found(&keys, "m11"), (None, 1));
    }
}
