//! Lists of the store with records that cannot be read, or that are not continued, or do not end.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Once,
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use borageshore_net::{CallError, run_event_loop};
use borageshore_platform::{NewestList, Store, StoreCall, StoreError, StoreTransport, Topic};
use bytes::Bytes;
use hyper::StatusCode;
use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{self, Key, VisitSource},
};
use serde_json::json;

/// A reader that does not end stops here, so that a fault fails the test instead of blocking it.
const MAX_CALLS: usize = 2_000;
/// Keys that a query need not escape, on both sides of odd ones.
const PLAIN: [&str; 7] = ["a", "b", "i-0", "i-1", "i-2", "y", "z"];

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// A line with its fields.
struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

/// Collects the lines of each test's thread.
struct Lines;

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.target().starts_with("borageshore_platform") {
            let mut line = Line(record.args().to_string());
            record.key_values().visit(&mut line).unwrap();
            LINES.with_borrow_mut(|lines| lines.push(line.0));
        }
    }

    fn flush(&self) {}
}

fn collect_lines() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&Lines).unwrap();
        log::set_max_level(LevelFilter::Info);
    });
}

fn lines() -> usize {
    LINES.with_borrow(Vec::len)
}

/// How a store returns its lists.
#[derive(Debug, Clone, Copy)]
enum Habit {
    /// Reads the key after which it continues without decoding it.
    Undecoded,
    /// Rejects, with this status, to continue after a key that has to be escaped.
    Rejects(u16),
    /// Always says that there is more, and returns the last page again.
    RepeatsLast,
    /// Always says that there is more, and returns empty pages.
    EmptyPages,
    /// Lists ever new keys behind the others.
    Endless,
    /// Answers with this status, each second time.
    Fails(u16),
}

#[derive(Debug, Clone)]
struct OddStore {
    keys: Rc<Vec<String>>,
    /// Added to each page, as they are.
    items: Rc<Vec<String>>,
    habit: Habit,
    page_records: usize,
    calls: Rc<Cell<usize>>,
}

fn item(key: &str) -> String {
    json!({ "key": key, "value": BASE64_STANDARD.encode(key), "offset": 1 }).to_string()
}

impl OddStore {
    fn open(habit: Habit, keys: &[&str]) -> Self {
        let mut keys: Vec<String> = keys.iter().map(|key| (*key).to_owned()).collect();
        keys.sort();
        Self {
            keys: Rc::new(keys),
            items: Rc::default(),
            habit,
            page_records: 2,
            calls: Rc::default(),
        }
    }

    fn with_items(items: &[String]) -> Self {
        Self {
            items: Rc::new(items.to_vec()),
            ..Self::open(Habit::Fails(503), &PLAIN)
        }
    }

    fn page(&self, after: &str) -> (Vec<String>, bool) {
        let is_later = |key: &&String| after.is_empty() || key.as_str() > after;
        let later: Vec<&String> = self.keys.iter().filter(is_later).collect();
        let items = later.iter().take(self.page_records).map(|key| item(key));
        let items: Vec<String> = items.collect();
        let has_more = later.len() > self.page_records;
        match self.habit {
            Habit::RepeatsLast if items.is_empty() => (
                self.keys
                    .iter()
                    .rev()
                    .take(2)
                    .map(|key| item(key))
                    .collect(),
                true,
            ),
            Habit::RepeatsLast | Habit::EmptyPages => (items, true),
            Habit::Endless if items.len() < self.page_records => {
                let first = self.calls.get() * self.page_records;
                let more =
                    (0..self.page_records).map(|number| item(&format!("~{:09}", first + number)));
                (items.into_iter().chain(more).collect(), true)
            }
            _ => (items, has_more),
        }
    }
}

impl StoreTransport for OddStore {
    async fn call(&self, call: StoreCall) -> Result<(StatusCode, Bytes), CallError> {
        self.calls.set(self.calls.get() + 1);
        assert!(self.calls.get() <= MAX_CALLS, "the reader does not end");
        let (_, query) = call.target.split_once('?').unwrap_or_default();
        let mut parameters = form_urlencoded::parse(query.as_bytes());
        let after = parameters.find(|(name, _)| name == "after");
        let after = after.map(|(_, key)| key.into_owned()).unwrap_or_default();
        let raw = query.split("&after=").nth(1).unwrap_or_default();
        let after = match self.habit {
            Habit::Undecoded => raw,
            Habit::Rejects(status) if raw != after => {
                return Ok((StatusCode::from_u16(status).unwrap(), Bytes::new()));
            }
            Habit::Fails(status) if self.calls.get() % 2 == 1 => {
                return Ok((StatusCode::from_u16(status).unwrap(), Bytes::new()));
            }
            _ => &after,
        };
        let (mut items, has_more) = self.page(after);
        items.splice(0..0, self.items.iter().cloned());
        let items = items.join(",");
        let page = format!(r#"{{"items":[{items}],"has_more":{has_more},"end":9}}"#);
        Ok((StatusCode::OK, Bytes::from(page.into_bytes())))
    }
}

/// Reads a list, also over pages that the store does not return at first.
fn read(store: &Store<OddStore>) -> NewestList {
    collect_lines();
    run_event_loop(async {
        let mut reader = store.newest_pages(Topic::Endpoints, 0, "");
        let mut records = Vec::new();
        loop {
            match reader.next_page().await {
                Ok(Some(page)) => records.extend(page.records),
                Ok(None) => break,
                Err(StoreError::NotDone(_) | StoreError::Unknown(_)) => {}
                Err(error) => panic!("{error}"),
            }
        }
        NewestList {
            end: 9,
            records,
            is_complete: reader.is_complete(),
        }
    })
}

fn keys(list: &NewestList) -> Vec<&str> {
    list.records.iter().map(|record| &*record.key).collect()
}

/// Checks that a list with odd keys holds all others, each once, and that reading it again logs nothing more.
fn check_others_listed(habit: Habit, odd: &[&str], is_complete: bool) {
    // Each odd key is the last one of a page in one of these.
    for plain in [&PLAIN[..], &PLAIN[1..]] {
        let store = Store::open(OddStore::open(habit, &[plain, odd].concat()));
        let lines_before = lines();
        let list = read(&store);
        let mut listed = keys(&list);
        listed.retain(|key| !odd.contains(key));
        assert_eq!(listed, plain, "{habit:?}");
        assert_eq!(list.is_complete, is_complete);
        let lines_after = lines();
        assert_eq!(lines_after - lines_before, usize::from(!is_complete));
        read(&store);
        assert_eq!(lines(), lines_after, "logged again");
    }
}

macro_rules! lists {
    ($($name:ident: $habit:expr, complete: $is_complete:literal, $($odd:literal),*;)*) => {
        $(#[test] fn $name() { check_others_listed($habit, &[$($odd),*], $is_complete) })*
    };
}

// Guard against readers that never end, or miss the other keys, where a list is not continued or not ended.
lists! {
    an_odd_key_that_is_read_undecoded: Habit::Undecoded, complete: true, "i-1 odd", "i-1&odd";
    odd_keys_that_are_read_undecoded: Habit::Undecoded, complete: true, "i-1 a", "i-1 b", "i-1 c", "i-1#", "i-1%41", "i-1é";
    an_odd_key_that_is_rejected: Habit::Rejects(400), complete: true, "i-1 odd";
    odd_keys_that_fill_a_page: Habit::Rejects(400), complete: false, "i-1 a", "i-1 b", "i-1 c", "i-1#", "i-1%41";
    an_odd_key_that_fails: Habit::Rejects(500), complete: true, "i-1&odd";
    a_key_above_ascii_that_is_rejected: Habit::Rejects(414), complete: true, "i-1é";
    odd_keys_behind_all_others: Habit::Rejects(400), complete: false, "~é", "~ü", "é", "ü";
    a_page_that_fails_once: Habit::Fails(500), complete: true, "i-1-odd";
    a_page_that_is_rejected_once: Habit::Fails(400), complete: true, "i-1-odd";
    a_last_page_that_comes_again: Habit::RepeatsLast, complete: false, "i-1 odd";
    pages_without_records: Habit::EmptyPages, complete: false, "i-1 odd";
}

/// An item that cannot be read as a record.
fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

macro_rules! items {
    ($($name:ident: $item:expr;)*) => {
        $(#[test] fn $name() {
            let store = Store::open(OddStore::with_items(&[$item.into()]));
            let list = read(&store);
            assert_eq!(keys(&list), PLAIN);
            let lines_before = lines();
            assert_eq!(lines_before, 1);
            read(&store);
            assert_eq!(lines(), lines_before, "logged again");
        })*
    };
}

// Guard against a list that cannot be read because of one of its records.
items! {
    a_record_that_is_null: "null";
    a_record_that_is_a_text: r#""i-1""#;
    a_record_without_fields: "{}";
    a_record_whose_key_is_null: r#"{"key":null,"value":"","offset":1}"#;
    a_record_whose_key_is_a_list: r#"{"key":["a"],"value":"","offset":1}"#;
    a_record_without_a_key: r#"{"value":"","offset":1}"#;
    a_record_without_a_value: r#"{"key":"i-1a","offset":1}"#;
    a_record_whose_value_is_null: r#"{"key":"i-1a","value":null,"offset":1}"#;
    a_record_whose_value_is_a_table: r#"{"key":"i-1a","value":{"a":[1]},"offset":1}"#;
    a_record_whose_value_is_nested_deeply: format!(r#"{{"key":"i-1a","value":{},"offset":1}}"#, nested(100_000));
    a_record_whose_offset_is_negative: r#"{"key":"i-1a","value":"","offset":-1}"#;
    a_record_whose_offset_is_too_large: r#"{"key":"i-1a","value":"","offset":1e300}"#;
    a_record_whose_value_is_cut_in_a_character: r#"{"key":"i-1a","value":"\ud800","offset":1}"#;
}

/// A store whose pages of a log hold no records, although there are some.
struct EmptyLog;

impl StoreTransport for EmptyLog {
    async fn call(&self, _call: StoreCall) -> Result<(StatusCode, Bytes), CallError> {
        let (end, first) = (9_u64.to_be_bytes(), 0_u64.to_be_bytes());
        Ok((StatusCode::OK, [end, first].concat().into()))
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // A daemon reads a list without end, and never becomes ready or runs out of memory.
    a_list_without_end_is_read_in_part => {
        let odd = OddStore { page_records: 500, ..OddStore::open(Habit::Endless, &PLAIN) };
        let list = read(&Store::open(odd));
        assert_eq!(keys(&list)[..PLAIN.len()], PLAIN);
        assert!(!list.is_complete);
        assert_eq!(lines(), 1);
    }

    // A search for one key never ends, because a list has ever new keys before it.
    a_search_in_a_list_without_end_fails => {
        collect_lines();
        let odd = OddStore { page_records: 500, ..OddStore::open(Habit::Endless, &PLAIN) };
        let found = run_event_loop(Store::open(odd).newest_of(Topic::Index, 0, "~~"));
        assert!(matches!(found, Err(StoreError::NotDone(_))), "{found:?}");
    }

    // Keys of callers, which the operator's records hold, appear in the log because a record cannot be decoded.
    what_an_unreadable_record_holds_is_not_logged => {
        for odd in [
            r#""k-secret""#,
            r#"{"key":"k","value":"","offset":"k-secret"}"#,
            r#"{"key":{"k-secret":1},"value":"","offset":1}"#,
        ] {
            read(&Store::open(OddStore::with_items(&[odd.to_owned()])));
        }
        let logged = LINES.with_borrow(|lines| lines.join("\n"));
        assert!(logged.contains("leaving it out") && !logged.contains("k-secret"), "{logged}");
    }

    // A daemon that follows a log calls the store without a pause.
    a_page_of_a_log_without_its_records_is_an_error => {
        let store = Store::open(EmptyLog);
        let read = |from| run_event_loop(store.read(Topic::Endpoints, 0, from, 1_000));
        assert!(matches!(read(3), Err(StoreError::NotDone(_))));
        assert!(read(9).unwrap().records.is_empty());
    }

    // A key that is no text in UTF-8, which JSON holds as lone surrogates, hides all others.
    a_key_of_lone_surrogates_hides_no_other => {
        let odd = r#"{"key":"i-1\udcff\udcfe","value":"","offset":1}"#.to_owned();
        let list = read(&Store::open(OddStore::with_items(&[odd])));
        let mut listed = keys(&list);
        listed.retain(|key| PLAIN.contains(key));
        assert_eq!(listed, PLAIN);
    }

    // A submission is said not to exist because its entry cannot be read, or not be reached.
    an_entry_that_cannot_be_read_is_not_missing => {
        let odd = r#"{"key":"i-1","value":null,"offset":1}"#.to_owned();
        let unreadable = OddStore { items: Rc::new(vec![odd]), ..OddStore::open(Habit::EmptyPages, &["a", "i-0"]) };
        for (store, key) in [(unreadable, "i-1"), (OddStore::open(Habit::Rejects(400), &["b&1", "b&2", "b&3"]), "b&3")] {
            let store = Store::open(store);
            let found = run_event_loop(store.newest_of(Topic::Index, 0, key));
            assert!(matches!(found, Err(StoreError::NotDone(_))), "{key}: {found:?}");
        }
    }
}
