//! The slots of services that this daemon's reward calls occupy, and the calls that wait for one.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_batch::{RewardQueue, RewardRank, reward_slot_limit};
use borageshore_diagnostics::Instruments;
use tokio::sync::{Notify, oneshot};

use super::{ScoreRequest, groups::Group};
use crate::endpoints::Endpoints;

/// Without contention, reward calls are limited to this share of a service's slots, in percent: callers use the same
/// endpoints, and their calls are much shorter.
const SLOTS_PERCENT: u64 = 60;
/// A call that waited longer for a slot is logged: it waited longer than a usual call takes.
const LONG_WAIT_MS: u64 = 500;
/// How long the sums over a service's endpoints are used: a service may have thousands of endpoints, and their reports
/// take longer to change much.
const USE_MAX_AGE_MS: u64 = 20;

/// A call that waits for a slot.
#[derive(Debug)]
struct Waiter {
    group: Rc<Group>,
    step_seen_at_ms: u64,
    priority: u64,
    sender: oneshot::Sender<RewardSlot>,
}

impl Waiter {
    fn rank(&self) -> RewardRank {
        RewardRank {
            is_generating: self.group.is_generating(),
            step_seen_at_ms: self.step_seen_at_ms,
            priority: self.priority,
            unscored_in_group: self.group.unfinished(),
        }
    }
}

/// The slots of a service and the load there that is not this daemon's reward calls.
#[derive(Debug, Clone, Copy)]
struct ServiceUse {
    slots: u64,
    others: u64,
    summed_at_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceSlots {
    in_flight: u64,
    last_use: Option<ServiceUse>,
    queue: RewardQueue<Waiter>,
}

/// The reward calls of this daemon that occupy slots or wait for one, by service.
#[derive(Debug)]
pub(super) struct RewardSlots {
    endpoints: Rc<Endpoints>,
    instruments: Rc<Instruments>,
    services: RefCell<SortedMap<Arc<str>, ServiceSlots>>,
    slot_freed: Notify,
}

impl RewardSlots {
    pub(super) fn open(endpoints: Rc<Endpoints>, instruments: Rc<Instruments>) -> Rc<Self> {
        Rc::new(Self {
            endpoints,
            instruments,
            services: RefCell::default(),
            slot_freed: Notify::new(),
        })
    }

    /// Waits for a slot: in the order of the ranks where requests compete for the service's endpoints, else in no
    /// order.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        service: &Arc<str>,
        request: &ScoreRequest<'_>,
    ) -> RewardSlot {
        if self.endpoints.has_contention(service) {
            self.acquire_in_order(service, request).await
        } else {
            self.acquire_any(service).await
        }
    }

    /// Occupies a slot beyond the limit, for a hedge.
    pub(super) fn acquire_extra(self: &Rc<Self>, service: &Arc<str>) -> RewardSlot {
        self.services
            .borrow_mut()
            .get_or_insert_with(service.clone(), ServiceSlots::default)
            .in_flight += 1;
        RewardSlot {
            slots: self.clone(),
            service: service.clone(),
        }
    }

    async fn acquire_any(self: &Rc<Self>, service: &Arc<str>) -> RewardSlot {
        loop {
            let slot_freed = self.slot_freed.notified();
            if self.in_flight(service) < self.limit(service) {
                return self.acquire_extra(service);
            }
            slot_freed.await;
        }
    }

    async fn acquire_in_order(
        self: &Rc<Self>,
        service: &Arc<str>,
        request: &ScoreRequest<'_>,
    ) -> RewardSlot {
        let since_ms = self.endpoints.now_ms();
        let slot = loop {
            let (sender, receiver) = oneshot::channel();
            let waiter = Waiter {
                group: request.member.group().clone(),
                step_seen_at_ms: request.step_seen_at_ms,
                priority: request.priority,
                sender,
            };
            self.services
                .borrow_mut()
                .get_or_insert_with(service.clone(), ServiceSlots::default)
                .queue
                .push(waiter, since_ms);
            self.assign(service);
            if let Ok(slot) = receiver.await {
                break slot;
            }
        };
        let waited_ms = self.endpoints.now_ms() - since_ms;
        self.instruments.record_ms("reward_wait", waited_ms);
        if waited_ms >= LONG_WAIT_MS {
            self.on_long_wait(service, &request.call.id, waited_ms);
        }
        slot
    }

    fn on_long_wait(&self, service: &str, call: &str, waited_ms: u64) {
        self.instruments.count("reward", "waited_long");
        let services = self.services.borrow();
        let Some(state) = services.get(service) else {
            return;
        };
        log::info!(
            call, waited_ms, in_flight = state.in_flight, waiting = state.queue.len(),
            slots = state.last_use.map(|last| last.slots), others = state.last_use.map(|last| last.others);
            "reward call waited long for a slot"
        );
    }

    /// Gives free slots to waiting calls.
    ///
    /// Runs when a call arrives and when one ends. A limit that rises in between needs no wake-up: it is at least 1, so
    /// while calls wait, others are in flight and end soon.
    fn assign(self: &Rc<Self>, service: &Arc<str>) {
        while let Some(sender) = self.next(service) {
            let slot = RewardSlot {
                slots: self.clone(),
                service: service.clone(),
            };
            // If the receiver is gone, the slot is dropped and thus released.
            let _ = sender.send(slot);
        }
    }

    /// Takes the waiter that starts next and counts its slot; `None` if there is none or all slots are taken.
    fn next(&self, service: &Arc<str>) -> Option<oneshot::Sender<RewardSlot>> {
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service)?;
        state.queue.retain(|waiter| !waiter.sender.is_closed());
        let now_ms = self.endpoints.now_ms();
        if state.queue.is_empty() || state.in_flight >= self.limit_in_order(service, state, now_ms)
        {
            return None;
        }
        let waiter = state.queue.pop(now_ms, Waiter::rank)?;
        state.in_flight += 1;
        Some(waiter.sender)
    }

    /// The maximum of this daemon's reward calls in flight, by what the endpoints report.
    fn limit_in_order(&self, service: &str, state: &mut ServiceSlots, now_ms: u64) -> u64 {
        if !self.endpoints.has_contention(service) {
            return self.limit(service);
        }
        let is_recent = |last: &ServiceUse| now_ms < last.summed_at_ms + USE_MAX_AGE_MS;
        let current = state.last_use.filter(is_recent).unwrap_or_else(|| {
            let load = self.endpoints.load_of(service);
            ServiceUse {
                slots: self.endpoints.slots_of(service),
                // The load contains this daemon's own calls.
                others: load.saturating_sub(state.in_flight),
                summed_at_ms: now_ms,
            }
        });
        state.last_use = Some(current);
        reward_slot_limit(current.slots, current.others)
    }

    /// The maximum of this daemon's reward calls in flight where requests do not compete.
    fn limit(&self, service: &str) -> u64 {
        (self.endpoints.slots_of(service) * SLOTS_PERCENT / 100).max(1)
    }

    fn in_flight(&self, service: &str) -> u64 {
        let services = self.services.borrow();
        services.get(service).map_or(0, |state| state.in_flight)
    }
}

/// A slot of a service, released on drop.
#[derive(Debug)]
pub(super) struct RewardSlot {
    slots: Rc<RewardSlots>,
    service: Arc<str>,
}

impl Drop for RewardSlot {
    fn drop(&mut self) {
        if let Some(state) = self.slots.services.borrow_mut().get_mut(&self.service) {
            state.in_flight -= 1;
        }
        self.slots.slot_freed.notify_waiters();
        self.slots.assign(&self.service);
    }
}
