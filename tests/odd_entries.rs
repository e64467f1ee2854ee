//! Daemons as real processes that read lists with entries of another writer.

mod support;

use borageshore_net::{Clock, run_event_loop, sleep_ms};
use borageshore_standins::platform::{PlatformService, PlatformStore, StoreMode};
use serde_json::json;
use support::{Fleet, KEY, put_routes, route};

/// The records of a page of the store.
const PAGE_RECORDS: usize = 500;
/// About the size of the values of a page.
const PAGE_BYTES: usize = 1_024 * 1_024;
const MAX_KEY_BYTES: usize = 255;
/// How long a daemon takes to apply a record of the operator or of an endpoint.
const APPLY_MS: u64 = 400;

/// Lists an endpoint of a service that no route leads to.
fn list_other(store: &PlatformStore, key: &[u8]) {
    let entry = json!({
        "service": "other", "address": "127.0.0.1:9", "zone": "a1", "version": "v1", "slots": 6, "state": "ready",
        "cold_left_ms": 0, "seq": 1,
    });
    store.put("keyed.servers", key, entry.to_string().as_bytes());
}

fn service(store: &PlatformStore, name: &str, id: &str) -> PlatformService {
    let service = PlatformService::bind(name, id, Clock::start()).unwrap();
    service.set_zone("a1");
    service.list(store, &service.address().to_string(), "ready");
    service
}

/// Three pages of entries, the first of which ends with this key.
fn list_pages(store: &PlatformStore, odd: &[u8]) {
    for number in 1..PAGE_RECORDS - 1 {
        list_other(store, format!("i-0{number:03}").as_bytes());
    }
    store.put("keyed.servers", odd, b"\xff\0 no entry");
    for number in 0..PAGE_RECORDS + 100 {
        list_other(store, format!("i-2{number:03}").as_bytes());
    }
}

/// Restarts the first daemon and waits until it has read all lists.
async fn restart(fleet: &Fleet) {
    fleet.kill(0);
    fleet.start(0);
    fleet.wait_until_ready().await;
    sleep_ms(APPLY_MS).await;
}

/// Checks that the first daemon has a request served.
async fn check_served(fleet: &Fleet, path: &str, beside: &str) {
    let answer = fleet.request(0, "POST", path, path, "body".into()).await;
    let folder = fleet.folder().display();
    assert_eq!(
        answer.status, 200,
        "{path} beside {beside}; logs in {folder}"
    );
}

/// Restarts a daemon while an entry with such a name stands at the end of a page, among endpoints on both sides of it.
fn check_name(odd: &[u8]) {
    run_event_loop(async {
        let fleet = Fleet::open(&["a1"]).await;
        let routes = [
            route("first", "unsafe", "first", json!([])),
            route("last", "unsafe", "last", json!([])),
        ];
        put_routes(&fleet.store, 1, &routes, &[]);
        list_pages(&fleet.store, odd);
        let _first = service(&fleet.store, "first", "i-0000");
        let _last = service(&fleet.store, "last", "i-15");
        fleet.wait_until_ready().await;
        restart(&fleet).await;
        for path in ["/first/x", "/last/x"] {
            check_served(&fleet, path, &odd.escape_ascii().to_string()).await;
        }
    });
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // A page of the store is larger than what a daemon reads, because JSON takes six bytes for each byte of its keys.
    a_daemon_starts_beside_the_largest_page => {
        run_event_loop(async {
            let fleet = Fleet::open(&["a1"]).await;
            put_routes(&fleet.store, 1, &[route("last", "unsafe", "last", json!([]))], &[]);
            for number in 0..PAGE_RECORDS {
                let key = [&[1; MAX_KEY_BYTES - 3][..], format!("{number:03}").as_bytes()].concat();
                fleet.store.put("keyed.servers", key, &vec![b'['; PAGE_BYTES / PAGE_RECORDS]);
            }
            let _last = service(&fleet.store, "last", "i-1");
            fleet.wait_until_ready().await;
            restart(&fleet).await;
            check_served(&fleet, "/last/x", "the largest page").await;
        });
    }

    // Daemons that start read a list without end and never become ready.
    a_daemon_starts_beside_lists_that_do_not_end => {
        run_event_loop(async {
            let fleet = Fleet::open(&["a1"]).await;
            put_routes(&fleet.store, 1, &[route("last", "unsafe", "last", json!([]))], &[]);
            list_pages(&fleet.store, b"i-1 odd");
            let _last = service(&fleet.store, "last", "i-3000");
            fleet.wait_until_ready().await;
            fleet.store.set_mode(StoreMode::EndlessLists);
            restart(&fleet).await;
            check_served(&fleet, "/last/x", "lists without end").await;
            let log = fleet.log(0);
            let lines = log.lines().filter(|line| line.contains("list is not read to its end"));
            assert!((1..=10).contains(&lines.count()), "a line for each list: {log}");
        });
    }
}

/// Writes records that no daemon and no operator writes, in each topic that all daemons read.
fn put_odd_records(store: &PlatformStore) {
    for topic in [
        "keyed.members",
        "keyed.op",
        "keyed.index",
        "keyed.orders",
        "keyed.feeders",
        "keyed.servers",
    ] {
        for key in [
            "odd &+#% 1",
            "version/odd &+#% 1",
            "crash/odd",
            "suspect/odd",
            "evacuate",
        ] {
            store.put(topic, key, b"{ odd");
        }
        store.put(topic, b"odd \xff", b"{ odd");
    }
}

/// An entry of the service with a field replaced by a text in JSON.
fn entry_with(field: &str, text: &str) -> Vec<u8> {
    let mut entry = json!({
        "service": "last", "address": "127.0.0.1:9", "zone": "a1", "version": "v1", "slots": 6, "state": "ready",
        "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000_u64,
        "models": [{ "name": "m0", "version": 1, "adapters": [] }],
    });
    entry[field] = json!("REPLACED");
    entry.to_string().replace("\"REPLACED\"", text).into_bytes()
}

/// Writes an entry beside a sound one of the same service, and restarts a daemon beside it.
fn check_value(value: &[u8]) {
    run_event_loop(async {
        let fleet = Fleet::open(&["a1"]).await;
        put_routes(
            &fleet.store,
            1,
            &[route("last", "unsafe", "last", json!([]))],
            &[],
        );
        let _last = service(&fleet.store, "last", "i-1");
        fleet.wait_until_ready().await;
        for is_restarted in [false, true] {
            fleet.store.put("keyed.servers", "i-2", value);
            if is_restarted {
                fleet.kill(0);
                fleet.start(0);
                fleet.wait_until_ready().await;
            }
            sleep_ms(APPLY_MS).await;
            for number in 0..4 {
                let id = format!("{is_restarted}-{number}");
                let answer = fleet
                    .request(0, "POST", "/last/x", &id, "body".into())
                    .await;
                assert_eq!(
                    answer.status,
                    200,
                    "{id}; logs in {}",
                    fleet.folder().display()
                );
            }
            for _ in 0..5 {
                fleet.store.put("keyed.servers", "i-2", value);
                sleep_ms(50).await;
            }
        }
        let log = fleet.log(0);
        let lines: Vec<&str> = log.lines().filter(|line| line.contains("i-2")).collect();
        let is_rejection = |line: &&str| line.contains("not using the endpoint");
        assert!(lines.iter().all(is_rejection), "it is used: {lines:?}");
        assert_eq!(lines.len(), 2, "a line for each start: {lines:?}");
    });
}

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

macro_rules! values {
    ($($name:ident: $value:expr;)*) => {
        $(#[test] fn $name() { check_value($value.as_ref()) })*
    };
}

// Guard against daemons that end, or stop to follow the list, because of what an entry of another writer holds.
values! {
    an_entry_that_is_nested_deeply: nested(100_000);
    an_entry_with_a_field_that_is_nested_deeply: entry_with("zone", &nested(100_000));
    an_entry_with_adapters_that_are_nested_deeply: entry_with("models", &format!(r#"[{{"name":"m0","version":1,"adapters":{}}}]"#, nested(100_000)));
    an_entry_with_an_unknown_field_that_is_nested_deeply: entry_with("slots", &format!(r#"6,"x":{}"#, nested(100_000)));
    an_entry_of_the_largest_size: vec![b'['; 256 * 1024 - 8];
    an_entry_with_a_port_out_of_range: entry_with("address", r#""127.0.0.1:65536""#);
    an_entry_with_a_negative_port: entry_with("address", r#""127.0.0.1:-1""#);
    an_entry_with_port_zero: entry_with("address", r#""127.0.0.1:0""#);
    an_entry_with_an_unspecified_address: entry_with("address", r#""0.0.0.0:9""#);
    an_entry_with_more_slots_than_64_bits: entry_with("slots", "18446744073709551616");
    an_entry_with_the_most_slots_of_64_bits: entry_with("slots", "18446744073709551615");
    an_entry_with_an_infinite_number: entry_with("cold_left_ms", "1e999");
    an_entry_with_a_start_beyond_64_bits: entry_with("born", "1e300");
    an_entry_with_the_last_start_of_64_bits: entry_with("born", "18446744073709551615");
    an_entry_with_the_last_version_of_64_bits: entry_with("models", r#"[{"name":"m0","version":18446744073709551615,"adapters":[]}]"#);
    an_entry_that_leaves_in_the_far_future: entry_with("leaves_ms", "1e300");
}

cases! {
    // All callers with keys are refused because of an odd record beside the operator's.
    an_odd_version_leaves_callers_with_keys_alone => {
        run_event_loop(async {
            let fleet = Fleet::open(&["a1"]).await;
            let organisations = [json!({ "name": "mill", "api_keys": [KEY] })];
            put_routes(&fleet.store, 1, &[route("last", "unsafe", "last", json!([]))], &organisations);
            let _last = service(&fleet.store, "last", "i-1");
            fleet.wait_until_ready().await;
            fleet.store.put("keyed.op", "version/odd &+#% 1", b"{ odd");
            sleep_ms(APPLY_MS).await;
            check_served(&fleet, "/last/x", "an odd version").await;
        });
    }

    // Callers are sent to an address that another writer listed for a daemon.
    a_daemon_is_listed_under_its_own_name_only => {
        run_event_loop(async {
            let fleet = Fleet::open(&["a1", "a2"]).await;
            put_routes(&fleet.store, 1, &[route("last", "unsafe", "last", json!([]))], &[]);
            let _last = service(&fleet.store, "last", "i-1");
            fleet.wait_until_ready().await;
            let listed = fleet.resolve(0, "a", "a1").await;
            let odd = json!({
                "name": "vm-1", "incarnation": u64::MAX, "zone": "a2", "http_address": "127.0.0.1:9",
                "peer_address": "127.0.0.1:9", "state": "Ready", "capacity_percent": 50, "holds": [],
            });
            for _ in 0..10 {
                fleet.store.put("keyed.members", "odd &+#% 1", odd.to_string().as_bytes());
                sleep_ms(100).await;
            }
            assert_eq!(listed.len(), 2, "{listed:?}");
            assert_eq!(fleet.resolve(0, "a", "a1").await, listed, "logs in {}", fleet.folder().display());
        });
    }

    // Records of another writer in any topic end what a daemon does with the others, or fill its log.
    odd_records_in_any_topic_change_nothing => {
        run_event_loop(async {
            let fleet = Fleet::open(&["a1"]).await;
            let organisations = [json!({ "name": "mill", "api_keys": [KEY] })];
            put_routes(&fleet.store, 1, &[route("last", "unsafe", "last", json!([]))], &organisations);
            let _last = service(&fleet.store, "last", "i-1");
            fleet.wait_until_ready().await;
            for is_restarted in [false, true] {
                put_odd_records(&fleet.store);
                if is_restarted {
                    fleet.kill(0);
                    fleet.start(0);
                    fleet.wait_until_ready().await;
                }
                for _ in 0..10 {
                    put_odd_records(&fleet.store);
                    sleep_ms(100).await;
                }
                let served = fleet.request(0, "POST", "/last/x", "served", "body".into()).await;
                let unknown = fleet.request(0, "GET", "/unknown/x", "unknown", String::new()).await;
                let statuses = (served.status, unknown.status);
                assert_eq!(statuses, (200, 404), "{is_restarted}; logs in {}", fleet.folder().display());
            }
            let log = fleet.log(0);
            let odd: Vec<&str> = log.lines().filter(|line| line.contains("odd")).collect();
            // Two starts, and a line for each of the records that concern a daemon.
            assert!(odd.len() <= 2 * 36, "{} lines: {:?}", odd.len(), &odd[..40]);
        });
    }
}

macro_rules! names {
    ($($name:ident: $odd:expr;)*) => {
        $(#[test] fn $name() { check_name($odd.as_ref()) })*
    };
}

// Guard against daemons that never become ready, or miss endpoints, because of the name of an entry of another writer.
names! {
    a_name_with_an_ampersand: "i-1&odd";
    a_name_with_a_plus: "i-1+odd";
    a_name_with_a_hash: "i-1#odd";
    a_name_with_a_percent_sign: "i-1%39odd";
    a_name_with_a_percent_sign_that_escapes_nothing: "i-1%odd";
    a_name_with_a_blank: "i-1 odd";
    a_name_with_a_control_byte: "i-1\x01\r\nodd";
    a_name_with_an_equals_sign: "i-1=odd";
    a_name_with_letters_above_ascii: "i-1é";
    a_name_of_bytes_that_are_no_text: b"i-1\xff\xfe";
    a_name_with_all_of_them: b"i-1&+#% =?\xc3\xa9\x7f\xff";
}
