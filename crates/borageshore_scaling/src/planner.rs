//! Which orders to send now, from the need, the endpoints, and what happened to earlier orders.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::{
    limits::ScalingLimits,
    spread::{Room, spread},
    view::{AnnouncedOrder, ServiceView, ZoneView},
};

/// A count is lowered only after the need was lower for this long: longer than a trainer's step, between whose
/// submissions the need is not lower in truth.
const LOWER_AFTER_MS: u64 = 20_000;
/// An order without an answer is sent again after this time, at which its call has been given up.
const RESEND_AFTER_MS: u64 = 1_000;
/// An allowance for the answer and for the listing of an endpoint that has booted.
const BOOT_MARGIN_MS: u64 = 3_000;
/// How long a zone is left out after its first refusal or reclaim. Doubles with each further one up to the maximum.
const MIN_BACK_OFF_MS: u64 = 10_000;
const MAX_BACK_OFF_MS: u64 = 80_000;

/// An order for the spot endpoints of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpotOrder {
    /// The service.
    pub service: Arc<str>,
    /// The zone.
    pub zone: Arc<str>,
    /// The number of spot endpoints that the zone should have, not a difference.
    pub count: u64,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was accepted.
    Accepted,
    /// It was refused; the earlier order stands.
    Refused,
    /// It may have been accepted.
    Unknown,
}

/// Why a zone is left out for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setback {
    /// An order was refused.
    Refused,
    /// All spot endpoints of the zone are leaving.
    Reclaimed,
    /// Endpoints that were ordered twice did not come.
    Missing,
}

/// A zone that is left out from now on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeftOut {
    /// The service.
    pub service: Arc<str>,
    /// The zone.
    pub zone: Arc<str>,
    /// Why.
    pub setback: Setback,
    /// How long at least.
    pub back_off_ms: u64,
}

/// A lower need that has not held for long enough.
#[derive(Debug, Clone, Copy)]
struct LowerNeed {
    since_ms: u64,
    highest: u64,
}

/// What the holder remembers of a zone. Lost with the holder; its successor starts from the announcements.
#[derive(Debug, Default)]
struct ZoneMemory {
    /// The last order that was sent.
    sent: Option<AnnouncedOrder>,
    /// Whether the last order that was sent was accepted.
    is_accepted: bool,
    /// Whether the last accepted order was repeated, as endpoints were missing, and they have not come since.
    is_repeated: bool,
    /// Whether the endpoints that were ordered don't exist, because of a refusal or a reclaim.
    is_void: bool,
    /// Endpoints that left already when the last order was planned, and still do: no reclaim.
    leaving_when_ordered: u64,
    lower: Option<LowerNeed>,
    /// Refusals and reclaims in short succession.
    setbacks: u32,
    left_out_until_ms: u64,
}

impl ZoneMemory {
    fn newest_order(&self, zone: &ZoneView) -> Option<AnnouncedOrder> {
        let orders = [zone.announced, self.sent];
        orders.into_iter().flatten().max_by_key(|order| order.at_ms)
    }

    /// The number of spot endpoints that the zone has or is going to have.
    fn expected(&self, zone: &ZoneView) -> u64 {
        match self.newest_order(zone) {
            Some(order) if !self.is_void => order.count,
            _ => zone.spot.live,
        }
    }

    /// Notes what the endpoints show of the orders that were sent.
    fn observe(&mut self, zone: &ZoneView) {
        let newest = self.newest_order(zone);
        if newest.is_some_and(|order| zone.spot.live >= order.count) {
            self.is_repeated = false;
        }
        self.leaving_when_ordered = self.leaving_when_ordered.min(zone.spot.leaving);
    }

    fn is_left_out(&self, now_ms: u64) -> bool {
        now_ms < self.left_out_until_ms
    }

    fn back_off_ms(&self) -> u64 {
        let doublings = self.setbacks.saturating_sub(1).min(u64::BITS - 1);
        MIN_BACK_OFF_MS
            .saturating_mul(1 << doublings)
            .min(MAX_BACK_OFF_MS)
    }

    /// Leaves the zone out; returns whether it was not before. An event that lasts counts once.
    fn on_setback(&mut self, now_ms: u64) -> bool {
        let is_new = !self.is_left_out(now_ms);
        if is_new {
            let is_long_ago = now_ms > self.left_out_until_ms + MAX_BACK_OFF_MS;
            self.setbacks = match is_long_ago {
                true => 1,
                false => self.setbacks + 1,
            };
        }
        self.left_out_until_ms = now_ms + self.back_off_ms();
        self.is_void = true;
        self.is_repeated = false;
        self.lower = None;
        is_new
    }

    /// What the endpoints show: a reclaim, or that ordered endpoints did not come.
    fn setback(&self, zone: &ZoneView, boot_ms: u64, now_ms: u64) -> Option<Setback> {
        // A reclaim takes all spot endpoints of a zone; after a lower order the others stay.
        let is_leaving = zone.spot.leaving > self.leaving_when_ordered;
        let is_reclaimed = is_leaving && zone.spot.live == 0 && self.has_ordered(zone);
        let is_missing = self.is_repeated && self.is_overdue(zone, boot_ms, now_ms);
        match (is_reclaimed, is_missing) {
            (true, _) => Some(Setback::Reclaimed),
            (false, true) => Some(Setback::Missing),
            (false, false) => None,
        }
    }

    /// Whether an order was accepted. One may be announced without being sent: the answer to its append was lost.
    fn has_accepted(&self, order: AnnouncedOrder) -> bool {
        self.is_accepted && self.sent.is_some_and(|sent| sent.count == order.count)
    }

    fn has_ordered(&self, zone: &ZoneView) -> bool {
        self.newest_order(zone).is_some_and(|order| order.count > 0)
    }

    /// Whether ordered endpoints are missing although they had time to boot.
    fn is_overdue(&self, zone: &ZoneView, boot_ms: u64, now_ms: u64) -> bool {
        let Some(order) = self.newest_order(zone) else {
            return false;
        };
        let is_due = now_ms >= order.at_ms + boot_ms + BOOT_MARGIN_MS;
        !self.is_void && self.has_accepted(order) && is_due && zone.spot.live < order.count
    }

    /// The number of endpoints wanted now: raised at once, lowered once the need has been lower for long enough.
    fn settle(&mut self, expected: u64, desired: u64, now_ms: u64) -> u64 {
        if desired >= expected {
            self.lower = None;
            return desired;
        }
        let lower = self.lower.get_or_insert(LowerNeed {
            since_ms: now_ms,
            highest: desired,
        });
        lower.highest = lower.highest.max(desired);
        if now_ms < lower.since_ms + LOWER_AFTER_MS {
            return expected;
        }
        lower.highest
    }

    /// Whether an order for `wanted` endpoints is to be sent now; `desired` of them are needed.
    fn is_due(
        &self,
        zone: &ZoneView,
        wanted: u64,
        desired: u64,
        boot_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(order) = self.newest_order(zone) else {
            // Endpoints that nobody ordered are the operator's.
            return wanted > zone.spot.live;
        };
        if now_ms < order.at_ms + RESEND_AFTER_MS {
            return false;
        }
        if self.is_void || wanted != order.count {
            return wanted != self.expected(zone);
        }
        match self.has_accepted(order) {
            true => self.is_overdue(zone, boot_ms, now_ms),
            // While it waits to be lowered, a higher order than needed is not sent again.
            false => zone.spot.live > wanted || zone.spot.live < wanted.min(desired),
        }
    }
}

/// Plans orders, with the memory of refusals and reclaims.
#[derive(Debug, Default)]
pub struct ScalingPlanner {
    zones: SortedMap<(Arc<str>, Arc<str>), ZoneMemory>,
    left_out: Vec<LeftOut>,
}

impl ScalingPlanner {
    /// The orders for a service to send now. They may be left unsent: they are planned again.
    pub fn plan(
        &mut self,
        service: &str,
        limits: &ScalingLimits,
        view: &ServiceView,
        now_ms: u64,
    ) -> Vec<SpotOrder> {
        if !limits.has_spot || view.slots_each == 0 {
            return Vec::new();
        }
        let service: Arc<str> = service.into();
        for zone in &view.zones {
            let memory = self.memory(&service, &zone.zone);
            memory.observe(zone);
            if let Some(setback) = memory.setback(zone, limits.boot_ms, now_ms) {
                self.leave_out(&service, &zone.zone, setback, now_ms);
            }
        }
        let desired = self.desired(&service, limits, view, now_ms);
        let mut orders = Vec::new();
        for (zone, desired) in view.zones.iter().zip(desired) {
            let memory = self.memory(&service, &zone.zone);
            let Some(desired) = desired else { continue };
            let wanted = memory.settle(memory.expected(zone), desired, now_ms);
            if memory.is_due(zone, wanted, desired, limits.boot_ms, now_ms) {
                memory.leaving_when_ordered = zone.spot.leaving;
                orders.push(SpotOrder {
                    service: service.clone(),
                    zone: zone.zone.clone(),
                    count: wanted,
                });
            }
        }
        orders
    }

    /// The number of spot endpoints for each zone; `None` for zones that are evacuated or left out.
    fn desired(
        &mut self,
        service: &Arc<str>,
        limits: &ScalingLimits,
        view: &ServiceView,
        now_ms: u64,
    ) -> Vec<Option<u64>> {
        let is_left_out: Vec<bool> = view
            .zones
            .iter()
            .map(|zone| zone.is_evacuated || self.memory(service, &zone.zone).is_left_out(now_ms))
            .collect();
        let left_out = view.zones.iter().zip(&is_left_out).filter(|(_, is)| **is);
        let left_out = left_out.filter(|(zone, _)| !zone.is_evacuated);
        let remaining_there: u64 = left_out.map(|(zone, _)| zone.spot.live).sum();
        let room = |(zone, is_left_out): (&ZoneView, &bool)| Room {
            max: match is_left_out {
                true => 0,
                false => limits.max.saturating_sub(regular_count(zone)),
            },
            price_permille: limits.price_permille(&zone.zone),
        };
        let rooms: Vec<Room> = view.zones.iter().zip(&is_left_out).map(room).collect();
        let counts = spread(view.needed_spot().saturating_sub(remaining_there), &rooms);
        let zones = view.zones.iter().zip(is_left_out).zip(counts);
        zones
            .map(|((zone, is_left_out), count)| {
                let min = limits.min.saturating_sub(regular_count(zone));
                // The minimum binds orders; it is no reason to order.
                let has_ordered = self.memory(service, &zone.zone).has_ordered(zone);
                let is_used = count > 0 || has_ordered;
                (!is_left_out).then_some(if is_used { count.max(min) } else { 0 })
            })
            .collect()
    }

    /// Notes what became of an order that was sent at `now_ms`.
    pub fn on_outcome(&mut self, order: &SpotOrder, outcome: OrderOutcome, now_ms: u64) {
        let memory = self.memory(&order.service, &order.zone);
        let sent = AnnouncedOrder {
            count: order.count,
            at_ms: now_ms,
        };
        let is_repeat =
            memory.is_accepted && memory.sent.is_some_and(|sent| sent.count == order.count);
        memory.sent = Some(sent);
        memory.is_accepted = outcome == OrderOutcome::Accepted;
        memory.is_repeated = is_repeat && !memory.is_void;
        match outcome {
            OrderOutcome::Refused => {
                self.leave_out(&order.service, &order.zone, Setback::Refused, now_ms);
            }
            OrderOutcome::Accepted | OrderOutcome::Unknown => {
                memory.is_void = false;
                memory.lower = None;
            }
        }
    }

    /// Takes the zones that have been left out since the last call.
    pub fn take_left_out(&mut self) -> Vec<LeftOut> {
        std::mem::take(&mut self.left_out)
    }

    fn leave_out(&mut self, service: &Arc<str>, zone: &Arc<str>, setback: Setback, now_ms: u64) {
        let memory = self.memory(service, zone);
        if memory.on_setback(now_ms) {
            let left_out = LeftOut {
                service: service.clone(),
                zone: zone.clone(),
                setback,
                back_off_ms: memory.back_off_ms(),
            };
            self.left_out.push(left_out);
        }
    }

    fn memory(&mut self, service: &Arc<str>, zone: &Arc<str>) -> &mut ZoneMemory {
        let key = (service.clone(), zone.clone());
        self.zones.get_or_insert_with(key, ZoneMemory::default)
    }
}

/// The regular endpoints that count towards the limits; a draining one still does.
fn regular_count(zone: &ZoneView) -> u64 {
    zone.regular.live + zone.regular.leaving
}
