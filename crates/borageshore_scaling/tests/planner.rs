//! Orders for endpoints under load: steps larger than the endpoints, zones lost, refused and reclaimed.

use borageshore_scaling::{
    AnnouncedOrder, KindCount, OrderOutcome, ScalingLimits, ScalingPlanner, ServiceView, Setback,
    SpotOrder, ZoneView,
};

const SERVICE: &str = "llm";
const SLOTS: u64 = 6;
const BOOT_MS: u64 = 4_000;
const TICK_MS: u64 = 1_000;

fn limits() -> ScalingLimits {
    let mut limits = ScalingLimits {
        min: 1,
        max: 24,
        boot_ms: BOOT_MS,
        has_spot: true,
        ..ScalingLimits::default()
    };
    for (zone, price) in [("a", 1_200), ("b", 850), ("c", 1_000)] {
        limits.zone_price_permille.insert(zone.into(), price);
    }
    limits
}

/// A platform that boots what is ordered, and the holder that orders.
struct Deployment {
    planner: ScalingPlanner,
    limits: ScalingLimits,
    zones: Vec<ZoneView>,
    needed_slots: u64,
    now_ms: u64,
    /// Zones that have none, and zones whose answers are lost.
    dry: Vec<usize>,
    silent: Vec<usize>,
    booting: Vec<(u64, usize, u64)>,
    sent: Vec<SpotOrder>,
}

impl Deployment {
    /// Three zones with `regular` endpoints each.
    fn open(regular: u64, needed_slots: u64) -> Self {
        Self {
            planner: ScalingPlanner::default(),
            limits: limits(),
            zones: ["a", "b", "c"]
                .map(|zone| ZoneView::regular(zone, regular))
                .into(),
            needed_slots,
            now_ms: 100_000,
            dry: Vec::new(),
            silent: Vec::new(),
            booting: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn plan(&mut self) -> Vec<SpotOrder> {
        let in_use = self.zones.iter().filter(|zone| !zone.is_evacuated);
        let regular: u64 = in_use.map(|zone| zone.regular.live).sum();
        let view = ServiceView {
            needed_slots: self.needed_slots,
            regular_slots: regular * SLOTS,
            slots_each: SLOTS,
            zones: self.zones.clone(),
        };
        self.planner.plan(SERVICE, &self.limits, &view, self.now_ms)
    }

    /// Plans once a second for `ms`, sends all orders and lets the platform carry them out.
    fn run(&mut self, ms: u64) -> Vec<SpotOrder> {
        let from = self.sent.len();
        for _ in 0..ms / TICK_MS {
            let (now_ms, zones) = (self.now_ms, &mut self.zones);
            self.booting.retain(|(at_ms, zone, count)| {
                let is_booting = now_ms < *at_ms;
                if !is_booting {
                    zones[*zone].spot.live = *count;
                }
                is_booting
            });
            for order in self.plan() {
                self.send(order);
            }
            self.now_ms += TICK_MS;
        }
        self.sent[from..].to_vec()
    }

    fn send(&mut self, order: SpotOrder) {
        let index = self
            .zones
            .iter()
            .position(|zone| zone.zone == order.zone)
            .unwrap();
        self.zones[index].announced = Some(AnnouncedOrder {
            count: order.count,
            at_ms: self.now_ms,
        });
        let outcome = match (self.dry.contains(&index), self.silent.contains(&index)) {
            (true, _) => OrderOutcome::Refused,
            (_, true) => OrderOutcome::Unknown,
            _ => OrderOutcome::Accepted,
        };
        if outcome == OrderOutcome::Accepted {
            self.booting
                .push((self.now_ms + BOOT_MS, index, order.count));
        }
        self.planner.on_outcome(&order, outcome, self.now_ms);
        self.sent.push(order);
    }

    fn spot(&self) -> Vec<u64> {
        self.zones.iter().map(|zone| zone.spot.live).collect()
    }

    fn slots(&self) -> u64 {
        let zones = self.zones.iter().filter(|zone| !zone.is_evacuated);
        zones
            .map(|zone| (zone.regular.live + zone.spot.live) * SLOTS)
            .sum()
    }
}

fn counts(orders: &[SpotOrder]) -> Vec<(&str, u64)> {
    orders
        .iter()
        .map(|order| (&*order.zone, order.count))
        .collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Endpoints of an evacuated zone count, so that items wait for slots, or are ordered there.
    the_share_of_an_evacuated_zone_is_ordered_elsewhere => {
        let mut deployment = Deployment::open(4, 100);
        deployment.run(10_000);
        assert!(deployment.slots() >= 100, "{:?}", deployment.spot());
        deployment.zones[1].is_evacuated = true;
        let orders = deployment.run(10_000);
        assert!(deployment.slots() >= 100, "{:?}", deployment.spot());
        assert!(orders.iter().all(|order| &*order.zone != "b"), "{orders:?}");
        deployment.zones[1].is_evacuated = false;
        let orders = deployment.run(40_000);
        assert!(orders.iter().all(|order| &*order.zone != "b" || order.count > 0), "{orders:?}");
        assert!(deployment.slots() >= 100, "{:?}", deployment.spot());
    }

    // Items of a step wait for slots although the platform offers more endpoints.
    a_step_larger_than_the_endpoints_gets_a_slot_for_each_item => {
        let mut load = Deployment::open(5, 178);
        assert_eq!(counts(&load.run(BOOT_MS)), [("a", 5), ("b", 5), ("c", 5)]);
        load.needed_slots = 190;
        assert_eq!(counts(&load.run(2 * BOOT_MS)), [("b", 6), ("c", 6)], "the remainder goes to the cheaper zones");
        assert!(load.slots() >= 190, "{}", load.slots());
        assert_eq!(load.run(60_000), [], "orders are not repeated while all is there");
    }

    // Regular endpoints that suffice are supplemented, or endpoints are ordered before a trainer asks.
    no_order_without_a_shortfall => {
        let mut load = Deployment::open(5, 90);
        assert_eq!(load.run(60_000), []);
    }

    // Orders for a service whose limits don't offer spot endpoints, or whose endpoints are unknown.
    no_order_without_limits_or_endpoints => {
        let mut load = Deployment::open(5, 400);
        load.limits.has_spot = false;
        assert_eq!(load.run(60_000), []);
        load.limits.has_spot = true;
        let view = ServiceView { needed_slots: 400, regular_slots: 0, slots_each: 0, zones: load.zones.clone() };
        assert_eq!(load.planner.plan(SERVICE, &load.limits, &view, 0), []);
    }

    // Spot endpoints that the operator started are given back.
    endpoints_that_nobody_ordered_are_left_alone => {
        let mut load = Deployment::open(5, 0);
        load.zones[0].spot.live = 3;
        assert_eq!(load.run(60_000), []);
        load.needed_slots = 180;
        assert_eq!(counts(&load.run(BOOT_MS)), [("a", 5), ("b", 5), ("c", 5)]);
    }

    // The platform refuses an order beyond the maximum of both kinds, and the zone gets none.
    the_maximum_of_a_zone_counts_both_kinds => {
        let mut load = Deployment::open(5, 1_000);
        load.zones[1].regular = KindCount { live: 20, leaving: 2 };
        load.run(2 * BOOT_MS);
        assert_eq!(load.spot(), [19, 2, 19]);
    }

    // Endpoints are given back between the submissions of a trainer and booted again for each step.
    a_lower_need_lowers_orders_only_once_it_has_lasted => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        for _ in 0..10 {
            load.needed_slots = 90;
            assert_eq!(load.run(10_000), []);
            load.needed_slots = 180;
            assert_eq!(load.run(10_000), []);
        }
        load.needed_slots = 108;
        assert_eq!(load.run(20_000), []);
        assert_eq!(counts(&load.run(10_000)), [("a", 1), ("b", 1), ("c", 1)]);
    }

    // After the loss of a zone with all its endpoints the items wait for the slots that were there.
    endpoints_of_a_lost_zone_are_ordered_at_once => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        load.zones[0] = ZoneView { announced: load.zones[0].announced, ..ZoneView::regular("a", 0) };
        load.dry = vec![0];
        load.run(3 * TICK_MS);
        load.run(2 * BOOT_MS);
        assert_eq!(load.spot(), [0, 10, 10]);
        assert!(load.slots() >= 180, "{}", load.slots());
    }

    // A zone that has none is asked every second, or its share is lost for as long.
    a_refused_share_goes_to_other_zones => {
        let mut load = Deployment::open(5, 180);
        load.dry = vec![1];
        let orders = load.run(2 * BOOT_MS);
        assert_eq!(orders.iter().filter(|order| &*order.zone == "b").count(), 1);
        assert_eq!(load.spot(), [7, 0, 8], "the remainder goes to the cheaper zone");
        let asked = load.run(120_000);
        let asked = asked.iter().filter(|order| &*order.zone == "b").count();
        assert!((2..=4).contains(&asked), "{asked}: the back-off doubles");
        load.dry.clear();
        load.run(140_000);
        assert_eq!(load.spot(), [5, 5, 5], "the zone takes its share again");
    }

    // A refused raise gives back what the zone has.
    a_refused_raise_keeps_what_is_there => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        load.dry = vec![0];
        load.needed_slots = 270;
        load.run(2 * BOOT_MS);
        assert_eq!(load.spot(), [5, 13, 12]);
    }

    // Orders are placed again in the zone that is being reclaimed, and are lost with it.
    the_share_of_a_reclaimed_zone_goes_to_other_zones => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        load.zones[2].spot = KindCount { live: 0, leaving: 5 };
        assert_eq!(counts(&load.plan()), [("a", 7), ("b", 8)]);
        let left_out = load.planner.take_left_out();
        assert_eq!(left_out.iter().map(|zone| zone.setback).collect::<Vec<_>>(), [Setback::Reclaimed]);
        load.run(4 * TICK_MS);
        load.zones[2].spot = KindCount::default();
        assert!(load.run(5 * TICK_MS).iter().all(|order| &*order.zone != "c"));
        assert!(load.slots() >= 180, "{}", load.slots());
        load.run(60_000);
        assert_eq!(load.spot(), [5, 5, 5]);
    }

    // Endpoints that leave after a lower order count as reclaimed, and their share is ordered elsewhere.
    a_lowered_zone_is_not_a_reclaimed_one => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        load.needed_slots = 126;
        load.run(40_000);
        assert_eq!(load.spot(), [2, 2, 2]);
        load.zones[0].spot = KindCount { live: 2, leaving: 3 };
        assert_eq!(load.run(10_000), []);
    }

    // Endpoints that still drain after an order for none count as a reclaim of those that are ordered next.
    a_zone_raised_while_its_earlier_endpoints_drain_is_not_a_reclaimed_one => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        load.needed_slots = 0;
        load.run(30_000);
        assert_eq!(load.spot(), [0, 0, 0]);
        load.zones[0].spot.leaving = 5;
        load.needed_slots = 180;
        assert_eq!(counts(&load.run(TICK_MS)), [("a", 5), ("b", 5), ("c", 5)]);
        assert_eq!(load.run(2 * BOOT_MS), []);
        assert_eq!(load.planner.take_left_out(), []);
        load.zones[0].spot = KindCount { live: 0, leaving: 10 };
        load.run(TICK_MS);
        let left_out = load.planner.take_left_out();
        assert_eq!(left_out.iter().map(|zone| zone.setback).collect::<Vec<_>>(), [Setback::Reclaimed]);
    }

    // An order whose answer was lost is never sent again, or sent again at once while it may still arrive.
    an_order_without_an_answer_is_sent_again_after_a_second => {
        let mut load = Deployment::open(5, 180);
        load.silent = vec![0];
        load.run(TICK_MS);
        load.now_ms -= TICK_MS / 2;
        assert_eq!(load.plan(), []);
        load.now_ms += TICK_MS / 2;
        assert_eq!(counts(&load.plan()), [("a", 5)]);
    }

    // An order whose announcement was appended without an answer is never sent: the accepted one before counts for it.
    an_order_that_was_announced_only_is_sent_after_a_second => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        for (needed_slots, count) in [(270, 10), (108, 1)] {
            load.needed_slots = needed_slots;
            load.now_ms += 60_000;
            for zone in &mut load.zones {
                zone.announced = Some(AnnouncedOrder { count, at_ms: load.now_ms });
            }
            load.now_ms += TICK_MS;
            assert_eq!(counts(&load.run(TICK_MS)), [("a", count), ("b", count), ("c", count)]);
            load.run(2 * BOOT_MS);
            assert_eq!(load.spot(), [count; 3]);
        }
    }

    // Endpoints that never come are waited for without end, or ordered every second.
    missing_endpoints_are_ordered_again_then_elsewhere => {
        let mut load = Deployment::open(5, 180);
        load.run(TICK_MS);
        load.booting.retain(|(_, zone, _)| *zone != 0);
        assert_eq!(load.run(6 * TICK_MS), []);
        assert_eq!(counts(&load.run(TICK_MS)), [("a", 5)]);
        load.booting.clear();
        load.run(20_000);
        assert_eq!(load.spot(), [0, 8, 7]);
    }

    // A zone whose endpoints came after a repeated order is left out as soon as it loses a single one, much later.
    an_endpoint_lost_after_a_repeated_order_is_ordered_there => {
        let mut load = Deployment::open(5, 180);
        load.run(TICK_MS);
        load.booting.retain(|(_, zone, _)| *zone != 0);
        load.run(7 * TICK_MS);
        load.run(2 * BOOT_MS);
        assert_eq!(load.spot(), [5, 5, 5]);
        load.zones[0].spot.live = 4;
        assert_eq!(counts(&load.run(TICK_MS)), [("a", 5)]);
        assert_eq!(load.planner.take_left_out(), []);
    }

    // The holder is killed between the announcement and the call: nobody sends the order.
    a_successor_sends_what_was_announced_and_did_not_come => {
        let mut load = Deployment::open(5, 180);
        for order in load.plan() {
            load.zones.iter_mut().find(|zone| zone.zone == order.zone).unwrap().announced =
                Some(AnnouncedOrder { count: order.count, at_ms: load.now_ms });
        }
        load.planner = ScalingPlanner::default();
        load.now_ms += 4_000;
        assert_eq!(counts(&load.plan()), [("a", 5), ("b", 5), ("c", 5)]);
        load.run(2 * BOOT_MS);
        load.planner = ScalingPlanner::default();
        assert_eq!(load.run(60_000), [], "a successor orders nothing that is there");
    }

    // A successor sends again what was announced long ago or refused, although less is needed now.
    a_successor_orders_no_more_than_is_needed => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        for zone in &mut load.zones {
            zone.announced = Some(AnnouncedOrder { count: 10, at_ms: load.now_ms });
        }
        load.planner = ScalingPlanner::default();
        assert_eq!(load.run(20_000), []);
        assert_eq!(counts(&load.run(10_000)), [("a", 5), ("b", 5), ("c", 5)]);
    }

    // A successor that knows no lower need gives endpoints back at once.
    a_successor_waits_before_it_lowers => {
        let mut load = Deployment::open(5, 180);
        load.run(2 * BOOT_MS);
        load.planner = ScalingPlanner::default();
        load.needed_slots = 0;
        assert_eq!(load.run(20_000), []);
        assert_eq!(counts(&load.run(10_000)), [("a", 0), ("b", 0), ("c", 0)]);
    }
}
