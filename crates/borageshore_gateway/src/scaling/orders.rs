//! Plans, announces and sends orders for endpoints while this daemon holds the duties.

use std::{pin::pin, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_diagnostics::Instruments;
use borageshore_net::{boot_time_ms, sleep_ms, within_ms};
use borageshore_platform::{DutyClient, DutyError, DutyHolder, EndpointOrder};
use borageshore_routing::EndpointState;
use borageshore_scaling::{
    KindCount, OrderOutcome, ScalingLimits, ScalingPlanner, ServiceView, SpotOrder, ZoneView,
};
use futures_util::future::{join_all, select};

use super::records::{EndpointOrders, order_subject};
use crate::{
    duties::{Duties, SendPermit},
    endpoints::Endpoints,
    members::Members,
    routes::Routes,
    submission_index::SubmissionIndex,
};

/// The longest pause between two plans: endpoints that are missing are noticed within it.
const MAX_PAUSE_MS: u64 = 1_000;
/// The shortest pause, as endpoints and submissions may change all the time.
const MIN_PAUSE_MS: u64 = 500;
/// The pause after an announcement that was not appended, usually because the partition had just grown.
const RETRY_MS: u64 = 250;
/// The maximum number of orders of an announcement, which are sent together; the platform limits calls a second.
const MAX_ORDERS: usize = 10;

/// Dependencies of [`EndpointScaler`].
#[derive(Debug)]
pub(crate) struct ScalerParts {
    pub(crate) client: DutyClient,
    pub(crate) duties: Rc<Duties>,
    pub(crate) orders: Rc<EndpointOrders>,
    pub(crate) endpoints: Rc<Endpoints>,
    pub(crate) routes: Rc<Routes>,
    pub(crate) index: Rc<SubmissionIndex>,
    pub(crate) members: Rc<Members>,
    pub(crate) instruments: Rc<Instruments>,
}

/// Orders endpoints for the services that have limits, while this daemon holds the duties ([`Duties`]).
#[derive(Debug)]
pub(crate) struct EndpointScaler {
    parts: ScalerParts,
}

impl EndpointScaler {
    pub(crate) fn spawn(parts: ScalerParts) {
        monoio::spawn(Self { parts }.run());
    }

    async fn run(self) {
        let mut planner = None;
        loop {
            let submitted = pin!(self.parts.index.changed.notified());
            let endpoints_changed = pin!(self.parts.endpoints.changed.notified());
            let Some(at) = self.offset_if_active() else {
                planner = None;
                sleep_ms(MAX_PAUSE_MS).await;
                continue;
            };
            let planner = planner.get_or_insert_with(ScalingPlanner::default);
            if self.step(at, planner).await {
                sleep_ms(MIN_PAUSE_MS).await;
                let changed = select(submitted, endpoints_changed);
                within_ms(MAX_PAUSE_MS - MIN_PAUSE_MS, changed).await;
            } else {
                sleep_ms(RETRY_MS).await;
            }
        }
    }

    /// The offset to announce at if this daemon holds the duties and knows what orders depend on.
    fn offset_if_active(&self) -> Option<u64> {
        let parts = &self.parts;
        let is_known = parts.endpoints.is_known() && parts.index.is_known();
        if parts.routes.scaling_limits().is_empty() || !is_known {
            return None;
        }
        parts.duties.offset_if_holder()
    }

    /// Sends the orders that are due; returns whether they could be announced.
    async fn step(&self, at: u64, planner: &mut ScalingPlanner) -> bool {
        let parts = &self.parts;
        let orders = self.plan(planner);
        if orders.is_empty() {
            return true;
        }
        let holder = parts.members.own_name();
        let others = parts.duties.held_by_others();
        let records = EndpointOrders::announcement(&holder, &others, &orders);
        let Some(permit) = parts.duties.announce(at, &records).await else {
            return false;
        };
        let duty_holder = DutyHolder {
            name: holder,
            epoch: permit.epoch,
        };
        let sending = orders
            .iter()
            .map(|order| self.send(&duty_holder, order, permit));
        for (order, outcome) in orders.iter().zip(join_all(sending).await) {
            planner.on_outcome(order, outcome, boot_time_ms());
        }
        log_left_out(planner);
        true
    }

    /// The orders to announce now, for subjects that no other holder may be acting on.
    fn plan(&self, planner: &mut ScalingPlanner) -> Vec<SpotOrder> {
        let parts = &self.parts;
        let items = parts.index.items_by_trainer();
        let mut orders = Vec::new();
        for (service, limits) in parts.routes.scaling_limits().iter() {
            if parts.routes.names_service(service) {
                let view = self.view(service, limits, &items);
                orders.extend(planner.plan(service, limits, &view, boot_time_ms()));
            }
        }
        log_left_out(planner);
        let may_act = |order: &SpotOrder| {
            parts
                .duties
                .may_act(&order_subject(&order.service, &order.zone))
        };
        orders.retain(may_act);
        orders.truncate(MAX_ORDERS);
        orders
    }

    fn view(
        &self,
        service: &str,
        limits: &ScalingLimits,
        items: &SortedMap<Arc<str>, u64>,
    ) -> ServiceView {
        let zone_view = |zone: &Arc<str>| ZoneView {
            announced: self.parts.orders.newest(service, zone),
            is_evacuated: self.parts.endpoints.is_zone_evacuated(zone),
            ..ZoneView::regular(zone, 0)
        };
        let mut zones: SortedMap<Arc<str>, ZoneView> = SortedMap::default();
        for zone in limits.zone_price_permille.keys() {
            zones.insert(zone.clone(), zone_view(zone));
        }
        let mut models: Vec<Arc<str>> = Vec::new();
        let mut slots = SlotCount::default();
        self.parts.endpoints.for_each_entry(service, |entry| {
            let zone = &entry.listing.zone;
            let view = zones.get_or_insert_with(zone.clone(), || zone_view(zone));
            let of_kind = match entry.is_spot {
                true => &mut view.spot,
                false => &mut view.regular,
            };
            let is_live = entry.listing.state == EndpointState::Live;
            count_endpoint(of_kind, is_live);
            slots.add(entry.slots, is_live && !entry.is_spot && !view.is_evacuated);
            for (model, _) in &entry.models {
                if let Err(at) = models.binary_search(model) {
                    models.insert(at, model.clone());
                }
            }
        });
        let needed = models.iter().filter_map(|model| items.get(model));
        ServiceView {
            needed_slots: needed.sum(),
            regular_slots: slots.live_regular,
            slots_each: slots.average(),
            zones: zones.values().cloned().collect(),
        }
    }

    async fn send(
        &self,
        holder: &DutyHolder,
        order: &SpotOrder,
        permit: SendPermit,
    ) -> OrderOutcome {
        let parts = &self.parts;
        let order = EndpointOrder {
            service: order.service.clone(),
            zone: order.zone.clone(),
            count: order.count,
            is_spot: true,
        };
        let calling = parts
            .client
            .order_endpoints(holder, &order, || permit.may_send());
        let answer = calling.await;
        let (outcome, counted) = match &answer {
            Ok(()) => (OrderOutcome::Accepted, "accepted"),
            Err(DutyError::Unavailable) => (OrderOutcome::Refused, "unavailable"),
            Err(error) if error.is_refusal() => (OrderOutcome::Refused, "refused"),
            Err(_) => (OrderOutcome::Unknown, "failed"),
        };
        parts.instruments.count("endpoint_order", counted);
        log::info!(
            service = &*order.service, zone = &*order.zone, count = order.count, is_spot = order.is_spot,
            epoch = holder.epoch, answer:? = answer;
            "endpoints ordered"
        );
        outcome
    }
}

/// The slots of a service's endpoints.
#[derive(Debug, Default)]
struct SlotCount {
    endpoints: u64,
    slots: u64,
    live_regular: u64,
}

impl SlotCount {
    fn add(&mut self, slots: u64, is_live_regular: bool) {
        self.endpoints += 1;
        self.slots += slots;
        if is_live_regular {
            self.live_regular += slots;
        }
    }

    fn average(&self) -> u64 {
        self.slots / self.endpoints.max(1)
    }
}

fn count_endpoint(count: &mut KindCount, is_live: bool) {
    match is_live {
        true => count.live += 1,
        false => count.leaving += 1,
    }
}

fn log_left_out(planner: &mut ScalingPlanner) {
    for left_out in planner.take_left_out() {
        log::info!(
            service = &*left_out.service, zone = &*left_out.zone, why:? = left_out.setback,
            back_off_ms = left_out.back_off_ms;
            "no endpoints to be had in a zone; ordering its share elsewhere for a while"
        );
    }
}
