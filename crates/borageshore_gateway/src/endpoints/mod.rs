//! What this daemon knows of the endpoints: listed state, load, versions, pace.

mod in_flight;
mod listing;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{EngineVersions, EngineView, EventLatencies, ModelVersion};
use borageshore_net::Clock;
use borageshore_platform::{EndpointClient, EndpointEntry, EndpointTarget};
use borageshore_routing::{
    ChoiceRequest, EndpointListing, EndpointRegistry, EndpointState, EndpointTable, choose_endpoint,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

pub(crate) use self::in_flight::InFlight;
use crate::{
    mechanisms::{Mechanism, Mechanisms},
    routes::Routes,
};

/// An order that is not reported done by then is taken for lost. A load takes about a second, four
/// at once some more.
const LOADING_AT_MOST_MS: u64 = 3_000;
/// What an engine was told to load.
#[derive(Debug, Clone)]
struct Loading {
    target: ModelVersion,
    /// The order is taken for lost then.
    until_ms: u64,
}

/// The endpoints of all services.
#[derive(Debug)]
pub(crate) struct Endpoints {
    clock: Clock,
    zone: Arc<str>,
    mechanisms: Rc<Mechanisms>,
    routes: Rc<Routes>,
    client: EndpointClient,
    register: RefCell<EndpointRegistry<EndpointEntry>>,
    /// After a gap: endpoints that were known before and have not been listed since.
    unconfirmed: RefCell<Option<Vec<Arc<str>>>>,
    /// Entries that lapsed during or right after an outage, with when they count as gone.
    lapsed: RefCell<SortedMap<Arc<str>, u64>>,
    table: RefCell<EndpointTable>,
    /// Where requests to each instance of the table go.
    targets: RefCell<SortedMap<Arc<str>, EndpointTarget>>,
    versions: RefCell<EngineVersions>,
    loading: RefCell<SortedMap<Arc<str>, Loading>>,
    paces: RefCell<EventLatencies>,
    /// Whether an entry changed since the table was brought up to date.
    is_changed: Cell<bool>,
    read_at_ms: Cell<u64>,
    outage_ended_ms: Cell<Option<u64>>,
    random: RefCell<Pcg64Mcg>,
    /// The instances that ended without having said that they leave, since they were last taken.
    ended: RefCell<Vec<Arc<str>>>,
    /// Told when an instance has ended so.
    pub(crate) has_ended: Notify,
    /// Told when an endpoint may have become usable.
    pub(crate) changed: Notify,
}

impl Endpoints {
    pub(crate) fn open(
        zone: Arc<str>,
        seed: u64,
        clock: Clock,
        routes: Rc<Routes>,
        client: EndpointClient,
        mechanisms: Rc<Mechanisms>,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            zone,
            mechanisms,
            routes,
            client,
            register: RefCell::default(),
            unconfirmed: RefCell::default(),
            lapsed: RefCell::default(),
            table: RefCell::default(),
            targets: RefCell::default(),
            versions: RefCell::default(),
            loading: RefCell::default(),
            paces: RefCell::default(),
            is_changed: Cell::new(false),
            read_at_ms: Cell::new(0),
            outage_ended_ms: Cell::new(None),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            ended: RefCell::default(),
            has_ended: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Takes the instances that ended without having said that they leave.
    pub(crate) fn take_ended(&self) -> Vec<Arc<str>> {
        self.ended.take()
    }

    fn note_ended(&self, listing: &EndpointListing) {
        if listing.state == EndpointState::Live {
            self.ended.borrow_mut().push(listing.name.clone());
            self.has_ended.notify_one();
        }
    }

    /// Says whether any endpoint is known.
    pub(crate) fn is_known(&self) -> bool {
        !self.register.borrow().is_empty()
    }

    /// A random number, for the choice among equals.
    pub(crate) fn random(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    /// Chooses an endpoint of a service for a call and counts the call there.
    pub(crate) fn choose(
        self: &Rc<Self>,
        service: &str,
        tried: &[Arc<str>],
    ) -> Option<(EndpointTarget, InFlight)> {
        let request = ChoiceRequest {
            service,
            prefix: None,
            zone: &self.zone,
            tried,
        };
        let now_ms = self.clock.now_ms();
        let chosen = {
            let table = self.table.borrow();
            choose_endpoint(&table, request, now_ms, &mut *self.random.borrow_mut())?
        };
        self.start(&chosen)
    }

    /// Counts a request at an endpoint.
    pub(crate) fn start(
        self: &Rc<Self>,
        instance: &Arc<str>,
    ) -> Option<(EndpointTarget, InFlight)> {
        let mut table = self.table.borrow_mut();
        let target = self.targets.borrow().get(instance)?.clone();
        table.on_start(instance);
        let in_flight = InFlight {
            endpoints: self.clone(),
            instance: instance.clone(),
            is_counted: true,
        };
        Some((target, in_flight))
    }

    /// The engines of a service as the choice for an item sees them.
    pub(crate) fn engines(&self, service: &str, model: Option<&Arc<str>>) -> Vec<EngineView> {
        let now_ms = self.clock.now_ms();
        let table = self.table.borrow();
        let versions = self.versions.borrow();
        let paces = self.paces.borrow();
        let median_us = paces.median_us(now_ms);
        table
            .usable(service, now_ms)
            .map(|endpoint| {
                let instance = &endpoint.listing.name;
                EngineView {
                    instance: instance.clone(),
                    slots: endpoint.slots(),
                    load: endpoint.load(now_ms),
                    version: model.map_or(0, |model| versions.get(instance, model)),
                    is_loading: self.is_loading(instance),
                    latency_percent: paces.percent_of_median(instance, median_us, now_ms),
                    is_same_zone: endpoint.listing.zone == self.zone,
                    has_group: false,
                }
            })
            .collect()
    }

    /// The instances that serve a model and take new work, by id, with where they listen.
    pub(crate) fn engine_targets(&self) -> Vec<EndpointTarget> {
        let register = self.register.borrow();
        let live = register.values().filter(|entry| {
            entry.listing.state == EndpointState::Live
                && !entry.models.is_empty()
                && self.routes.names_service(&entry.listing.service)
        });
        live.map(target).collect()
    }

    /// The models that engines serve, by name.
    pub(crate) fn models(&self) -> Vec<Arc<str>> {
        let register = self.register.borrow();
        let named = |entry: &&EndpointEntry| self.routes.names_service(&entry.listing.service);
        let models = register.values().filter(named);
        let models = models.flat_map(|entry| &entry.models);
        let mut models: Vec<Arc<str>> = models.map(|(model, _)| model.clone()).collect();
        models.sort_unstable();
        models.dedup();
        models
    }

    /// The sum of the slots of a service's endpoints.
    pub(crate) fn slots_of(&self, service: &str) -> u64 {
        let register = self.register.borrow();
        let of_service = register.values().filter(|entry| {
            &*entry.listing.service == service && entry.listing.state == EndpointState::Live
        });
        of_service.map(|entry| entry.slots).sum()
    }

    /// Runs a function on what is known of versions.
    pub(crate) fn with_versions<Use, Made>(&self, make: Use) -> Made
    where
        Use: FnOnce(&EngineVersions) -> Made,
    {
        make(&self.versions.borrow())
    }

    /// Takes over the version of a model at an engine.
    pub(crate) fn on_version(&self, instance: &Arc<str>, model: &Arc<str>, version: u64) {
        self.versions.borrow_mut().observe(instance, model, version);
        self.changed.notify_waiters();
    }

    /// Notes that an engine is told to load a version.
    pub(crate) fn on_load_ordered(&self, instance: &Arc<str>, target: ModelVersion) {
        let until_ms = self.clock.now_ms() + LOADING_AT_MOST_MS;
        let loading = Loading { target, until_ms };
        self.loading.borrow_mut().insert(instance.clone(), loading);
    }

    /// Notes that an engine has loaded what it was told to.
    pub(crate) fn on_load_done(&self, instance: &Arc<str>) {
        self.loading.borrow_mut().remove(instance);
        self.changed.notify_waiters();
    }

    /// Says whether an engine is loading weights, as far as is known: it was told to, not long ago, and
    /// has not said that it has them.
    ///
    /// Guards the start after a full stop: the newest round of orders is read then, of whatever age, and
    /// two of nine engines got no items for 3 s though they had loaded long before.
    pub(crate) fn is_loading(&self, instance: &Arc<str>) -> bool {
        let loading = self.loading.borrow();
        let versions = self.versions.borrow();
        loading.get(instance).is_some_and(|loading| {
            let target = &loading.target;
            self.clock.now_ms() < loading.until_ms
                && versions.get(instance, &target.model) < target.version
        })
    }

    /// Takes over the time between two events of a generation.
    pub(crate) fn on_event_gap(&self, instance: &Arc<str>, gap_us: u64) {
        if self.mechanisms.is_enabled(Mechanism::Pace) {
            let now_ms = self.clock.now_ms();
            self.paces.borrow_mut().record(instance, gap_us, now_ms);
        }
    }

    /// The pace of an engine, in percent of the median of all engines.
    pub(crate) fn pace_of(&self, instance: &Arc<str>) -> u64 {
        let now_ms = self.clock.now_ms();
        let paces = self.paces.borrow();
        paces.percent_of_median(instance, paces.median_us(now_ms), now_ms)
    }
}

fn target(entry: &EndpointEntry) -> EndpointTarget {
    EndpointTarget {
        instance: entry.listing.name.clone(),
        id: entry.id.clone(),
        started_at_ms: entry.started_at_ms,
        address: entry.listing.address.clone(),
    }
}
