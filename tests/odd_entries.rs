//! Daemons as real processes that read lists with entries of another writer.

mod support;

use borageshore_net::{Clock, run_event_loop, sleep_ms};
use borageshore_standins::platform::{PlatformService, PlatformStore, StoreMode};
use serde_json::json;
use support::{Fleet, put_routes, route};

/// The records of a page of the store.
const PAGE_RECORDS: usize = 500;
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
        fleet.kill(0);
        fleet.start(0);
        fleet.wait_until_ready().await;
        sleep_ms(APPLY_MS).await;
        for path in ["/first/x", "/last/x"] {
            let answer = fleet.request(0, "POST", path, path, "body".into()).await;
            assert_eq!(
                answer.status,
                200,
                "{path} beside {}; logs in {}",
                odd.escape_ascii(),
                fleet.folder().display()
            );
        }
    });
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Daemons that start read a list without end and never become ready.
    a_daemon_starts_beside_lists_that_do_not_end => {
        run_event_loop(async {
            let fleet = Fleet::open(&["a1"]).await;
            put_routes(&fleet.store, 1, &[route("last", "unsafe", "last", json!([]))], &[]);
            list_pages(&fleet.store, b"i-1 odd");
            let _last = service(&fleet.store, "last", "i-3000");
            fleet.wait_until_ready().await;
            fleet.kill(0);
            fleet.store.set_mode(StoreMode::EndlessLists);
            fleet.start(0);
            fleet.wait_until_ready().await;
            sleep_ms(APPLY_MS).await;
            let answer = fleet.request(0, "POST", "/last/x", "x", "body".into()).await;
            assert_eq!(answer.status, 200, "logs in {}", fleet.folder().display());
            let log = fleet.log(0);
            let lines = log.lines().filter(|line| line.contains("list is not read to its end"));
            assert!((1..=10).contains(&lines.count()), "a line for each list: {log}");
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
