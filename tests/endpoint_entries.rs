//! Decoding of endpoint entries.
//!
//! Guards against using an entry that no endpoint wrote, whose address could receive callers' requests.

use bolero::{TypeGenerator, check, produce};
use borageshore_platform::{EndpointEntry, decode_endpoint};
use borageshore_routing::{EndpointState, MAX_COLD_MS};
use serde_json::{Value, json};

const REQUIRED: [&str; 8] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_left_ms",
    "seq",
];
const ITERATIONS: usize = 3_000;

fn valid_entry() -> Value {
    json!({
        "service": "llm", "address": "10.1.0.9:8080", "zone": "z1", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "seq": 4, "stage": "both", "born": 1_700_000_000_000_u64,
        "models": [{ "name": "m0", "version": 3, "adapters": [] }],
    })
}

fn decode(entry: &Value) -> Option<EndpointEntry> {
    decode_endpoint("i-1", entry.to_string().as_bytes()).ok()
}

fn decode_with(field: &str, value: Value) -> Option<EndpointEntry> {
    let mut entry = valid_entry();
    entry[field] = value;
    decode(&entry)
}

/// A replacement for a field of a valid entry.
#[derive(Debug, Clone, TypeGenerator)]
enum ReplacementValue {
    Missing,
    Null,
    Bool(bool),
    Text(String),
    Fraction,
    Negative,
    List,
    Table,
}

impl ReplacementValue {
    fn replace(&self, entry: &mut Value, field: &str) {
        let value = match self {
            ReplacementValue::Missing => {
                entry.as_object_mut().expect("a table").remove(field);
                return;
            }
            ReplacementValue::Null => Value::Null,
            ReplacementValue::Bool(value) => json!(value),
            ReplacementValue::Text(text) => json!(format!("?{text}")),
            ReplacementValue::Fraction => json!(1.5),
            ReplacementValue::Negative => json!(-3),
            ReplacementValue::List => json!([1]),
            ReplacementValue::Table => json!({}),
        };
        entry[field] = value;
    }

    /// Returns whether the entry is still valid with this replacement.
    fn is_valid_for(&self, field: &str) -> bool {
        match field {
            "service" | "zone" | "version" => matches!(self, ReplacementValue::Text(_)),
            "cold_left_ms" => matches!(
                self,
                ReplacementValue::Fraction | ReplacementValue::Negative
            ),
            _ => false,
        }
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    a_valid_entry_is_decoded => {
        let entry = decode(&valid_entry()).unwrap();
        assert_eq!((&*entry.id, &*entry.listing.name), ("i-1", "i-1@1700000000000"));
        assert_eq!(entry.listing.state, EndpointState::Live);
        assert_eq!((entry.slots, entry.models[0].1), (8, 3));
    }

    an_entry_may_omit_its_start_time => {
        let mut entry = valid_entry();
        ReplacementValue::Missing.replace(&mut entry, "born");
        let entry = decode(&entry).unwrap();
        assert_eq!((entry.started_at_ms, &*entry.listing.name), (None, "i-1"));
    }

    // Reclaimable endpoints count as those that the operator provides, and are never ordered again.
    an_entry_says_whether_the_endpoint_may_be_reclaimed => {
        assert!(!decode(&valid_entry()).unwrap().is_spot);
        assert!(decode_with("spot", json!(true)).unwrap().is_spot);
        for value in [json!(null), json!(1), json!("true")] {
            assert_eq!(decode_with("spot", value.clone()), None, "{value}");
        }
    }

    a_start_time_that_is_not_a_whole_number_is_rejected => {
        for value in [json!(1.5), json!("1700000000000"), json!(null), json!(-1)] {
            assert_eq!(decode_with("born", value.clone()), None, "{value}");
        }
    }

    // Guards against engines that leave without their items moving off before.
    the_remaining_time_of_a_leaving_engine_is_decoded => {
        assert_eq!(decode(&valid_entry()).unwrap().leaves_ms, None);
        assert_eq!(decode_with("leaves_ms", json!(1_250.7)).unwrap().leaves_ms, Some(1_250));
        assert_eq!(decode_with("leaves_ms", json!(-3)).unwrap().leaves_ms, Some(0));
        for value in [json!("soon"), json!(null)] {
            assert_eq!(decode_with("leaves_ms", value.clone()), None, "{value}");
        }
    }

    // An endpoint stays cold for ever, or is never cold, because of a time that makes no sense.
    the_time_for_which_an_endpoint_stays_cold_is_decoded => {
        let left = |value| decode_with("cold_left_ms", value).unwrap().cold_left_ms;
        assert_eq!((left(json!(0)), left(json!(2_400.2)), left(json!(-5))), (0, 2_401, 0));
        assert_eq!(left(json!(1e300)), MAX_COLD_MS);
    }

    entries_with_an_invalid_state_address_slots_or_model_are_rejected => {
        assert_eq!(decode_with("state", json!("resting")), None);
        assert_eq!(decode_with("address", json!("somewhere")), None);
        assert_eq!(decode_with("slots", json!(0)), None);
        assert_eq!(decode_with("models", json!([{ "name": "m0" }])), None);
    }

    // Requests are sent to what another writer listed under a name of its own.
    names_that_no_endpoint_has_are_rejected => {
        let entry = valid_entry().to_string();
        let decode = |id: &str| decode_endpoint(id, entry.as_bytes());
        for id in ["i-7f3a91c2", "zone-1/i-1", "i:1", "I_1.a~b", "a=", "i(1)!"] {
            assert!(decode(id).is_ok(), "{id}");
        }
        for id in ["", "i&1", "i+1", "i#1", "i%31", "i 1", " ", "i\t1", "i\n", "i\0", "i\x7f", "ié", "\u{fffd}", "i\"1", "i<1>", "i{1}"] {
            assert!(decode(id).is_err(), "{id:?}");
        }
    }

    // Requests that are meant for an endpoint go to what was listed under the name of its instance.
    a_name_that_looks_like_another_instance_is_rejected => {
        let mut entry = valid_entry();
        assert!(decode_endpoint("i-1@5", entry.to_string().as_bytes()).is_ok());
        ReplacementValue::Missing.replace(&mut entry, "born");
        assert!(decode_endpoint("i-1@5", entry.to_string().as_bytes()).is_err());
    }

    // Sums of slots or versions overflow, or an endpoint counts as free without end.
    numbers_that_are_out_of_range_are_rejected => {
        let versions = |version: Value| json!([{ "name": "m0", "version": version, "adapters": [] }]);
        for number in [json!(u64::MAX), json!(1_u64 << 53), json!(1e300)] {
            for field in ["slots", "seq", "born", "leaves_ms"] {
                assert_eq!(decode_with(field, number.clone()), None, "{field}: {number}");
            }
            assert_eq!(decode_with("models", versions(number.clone())), None, "{number}");
        }
        let largest = json!((1_u64 << 53) - 1);
        for field in ["seq", "born", "leaves_ms"] {
            assert!(decode_with(field, largest.clone()).is_some(), "{field}");
        }
        assert!(decode_with("models", versions(largest)).is_some());
    }

    // What is ignored in an entry is read without a limit, so that one nested without end counts as an endpoint's.
    deeply_nested_entries_are_rejected => {
        let nested = |levels: usize| format!("{}{}", "[".repeat(levels), "]".repeat(levels));
        let entry = |field: &str, levels: usize| {
            let mut entry = valid_entry();
            match field {
                "adapters" => entry["models"][0][field] = json!(["REPLACED"]),
                field => entry[field] = json!("REPLACED"),
            }
            let text = entry.to_string().replace("\"REPLACED\"", &nested(levels));
            decode_endpoint("i-1", text.as_bytes())
        };
        for field in ["adapters", "unknown"] {
            assert!(entry(field, 20).is_ok(), "{field}");
            for levels in [200, 100_000] {
                assert!(entry(field, levels).is_err(), "{field}: {levels}");
            }
        }
        // Brackets in a text nest nothing.
        assert!(decode_with("zone", json!("[{\\\"[".repeat(200))).is_some());
    }

    // Requests are sent to this VM itself, or fail one after the other.
    addresses_that_no_endpoint_has_are_rejected => {
        for address in ["10.1.0.9:0", "0.0.0.0:80", "[::]:80", "10.1.0.9:65536", "10.1.0.9:-1", "10.1.0.9", "host:80"] {
            assert_eq!(decode_with("address", json!(address)), None, "{address}");
        }
        assert!(decode_with("address", json!("[::1]:65535")).is_some());
    }

    entries_with_a_missing_or_mistyped_field_are_rejected => {
        check!()
            .with_iterations(ITERATIONS)
            .with_generator(produce::<(u8, ReplacementValue)>())
            .for_each(|(field, replacement)| {
                let field = REQUIRED[usize::from(*field) % REQUIRED.len()];
                let mut entry = valid_entry();
                replacement.replace(&mut entry, field);
                assert_eq!(decode(&entry).is_some(), replacement.is_valid_for(field), "{field}: {replacement:?}");
            });
    }

    decoding_arbitrary_bytes_does_not_panic => {
        check!()
            .with_iterations(ITERATIONS)
            .for_each(|bytes: &[u8]| {
                let _ = decode_endpoint("i-1", bytes);
            });
    }
}
