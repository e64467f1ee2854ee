//! Evacuated zones: which records count, and which endpoints are offered.

use std::sync::Arc;

use borageshore_routing::{
    CallTerms, CallingDaemon, ChoiceRequest, Endpoint, EndpointListing, EndpointState,
    EndpointTable, EvacuationRecords, LoadSummary, OverloadControl, OverloadDecision,
    choose_endpoint, choose_from_subset,
};
use borageshore_topology::{Residency, Topology};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

const NOW_MS: u64 = 1_000;

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:block)*) => {
        $($(#[$meta])* #[test] fn $name() $body)*
    };
}

fn listing(name: &str, zone: &str) -> EndpointListing {
    EndpointListing {
        name: name.into(),
        service: "s".into(),
        zone: zone.into(),
        address: "127.0.0.1:1".into(),
        state: EndpointState::Live,
    }
}

/// Four endpoints in each of the zones a and b.
fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    for number in 0..4 {
        table.on_listed(listing(&format!("a{number}"), "a"));
        table.on_listed(listing(&format!("b{number}"), "b"));
    }
    table
}

fn evacuate(table: &mut EndpointTable, zone: &str, is_evacuated: bool) {
    table.evacuations_mut().set(&zone.into(), is_evacuated);
}

/// The zones of 100 choices of each kind, without repetitions.
fn chosen_zones(table: &EndpointTable) -> Vec<Arc<str>> {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let topology = Topology::single_region("a".into());
    let request = ChoiceRequest {
        service: "s",
        prefix: Some("prefix"),
        topology: &topology,
        residency: &Residency::anywhere(),
        tried: &[],
    };
    let daemon = CallingDaemon {
        name: "vm-1",
        has_idle: |_: &Endpoint| true,
    };
    let mut zones = Vec::new();
    for _ in 0..100 {
        let chosen = [
            choose_endpoint(table, request, NOW_MS, &mut random),
            choose_from_subset(table, daemon, request, NOW_MS, &mut random),
        ];
        let zone = |name: Arc<str>| table.get(&name).unwrap().listing.zone.clone();
        zones.extend(chosen.into_iter().flatten().map(zone));
    }
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// A view of the records of zone a.
#[derive(Debug, Default)]
struct View {
    records: EvacuationRecords,
    is_evacuated: bool,
    changes: usize,
}

impl View {
    fn record(mut self, offset: u64, is_evacuated: bool) -> Self {
        if self.records.on_record(&"a".into(), offset, is_evacuated) {
            self.is_evacuated = is_evacuated;
            self.changes += 1;
        }
        self
    }

    /// Loses track of the records and loads the newest ones, which end before `next_offset`.
    fn reload(mut self, newest: &[(u64, bool)], next_offset: u64) -> Self {
        self.records.on_gap();
        for (offset, is_evacuated) in newest {
            self = self.record(*offset, *is_evacuated);
        }
        if !self.records.on_loaded(next_offset).is_empty() {
            self.is_evacuated = false;
            self.changes += 1;
        }
        self
    }

    fn state(&self) -> (bool, usize) {
        (self.is_evacuated, self.changes)
    }
}

cases! {
    /// An endpoint of an evacuated zone is chosen for its free slots, its idle connection or a cached prefix.
    no_choice_offers_an_evacuated_zone => {
        let mut table = table();
        evacuate(&mut table, "a", true);
        assert_eq!(chosen_zones(&table), ["b".into()]);
        assert_eq!(LoadSummary::of(table.usable("s", NOW_MS), NOW_MS).endpoints, 4);
        evacuate(&mut table, "a", false);
        assert_eq!(chosen_zones(&table), ["a".into()], "the nearest zone again");
    }

    /// An endpoint that restarts or appears in an evacuated zone is used, as the order named zones and not instances.
    endpoints_that_come_and_go_stay_evacuated => {
        let mut table = table();
        evacuate(&mut table, "a", true);
        for number in 0..4 {
            table.on_unlisted(&format!("a{number}"));
            table.on_listed(listing(&format!("a{number}-restarted"), "a"));
        }
        assert_eq!(chosen_zones(&table), ["b".into()]);
    }

    /// With all zones evacuated, a call waits for its deadline, or is refused with a delay that its caller cannot wait.
    a_call_is_refused_at_once_when_no_zone_is_left => {
        let mut table = table();
        evacuate(&mut table, "a", true);
        evacuate(&mut table, "b", true);
        assert!(chosen_zones(&table).is_empty());
        let summary = LoadSummary::of(table.usable("s", NOW_MS), NOW_MS);
        let terms = CallTerms {
            organisation: None,
            priority: 0,
            objective_ms: 150,
            limit_ms: 2_000,
            left_ms: 1_990,
        };
        let mut control = OverloadControl::default();
        let service = "s".into();
        let decision = control.decide(&service, summary, terms, NOW_MS, 1);
        assert_eq!(decision, OverloadDecision::Admit, "the lack of endpoints is told when one is chosen");
        let retry_after_ms = control.on_not_run(&service, summary, terms, NOW_MS, 1);
        assert!((1..1_000).contains(&retry_after_ms), "{retry_after_ms}");
    }

    /// An evacuation that is taken back within a second stays, or a late repetition of it starts it again.
    an_order_that_was_taken_back_does_not_return => {
        let view = View::default().record(4, true).record(5, false).record(4, true);
        assert_eq!(view.state(), (false, 2));
        assert_eq!(view.record(6, true).state(), (true, 3));
    }

    /// A store that shows an older part of its history ends an evacuation that stands.
    an_older_removal_does_not_end_it => {
        assert_eq!(View::default().record(4, false).record(5, true).record(4, false).state(), (true, 1));
    }

    /// The record that ended an evacuation was dropped before it was read: nothing else tells of its end.
    an_evacuation_that_ended_in_a_gap_ends => {
        assert_eq!(View::default().record(5, true).reload(&[], 9).state(), (false, 2));
        assert_eq!(View::default().record(5, true).reload(&[(7, false)], 9).state(), (false, 2));
    }

    /// Requests are sent between a gap and the load of the newest records.
    an_evacuation_stands_through_a_gap => {
        let mut view = View::default().record(5, true);
        view.records.on_gap();
        assert_eq!(view.state(), (true, 1));
        assert_eq!(view.reload(&[(5, true)], 9).state(), (true, 1));
    }

    /// An evacuation that was renewed in a gap ends, as its known record is not among the newest.
    an_evacuation_renewed_in_a_gap_stands => {
        assert_eq!(View::default().record(5, true).reload(&[(8, true)], 9).state(), (true, 1));
    }

    /// A stale snapshot, which ends before the order, takes an evacuation back.
    a_snapshot_from_before_the_order_does_not_end_it => {
        let view = View::default().record(5, true).reload(&[], 5);
        assert_eq!(view.state(), (true, 1));
        assert_eq!(view.record(6, false).state(), (false, 2), "the records after the snapshot follow");
    }

    /// After an evacuation ended in a gap, a stale read of its order starts it again.
    an_order_from_before_a_gap_does_not_return => {
        let view = View::default().record(5, true).reload(&[], 9).record(5, true);
        assert_eq!(view.state(), (false, 2));
        assert_eq!(view.record(9, true).state(), (true, 3));
    }

    /// Orders for ever new zones fill the memory, or push out one that stands.
    remembered_zones_are_bounded => {
        let mut records = EvacuationRecords::default();
        assert!(records.on_record(&"a".into(), 0, true));
        for offset in 1..2_000 {
            records.on_record(&format!("zone-{offset}").into(), offset, false);
        }
        assert!(records.zone_count() <= 256);
        assert!(!records.on_record(&"a".into(), 2_000, true), "it still stands");
    }
}
