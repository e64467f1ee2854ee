//! Reads of lists with keys that another writer chose.

use std::{cell::Cell, rc::Rc, sync::Arc};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use borageshore_net::{CallError, run_event_loop};
use borageshore_platform::{Store, StoreCall, StoreError, StoreTransport, Topic};
use bytes::Bytes;
use hyper::{StatusCode, Uri};
use serde_json::{Value, json};

const PAGE_RECORDS: usize = 2;
/// A reader that makes no progress stops here, so that a fault fails the test instead of blocking it.
const MAX_CALLS: usize = 200;

/// A store that returns few keys at a time and reads queries as HTTP servers do. Keys may be any bytes.
#[derive(Debug, Clone)]
struct FewAtATime {
    keys: Rc<Vec<Vec<u8>>>,
    calls: Rc<Cell<usize>>,
}

/// A parameter of a query, decoded as forms are.
fn parameter(uri: &Uri, name: &str) -> Vec<u8> {
    let query = uri.query().unwrap_or_default();
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let found = pairs.find(|(key, _)| key == name);
    found.map_or_else(Vec::new, |(_, value)| value.into_owned().into_bytes())
}

impl FewAtATime {
    fn open<Key>(keys: &[Key]) -> Self
    where
        Key: AsRef<[u8]>,
    {
        let mut keys: Vec<Vec<u8>> = keys.iter().map(|key| key.as_ref().to_vec()).collect();
        keys.sort();
        Self {
            keys: Rc::new(keys),
            calls: Rc::default(),
        }
    }

    fn page(&self, after: &[u8]) -> Value {
        let is_later = |key: &&Vec<u8>| after.is_empty() || key.as_slice() > after;
        let later: Vec<&Vec<u8>> = self.keys.iter().filter(is_later).collect();
        let item = |key: &&Vec<u8>| {
            json!({
                "key": String::from_utf8_lossy(key), "value": BASE64_STANDARD.encode(key.as_slice()), "offset": 1,
            })
        };
        let items: Vec<Value> = later.iter().take(PAGE_RECORDS).map(item).collect();
        json!({ "items": items, "has_more": later.len() > PAGE_RECORDS, "end": 9 })
    }
}

impl StoreTransport for FewAtATime {
    async fn call(&self, call: StoreCall) -> Result<(StatusCode, Bytes), CallError> {
        self.calls.set(self.calls.get() + 1);
        assert!(self.calls.get() <= MAX_CALLS, "the reader does not end");
        let uri: Uri = call
            .target
            .parse()
            .map_err(|error| CallError::NotSent(format!("{error}")))?;
        let page = self.page(&parameter(&uri, "after"));
        Ok((StatusCode::OK, page.to_string().into()))
    }
}

/// The keys that a reader of the whole list gets.
fn listed(store: &FewAtATime) -> Vec<Arc<str>> {
    let client = Store::open(store.clone());
    let page = run_event_loop(client.newest(Topic::Endpoints, 0, "")).unwrap();
    let mut keys: Vec<Arc<str>> = page.records.into_iter().map(|record| record.key).collect();
    keys.sort();
    keys
}

fn check_listed(keys: &[&str]) {
    let mut expected: Vec<&str> = keys.to_vec();
    expected.sort();
    let listed = listed(&FewAtATime::open(keys));
    let listed: Vec<&str> = listed.iter().map(|key| &**key).collect();
    assert_eq!(listed, expected);
}

macro_rules! names {
    ($($name:ident: $($odd:literal),+;)*) => {
        $(#[test] fn $name() {
            let mut keys = vec!["a", "b", "i-0", "i-1", "i-15", "i-9", "y", "z"];
            for odd in [$($odd),+] {
                // The odd key is the last one of a page in one of these, and the first one in the other.
                check_listed(&["a", "i-1", odd, "i-15", "i-9", "y", "z"]);
                check_listed(&["i-1", odd, "i-15", "i-9", "y", "z"]);
                keys.push(odd);
            }
            check_listed(&keys);
        })*
    };
}

// Guard against readers that start again, skip keys or get no answer, because a key is not escaped in the query.
names! {
    ampersands: "&", "i-1&a", "i-1&b", "i-1&c", "i-1&d&after=z";
    pluses: "+", "i-1+a", "i-1+b", "i-1+c", "i-1 a";
    hashes: "#", "i-1#a", "i-1#b", "i-1#c", "i-1#";
    percent_signs: "%", "i-1%", "i-1%39", "i-1%2", "i-1%zz", "i-1%%41";
    blanks: " ", "  ", "i-1 ", "i-1 a", " i-1";
    control_bytes: "\0", "i-1\0", "i-1\x01", "i-1\r\n", "i-1\t", "i-1\x7f";
    other_marks: "=", "i-1=", "i-1;a", "i-1?", "i-1\"", "i-1\\", "i-1<>", "i-1[]", "i-1{|}^`", "i-1'";
    letters_above_ascii: "é", "i-1é", "i-1日本", "i-1\u{10ffff}";
    names_of_submissions: "step#1:s/0/1", "step%411:r:x/0/1", "a+b:e/0/1";
}

/// What is found of a key.
fn found(store: &FewAtATime, key: &str) -> Option<Arc<str>> {
    let client = Store::open(store.clone());
    let record = run_event_loop(client.newest_of(Topic::Index, 0, key)).unwrap();
    record.map(|record| record.key)
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // A submission is said not to exist because of the name that its caller gave it.
    a_key_with_any_character_is_found => {
        let keys = ["step", "step#1", "step#10", "step%41", "stepA", "a+b", "a b", "step&1", "é"];
        let store = FewAtATime::open(&keys);
        for key in keys {
            assert_eq!(found(&store, key).as_deref(), Some(key));
        }
        for key in ["step#2", "a+c", "step%42", "step&"] {
            assert_eq!(found(&store, key), None, "{key}");
        }
    }

    // The end of a long name, which the wire has no room for, is written into the value, under a key that others may have.
    a_key_that_is_too_long_is_not_written => {
        let store = FewAtATime::open(&["a"]);
        let client = Store::open(store.clone());
        let record = [("k".repeat(256).into(), Bytes::from_static(b"value"))];
        let appended = run_event_loop(client.append(Topic::Orders, 0, &record, None));
        assert!(matches!(appended, Err(StoreError::NotDone(_))), "{appended:?}");
        assert_eq!(store.calls.get(), 0);
    }

    // The records of a submission are incomplete because of the name that its caller gave it.
    records_with_a_prefix_of_any_characters_are_found => {
        for id in ["step#1", "step%411", "a+b"] {
            let keys: Vec<String> = (0..7).map(|number| format!("{id}:r:{number}/0/1")).collect();
            let others = ["a", "a b:s/0/1", "step", "stepA1:s/0/1", "zz"].map(str::to_owned);
            let store = FewAtATime::open(&[&keys[..], &others[..]].concat());
            let client = Store::open(store);
            let prefix = format!("{id}:");
            let page = run_event_loop(client.newest(Topic::Batch(0), 0, &prefix)).unwrap();
            assert_eq!(page.records.len(), keys.len(), "{id}");
        }
    }
}
