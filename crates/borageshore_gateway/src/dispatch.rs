//! Assigns free engine slots to waiting items.

use std::{cell::RefCell, ops::RangeInclusive, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_batch::{
    Backlog, EngineView, FinishedText, GenerationTimes, GroupPlacements, PinnedWait,
    PlacementRequest, RunningItem, ServiceLoad, StartOrder, VersionPin, can_take,
    choose_better_engine, choose_engine, gets_free_slot,
};
use borageshore_diagnostics::Instruments;
use borageshore_net::{sleep_ms, within_ms};
use borageshore_platform::EndpointTarget;
use borageshore_topology::Residency;
use tokio::sync::oneshot;

use crate::{
    endpoints::{Endpoints, InFlight},
    waits::ResidencyWaits,
};

/// Waiting items are reconsidered at this interval, because load reports age and ejections end without a notification.
const RECHECK_INTERVAL_MS: u64 = 100;
/// The gauge of the items that no endpoint in their allowed regions can run.
const WAITING_GAUGE: &str = "items_waiting_for_residency";

/// What an item requires of an engine.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    pub(crate) service: Arc<str>,
    pub(crate) model: Option<Arc<str>>,
    pub(crate) min_version: u64,
    /// Set for a text that only one version can continue.
    pub(crate) pin: Option<VersionPin>,
    /// The regions in which the item may run.
    pub(crate) residency: Residency,
    pub(crate) group: Arc<str>,
    pub(crate) order: StartOrder,
    pub(crate) avoid: Vec<Arc<str>>,
}

impl SlotRequest {
    /// The versions of the engines that can continue the item's text.
    fn versions(&self) -> RangeInclusive<u64> {
        match &self.pin {
            Some(pin) => pin.versions(),
            None => self.any_version(),
        }
    }

    /// The versions of the engines at which the item may start.
    fn any_version(&self) -> RangeInclusive<u64> {
        self.min_version..=u64::MAX
    }
}

/// A slot at an engine, released on drop.
#[derive(Debug)]
pub(crate) struct EngineSlot {
    pub(crate) target: EndpointTarget,
    pub(crate) in_flight: InFlight,
    /// The version of the item's model at the engine, as far as known.
    pub(crate) version: u64,
}

#[derive(Debug)]
struct Waiter {
    request: SlotRequest,
    pinned_wait: PinnedWait,
    sender: oneshot::Sender<EngineSlot>,
}

/// The engines of a service, with their versions of one model.
#[derive(Debug)]
struct ServiceEngines {
    service: Arc<str>,
    model: Option<Arc<str>>,
    residency: Residency,
    /// The oldest version that a waiting request accepts.
    min_version: u64,
    engines: Vec<EngineView>,
}

impl ServiceEngines {
    fn serves(&self, request: &SlotRequest) -> bool {
        self.service == request.service
            && self.model == request.model
            && self.residency == request.residency
    }
}

/// An item that wants to move off a leaving engine.
#[derive(Debug)]
struct Departing {
    service: Arc<str>,
    model: Option<Arc<str>>,
    /// The time that the rest of its text takes.
    remaining_ms: u64,
}

impl Departing {
    fn competes_with(&self, request: &SlotRequest) -> bool {
        self.service == request.service && self.model == request.model
    }
}

/// The queue of items that wait for a slot, and the engines on which each group runs.
#[derive(Debug)]
pub(crate) struct Dispatch {
    endpoints: Rc<Endpoints>,
    waiting: RefCell<Vec<Waiter>>,
    placed_groups: RefCell<GroupPlacements>,
    /// Times of finished texts, by service.
    generation_times: RefCell<SortedMap<Arc<str>, GenerationTimes>>,
    /// Items that want to move off leaving engines, by text key.
    departing: RefCell<SortedMap<Arc<str>, Departing>>,
    residency_waits: ResidencyWaits,
}

impl Dispatch {
    pub(crate) fn spawn(endpoints: Rc<Endpoints>, instruments: Rc<Instruments>) -> Rc<Self> {
        let dispatch = Rc::new(Self {
            endpoints,
            waiting: RefCell::default(),
            placed_groups: RefCell::default(),
            generation_times: RefCell::default(),
            departing: RefCell::default(),
            residency_waits: ResidencyWaits::open(WAITING_GAUGE, instruments),
        });
        monoio::spawn(dispatch.clone().run());
        dispatch
    }

    /// Waits for a slot; waiting requests are served in their start order.
    pub(crate) async fn wait_for_slot(&self, request: SlotRequest) -> EngineSlot {
        loop {
            let (sender, receiver) = oneshot::channel();
            {
                let mut waiting = self.waiting.borrow_mut();
                let now_ms = self.endpoints.now_ms();
                // Its place in an overload is found in the next round.
                let position_of =
                    |request: &SlotRequest| request.order.position(now_ms, ServiceLoad::Normal);
                let position = position_of(&request);
                let at = waiting.partition_point(|waiter| position_of(&waiter.request) <= position);
                let request = request.clone();
                let waiter = Waiter {
                    request,
                    pinned_wait: PinnedWait::default(),
                    sender,
                };
                waiting.insert(at, waiter);
            }
            self.endpoints.changed.notify_waiters();
            if let Ok(slot) = receiver.await {
                return slot;
            }
        }
    }

    /// Takes a slot for a running item at a better engine in the regions that are allowed now, if there is one.
    pub(crate) fn try_move(
        &self,
        request: &SlotRequest,
        residency: &Residency,
        item: RunningItem,
    ) -> Option<EngineSlot> {
        let engines = self.endpoints.engines(
            &request.service,
            residency,
            request.model.as_ref(),
            request.min_version,
        );
        let placement = placement(request, request.versions());
        let chosen = choose_better_engine(&engines, placement, item)?;
        self.start(chosen)
    }

    /// Takes a free slot elsewhere, in the regions that are allowed now, for an item whose engine leaves, if no item with
    /// more left to generate needs it.
    /// `key` and `remaining_ms` take part in that comparison until [`Self::end_departure`].
    pub(crate) fn try_leave(
        &self,
        key: &Arc<str>,
        remaining_ms: u64,
        request: &SlotRequest,
        residency: &Residency,
    ) -> Option<EngineSlot> {
        let mut departing = self.departing.borrow_mut();
        let own = Departing {
            service: request.service.clone(),
            model: request.model.clone(),
            remaining_ms,
        };
        departing.insert(key.clone(), own);
        let engines = self.endpoints.engines(
            &request.service,
            residency,
            request.model.as_ref(),
            request.min_version,
        );
        let placement = placement(request, request.versions());
        let free = engines.iter().filter(|engine| can_take(engine, placement));
        let free_slots = free.map(|engine| engine.slots - engine.load).sum();
        let others = departing.iter().filter(|(other, _)| *other != key);
        let competing = others.filter(|(_, other)| other.competes_with(request));
        let other_remaining_ms = competing.map(|(_, other)| other.remaining_ms);
        if !gets_free_slot(remaining_ms, other_remaining_ms, free_slots) {
            return None;
        }
        let chosen = choose_engine(&engines, placement)?;
        self.start(chosen)
    }

    /// Takes a slot at an engine; `None` if the engine is gone or may not be sent to now.
    fn start(&self, chosen: &EngineView) -> Option<EngineSlot> {
        let (target, in_flight) = self.endpoints.start(&chosen.instance)?;
        Some(EngineSlot {
            target,
            in_flight,
            version: chosen.version,
        })
    }

    /// Ends the part of an item in the comparison of [`Self::try_leave`].
    pub(crate) fn end_departure(&self, key: &str) {
        self.departing.borrow_mut().remove(key);
    }

    /// Records the time that a text of a service took.
    pub(crate) fn on_text_finished(&self, service: &Arc<str>, text: FinishedText) {
        let mut times = self.generation_times.borrow_mut();
        let of_service = times.get_or_insert_with(service.clone(), GenerationTimes::default);
        of_service.record(text);
    }

    /// The expected time to generate the rest of a text of which `events` are there; `None` if nothing is known.
    pub(crate) fn remaining_ms(
        &self,
        service: &str,
        hint_tokens: Option<u64>,
        events: u64,
    ) -> Option<u64> {
        let times = self.generation_times.borrow();
        times.get(service)?.remaining_ms(hint_tokens, events)
    }

    async fn run(self: Rc<Self>) {
        loop {
            let changed = self.endpoints.changed.notified();
            if self.waiting.borrow().is_empty() {
                changed.await;
            } else {
                within_ms(self.recheck_in_ms(), changed).await;
            }
            self.endpoints.remove_expired();
            let started_at_ms = self.endpoints.now_ms();
            self.assign_slots();
            if !self.waiting.borrow().is_empty() {
                // Looking through many engines takes long; at most half of the time goes to it.
                sleep_ms(self.endpoints.now_ms() - started_at_ms).await;
            }
        }
    }

    /// When waiting items are reconsidered: at the latest when a cold endpoint may get the next request.
    fn recheck_in_ms(&self) -> u64 {
        let mut services: Vec<Arc<str>> = Vec::new();
        for Waiter { request, .. } in self.waiting.borrow().iter() {
            if !services.contains(&request.service) {
                services.push(request.service.clone());
            }
        }
        let waits_ms = services
            .iter()
            .filter_map(|service| self.endpoints.cold_wait_ms(service));
        waits_ms.min().map_or(RECHECK_INTERVAL_MS, |wait_ms| {
            wait_ms.min(RECHECK_INTERVAL_MS)
        })
    }

    /// Goes through the queue once; requests that get no slot stay in it, in order.
    fn assign_slots(&self) {
        let mut waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        waiting.retain(|waiter| !waiter.sender.is_closed());
        self.report_residency_waits(&waiting);
        let now_ms = self.endpoints.now_ms();
        let overloaded = self.overloaded_services(&waiting, now_ms);
        // Almost sorted: only items that have become late since the last round change places.
        waiting.sort_by_key(|Waiter { request, .. }| {
            let load = match overloaded.contains(&request.service) {
                true => ServiceLoad::Overloaded,
                false => ServiceLoad::Normal,
            };
            request.order.position(now_ms, load)
        });
        let mut looked_up = self.engines_for_all(&waiting);
        let mut unserved = Vec::new();
        for mut waiter in waiting {
            let request = &waiter.request;
            let engines = engines_for(request, &mut looked_up);
            let mut slot = self.try_take_slot(request, request.versions(), engines);
            if let (None, Some(pin)) = (&slot, &request.pin)
                && waiter.pinned_wait.gives_up(pin, engines, now_ms)
            {
                slot = self.try_take_slot(request, request.any_version(), engines);
            }
            match slot {
                Some(slot) => {
                    // If the receiver is gone, the slot is dropped and thus released.
                    let _ = waiter.sender.send(slot);
                }
                None => unserved.push(waiter),
            }
        }
        let mut waiting = self.waiting.borrow_mut();
        unserved.append(&mut waiting);
        *waiting = unserved;
    }

    /// Reports the items that wait although endpoints elsewhere may be free: none is in a region that they allow.
    fn report_residency_waits(&self, waiting: &[Waiter]) {
        let mut counts: SortedMap<Arc<str>, u64> = SortedMap::default();
        let mut looked_up: Vec<(&SlotRequest, bool)> = Vec::new();
        let restricted = waiting.iter().map(|waiter| &waiter.request);
        for request in restricted.filter(|request| request.residency.is_restricted()) {
            let is_same = |(known, _): &&(&SlotRequest, bool)| {
                known.service == request.service && known.residency == request.residency
            };
            let has_live = match looked_up.iter().find(is_same) {
                Some((_, has_live)) => *has_live,
                None => {
                    let has_live = self
                        .endpoints
                        .has_live(&request.service, &request.residency);
                    looked_up.push((request, has_live));
                    has_live
                }
            };
            if !has_live {
                *counts.get_or_insert_with(request.service.clone(), || 0) += 1;
            }
        }
        self.residency_waits.report(counts);
    }

    /// The services that cannot serve all items that wait here in time. Items that wait at other daemons do not count, so
    /// a service that is listed is overloaded, but not the other way round.
    fn overloaded_services(&self, waiting: &[Waiter], now_ms: u64) -> Vec<Arc<str>> {
        let mut backlogs: SortedMap<Arc<str>, Backlog> = SortedMap::default();
        for Waiter { request, .. } in waiting {
            if let StartOrder::Urgent(_) = request.order {
                let backlog =
                    backlogs.get_or_insert_with(request.service.clone(), Backlog::default);
                backlog.add(&request.order);
            }
        }
        let is_overloaded = |(service, backlog): &(&Arc<str>, &Backlog)| {
            let slots = self.endpoints.slots_of(service);
            backlog.service_load(slots, now_ms) == ServiceLoad::Overloaded
        };
        let overloaded = backlogs.iter().filter(is_overloaded);
        overloaded.map(|(service, _)| service.clone()).collect()
    }

    /// The engines of each service and model that waiting requests need, looked up once per round, without those whose
    /// versions are too old for all of them.
    fn engines_for_all(&self, waiting: &[Waiter]) -> Vec<ServiceEngines> {
        let mut needed: Vec<ServiceEngines> = Vec::new();
        for Waiter { request, .. } in waiting {
            match needed.iter_mut().find(|needed| needed.serves(request)) {
                Some(known) => known.min_version = known.min_version.min(request.min_version),
                None => needed.push(ServiceEngines {
                    service: request.service.clone(),
                    model: request.model.clone(),
                    residency: request.residency.clone(),
                    min_version: request.min_version,
                    engines: Vec::new(),
                }),
            }
        }
        for of_service in &mut needed {
            let model = of_service.model.as_ref();
            let min_version = of_service.min_version;
            of_service.engines = self.endpoints.engines(
                &of_service.service,
                &of_service.residency,
                model,
                min_version,
            );
        }
        needed
    }

    fn try_take_slot(
        &self,
        request: &SlotRequest,
        versions: RangeInclusive<u64>,
        engines: &mut [EngineView],
    ) -> Option<EngineSlot> {
        let placement = placement(request, versions);
        // A cheap check first: most items of a large step find no free engine.
        if !engines.iter().any(|engine| can_take(engine, placement)) {
            return None;
        }
        let mut placed = self.placed_groups.borrow_mut();
        let engines_of_group = placed.engines_of(&request.group);
        for engine in engines.iter_mut() {
            engine.has_group = engines_of_group.contains(&engine.instance);
        }
        loop {
            let chosen = choose_engine(engines, placement)?.instance.clone();
            let mut chosen_engines = engines.iter_mut();
            let engine = chosen_engines.find(|engine| engine.instance == chosen)?;
            if let Some(slot) = self.start(engine) {
                engine.load += 1;
                placed.record(&request.group, &chosen);
                return Some(slot);
            }
            // It may get no more requests in this round: it is cold and has got this daemon's share.
            engine.load = engine.load.max(engine.slots);
        }
    }
}

fn engines_for<'k>(
    request: &SlotRequest,
    looked_up: &'k mut [ServiceEngines],
) -> &'k mut [EngineView] {
    let of_service = looked_up
        .iter_mut()
        .find(|of_service| of_service.serves(request));
    of_service.map_or(&mut [], |of_service| &mut of_service.engines)
}

fn placement(request: &SlotRequest, versions: RangeInclusive<u64>) -> PlacementRequest<'_> {
    PlacementRequest {
        min_version: *versions.start(),
        max_version: *versions.end(),
        avoid: &request.avoid,
    }
}
