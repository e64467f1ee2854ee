//! Daemons of which two read the store for the others, as in a large fleet.

mod support;

use borageshore_net::{run_event_loop, sleep_ms};
use borageshore_standins::platform::StoreMode;
use serde_json::json;
use support::{Fleet, put_routes, route};

const ZONES: [&str; 6] = ["a1"; 6];
/// How long the store refuses appends; daemons renew their records twice a second.
const BUSY_MS: u64 = 3_000;
const MEMBERS: &str = "keyed.members";
/// Once in each half second by each daemon, as if none wrote for another.
const MAX_APPENDS: usize = ZONES.len() * BUSY_MS as usize / 500;

async fn open() -> Fleet {
    let fleet = Fleet::open_fed(&ZONES).await;
    let entry = json!({
        "service": "app", "address": "127.0.0.1:9", "zone": "a1", "version": "v1", "slots": 6,
        "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    fleet
        .store
        .put("keyed.servers", "s-1", entry.to_string().as_bytes());
    put_routes(
        &fleet.store,
        1,
        &[route("app", "safe", "app", json!([]))],
        &[],
    );
    fleet.wait_until_ready().await;
    fleet
}

/// Refuses appends for a while; returns how many there were to the records of members.
async fn refuse_appends(fleet: &Fleet) -> usize {
    let before = fleet.store.appends(MEMBERS);
    fleet.store.set_mode(StoreMode::BusyAppends);
    sleep_ms(BUSY_MS).await;
    fleet.store.set_mode(StoreMode::Up);
    fleet.store.appends(MEMBERS) - before
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { run_event_loop($body); })*
    };
}

cases! {
    // Each daemon repeats the append that the store refused to its source, which keeps a busy store busy.
    a_refused_batch_is_not_appended_by_each_daemon => async {
        let fleet = open().await;
        refuse_appends(&fleet).await;
        let logs = (0..ZONES.len()).map(|number| fleet.log(number));
        let direct = logs.filter(|log| log.contains("writing it directly")).count();
        assert_eq!(direct, 0, "{}", fleet.folder().display());
    };

    // Refused records of members, and suspicions of a dead daemon, are sent again so often that a busy store stays busy.
    refused_records_of_members_are_sent_less_often => async {
        let fleet = open().await;
        fleet.kill(ZONES.len() - 1);
        let appends = refuse_appends(&fleet).await;
        assert!(appends <= MAX_APPENDS, "{appends}");
    };
}
