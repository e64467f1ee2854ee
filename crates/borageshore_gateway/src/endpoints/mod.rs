//! This daemon's view of the endpoints: listed state, load, model versions and event latency.

mod cold;
mod evacuation;
mod in_flight;
mod listing;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::{SortedMap, rendezvous_weight};
use borageshore_batch::{
    EngineLatency, EngineVersions, EngineView, EventLatencies, ModelVersion, RunningItem,
};
use borageshore_diagnostics::Instruments;
use borageshore_net::Clock;
use borageshore_platform::{EndpointClient, EndpointEntry, EndpointTarget, Features};
use borageshore_routing::{
    CallingDaemon, ChoiceRequest, ColdBounds, ColdEndpoints, Endpoint, EndpointListing,
    EndpointRegistry, EndpointState, EndpointTable, LoadSummary, choose_from_subset,
};
use borageshore_topology::{Residency, Topology};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use self::cold::ColdWatch;
pub(crate) use self::{cold::SharedViews, in_flight::InFlight};
use crate::{
    mechanisms::{Mechanism, Mechanisms},
    routes::Routes,
};

/// A load that is not reported done within this time is considered lost. A load takes about a second, somewhat more if
/// four run at once.
const LOAD_TIMEOUT_MS: u64 = 3_000;

/// The assumed time between two events where no engine's is known.
const UNKNOWN_EVENT_US: u64 = 40_000;

/// A model version that an engine was ordered to load.
#[derive(Debug, Clone)]
struct Loading {
    target: ModelVersion,
    /// When the order is considered lost.
    until_ms: u64,
}

/// Changes of entries since they were last applied to the table.
#[derive(Debug, Default)]
struct EntryChanges {
    /// The ids whose entry changed.
    ids: Vec<Arc<str>>,
    /// The instances that ended.
    ended: Vec<Arc<str>>,
}

/// An engine of a service in use by a route.
#[derive(Debug)]
pub(crate) struct RoutedEngine {
    pub(crate) instance: Arc<str>,
    /// Whether the platform may reclaim it.
    pub(crate) is_spot: bool,
}

/// Dependencies of [`Endpoints`].
#[derive(Debug)]
pub(crate) struct EndpointParts {
    pub(crate) own_name: Arc<str>,
    pub(crate) topology: Rc<Topology>,
    pub(crate) seed: u64,
    pub(crate) clock: Clock,
    pub(crate) routes: Rc<Routes>,
    pub(crate) client: EndpointClient,
    pub(crate) mechanisms: Rc<Mechanisms>,
    pub(crate) features: Features,
    pub(crate) cold_bounds: Option<ColdBounds>,
    pub(crate) instruments: Rc<Instruments>,
}

/// The endpoints of all services.
#[derive(Debug)]
pub(crate) struct Endpoints {
    clock: Clock,
    own_name: Arc<str>,
    topology: Rc<Topology>,
    mechanisms: Rc<Mechanisms>,
    features: Features,
    routes: Rc<Routes>,
    client: EndpointClient,
    instruments: Rc<Instruments>,
    cold_watch: ColdWatch,
    registry: RefCell<EndpointRegistry<EndpointEntry>>,
    /// After a gap in the records: ids that were known before it and may have been removed during it.
    unconfirmed: RefCell<Option<Vec<Arc<str>>>>,
    /// Entries that expired during or shortly after a store outage, with the time at which they are removed.
    expired: RefCell<SortedMap<Arc<str>, u64>>,
    table: RefCell<EndpointTable>,
    /// Addresses of the instances in `table`.
    targets: RefCell<SortedMap<Arc<str>, EndpointTarget>>,
    versions: RefCell<EngineVersions>,
    loading: RefCell<SortedMap<Arc<str>, Loading>>,
    latencies: RefCell<EventLatencies>,
    /// When each instance that has notice to leave does so.
    leaving: RefCell<SortedMap<Arc<str>, u64>>,
    /// Leaving engines that run items of this daemon and have not said when they leave, with their services.
    unannounced: RefCell<Vec<(Arc<str>, Arc<str>)>>,
    /// Notified when an engine is added to `unannounced`.
    departure_noted: Notify,
    /// Changes that are not yet applied to `table`.
    changes: RefCell<EntryChanges>,
    last_read_at_ms: Cell<u64>,
    outage_ended_at_ms: Cell<Option<u64>>,
    random: RefCell<Pcg64Mcg>,
    /// Instances that ended while listed as live, since the last [`Self::take_ended`].
    ended: RefCell<Vec<Arc<str>>>,
    /// Notified when an instance is added to `ended`.
    pub(crate) endpoint_ended: Notify,
    /// Notified when an endpoint may have become usable.
    pub(crate) changed: Notify,
}

impl Endpoints {
    pub(crate) fn open(parts: EndpointParts) -> Rc<Self> {
        let mut table = EndpointTable::default();
        *table.cold_mut() = ColdEndpoints::open(parts.own_name.clone(), parts.cold_bounds);
        Rc::new(Self {
            clock: parts.clock,
            own_name: parts.own_name,
            topology: parts.topology,
            mechanisms: parts.mechanisms,
            features: parts.features,
            routes: parts.routes,
            client: parts.client,
            instruments: parts.instruments,
            cold_watch: ColdWatch::default(),
            registry: RefCell::default(),
            unconfirmed: RefCell::default(),
            expired: RefCell::default(),
            table: RefCell::new(table),
            targets: RefCell::default(),
            versions: RefCell::default(),
            loading: RefCell::default(),
            latencies: RefCell::default(),
            leaving: RefCell::default(),
            unannounced: RefCell::default(),
            departure_noted: Notify::new(),
            changes: RefCell::default(),
            last_read_at_ms: Cell::new(0),
            outage_ended_at_ms: Cell::new(None),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(parts.seed)),
            ended: RefCell::default(),
            endpoint_ended: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Takes the instances that ended while listed as live, without having been [`EndpointState::Leaving`] before.
    pub(crate) fn take_ended(&self) -> Vec<Arc<str>> {
        self.ended.take()
    }

    fn note_ended(&self, listing: &EndpointListing) {
        if listing.state == EndpointState::Live {
            self.ended.borrow_mut().push(listing.name.clone());
            self.endpoint_ended.notify_one();
        }
    }

    /// Whether requests to a service may compete for its endpoints: the deployment expects overload, or an endpoint of
    /// the service has reported since it started how slow its VM is.
    pub(crate) fn has_contention(&self, service: &str) -> bool {
        self.features.overload_control || self.table.borrow().reports_slowdowns(service)
    }

    /// The load of a service's usable endpoints in allowed regions; the cost grows with the number of endpoints.
    pub(crate) fn load_summary(&self, service: &str, residency: &Residency) -> LoadSummary {
        let now_ms = self.clock.now_ms();
        let table = self.table.borrow();
        let usable = table.usable(service, now_ms);
        let is_inside =
            |endpoint: &&Endpoint| self.topology.allows(residency, &endpoint.listing.zone);
        LoadSummary::of(usable.filter(is_inside), now_ms)
    }

    /// Whether any endpoint is known.
    pub(crate) fn is_known(&self) -> bool {
        !self.registry.borrow().is_empty()
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn random(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    /// Whether any endpoint of a service is listed as live in an allowed region.
    pub(crate) fn has_live(&self, service: &str, residency: &Residency) -> bool {
        let allows = |zone: &str| self.topology.allows(residency, zone);
        self.table.borrow().has_live(service, allows)
    }

    /// Whether an instance is in an allowed region; one that is no longer listed is in none.
    pub(crate) fn allows(&self, residency: &Residency, instance: &str) -> bool {
        let table = self.table.borrow();
        let zone = table.get(instance).map(|endpoint| &*endpoint.listing.zone);
        !residency.is_restricted() || zone.is_some_and(|zone| self.topology.allows(residency, zone))
    }

    /// Chooses an endpoint of a service in an allowed region for a call and counts the call there.
    pub(crate) fn choose(
        self: &Rc<Self>,
        service: &str,
        residency: &Residency,
        tried: &[Arc<str>],
    ) -> Option<(EndpointTarget, InFlight)> {
        let request = ChoiceRequest {
            service,
            prefix: None,
            topology: &self.topology,
            residency,
            tried,
        };
        let now_ms = self.clock.now_ms();
        let chosen = {
            let table = self.table.borrow();
            let random = &mut *self.random.borrow_mut();
            let daemon = CallingDaemon {
                name: &self.own_name,
                has_idle: |endpoint: &Endpoint| self.client.has_idle(&endpoint.listing.address),
            };
            choose_from_subset(&table, daemon, request, now_ms, random)?
        };
        self.start(&chosen)
    }

    /// Counts a request at an endpoint; `None` if the endpoint is no longer listed, its zone is evacuated or it may not be sent
    /// to now.
    pub(crate) fn start(
        self: &Rc<Self>,
        instance: &Arc<str>,
    ) -> Option<(EndpointTarget, InFlight)> {
        let target = self.target_of(instance)?;
        let mut table = self.table.borrow_mut();
        self.update_cold(&mut table);
        let now_ms = self.clock.now_ms();
        let listing = table.get(instance).map(|known| &known.listing);
        let is_cold = listing.is_some_and(|listing| table.cold().is_cold(listing, now_ms));
        let may_send = listing.is_some_and(|listing| table.may_send(listing, now_ms));
        if is_cold {
            let outcome = if may_send { "sent" } else { "refused" };
            self.instruments.count("cold_send", outcome);
        }
        if !may_send {
            return None;
        }
        table.on_start(instance);
        table.on_send(instance, now_ms);
        let in_flight = InFlight {
            endpoints: self.clone(),
            instance: instance.clone(),
            is_counted: true,
        };
        Some((target, in_flight))
    }

    /// The usable engines of a service in allowed regions, in an order that differs between daemons, that have at least
    /// `min_version` of a model, for the placement of items.
    pub(crate) fn engines(
        &self,
        service: &str,
        residency: &Residency,
        model: Option<&Arc<str>>,
        min_version: u64,
    ) -> Vec<EngineView> {
        let now_ms = self.clock.now_ms();
        let table = self.table.borrow();
        let versions = self.versions.borrow();
        let latencies = self.latencies.borrow();
        let leaving = self.leaving.borrow();
        let median_us = latencies.median_us(now_ms);
        let view = |endpoint: &Endpoint| {
            let instance = &endpoint.listing.name;
            let version = model.map_or(0, |model| versions.get(instance, model));
            let zone = &endpoint.listing.zone;
            let is_eligible = version >= min_version
                && !leaving.contains_key(instance)
                && self.topology.allows(residency, zone);
            is_eligible.then(|| EngineView {
                instance: instance.clone(),
                slots: endpoint.slots(),
                load: endpoint.load(now_ms),
                version,
                is_loading: self.is_loading(instance),
                latency_percent: latencies.percent_of_median(instance, median_us, now_ms),
                distance: self.topology.distance_to(zone),
                is_cold: table.cold().is_cold(&endpoint.listing, now_ms),
                has_group: false,
            })
        };
        let mut engines: Vec<EngineView> = table.usable(service, now_ms).filter_map(view).collect();
        // Each daemon starts elsewhere among equal engines, and at about the same place when engines come and go.
        let share = rendezvous_weight(service, &self.own_name) >> 32;
        let start = (share * engines.len() as u64) >> 32;
        engines.rotate_left(start as usize);
        engines
    }

    /// The live engines of services in use by a route, ordered by id, without those of evacuated zones.
    pub(crate) fn routed_engines(&self) -> Vec<RoutedEngine> {
        let registry = self.registry.borrow();
        let routed = self.routed(registry.values());
        let table = self.table.borrow();
        let evacuations = table.evacuations();
        let live = routed.filter(|entry| {
            entry.listing.state == EndpointState::Live
                && !entry.models.is_empty()
                && !evacuations.is_evacuated(&entry.listing.zone)
        });
        live.map(|entry| RoutedEngine {
            instance: entry.listing.name.clone(),
            is_spot: entry.is_spot,
        })
        .collect()
    }

    /// The address of an instance; `None` if it is no longer listed or its zone is evacuated.
    pub(crate) fn target_of(&self, instance: &str) -> Option<EndpointTarget> {
        if self.is_evacuated(instance) {
            return None;
        }
        self.targets.borrow().get(instance).cloned()
    }

    /// The models that engines of services in use by a route serve, ordered by name.
    pub(crate) fn models(&self) -> Vec<Arc<str>> {
        let registry = self.registry.borrow();
        let mut models: Vec<Arc<str>> = Vec::new();
        for entry in self.routed(registry.values()) {
            for (model, _) in &entry.models {
                if let Err(at) = models.binary_search(model) {
                    models.insert(at, model.clone());
                }
            }
        }
        models
    }

    /// The entries of services in use by a route. Each service is looked up once, as services have many endpoints.
    fn routed<'e, Entries>(&'e self, entries: Entries) -> impl Iterator<Item = &'e EndpointEntry>
    where
        Entries: Iterator<Item = &'e EndpointEntry>,
    {
        let mut looked_up: SortedMap<Arc<str>, bool> = SortedMap::default();
        entries.filter(move |entry| {
            let service = &entry.listing.service;
            match looked_up.get(service) {
                Some(is_routed) => *is_routed,
                None => {
                    let is_routed = self.routes.names_service(service);
                    looked_up.insert(service.clone(), is_routed);
                    is_routed
                }
            }
        })
    }

    /// Visits the entries of a service, draining ones too.
    pub(crate) fn for_each_entry<Visit>(&self, service: &str, visit: Visit)
    where
        Visit: FnMut(&EndpointEntry),
    {
        let registry = self.registry.borrow();
        let entries = registry.values();
        entries
            .filter(|entry| &*entry.listing.service == service)
            .for_each(visit);
    }

    /// The sum of the slots of a service's live endpoints, without those of evacuated zones.
    pub(crate) fn slots_of(&self, service: &str) -> u64 {
        let registry = self.registry.borrow();
        let table = self.table.borrow();
        let evacuations = table.evacuations();
        let of_service = registry.values().filter(|entry| {
            let listing = &entry.listing;
            &*listing.service == service
                && listing.state == EndpointState::Live
                && !evacuations.is_evacuated(&listing.zone)
        });
        of_service.map(|entry| entry.slots).sum()
    }

    /// The estimated running and queued requests of all daemons at a service's endpoints, without those of evacuated
    /// zones.
    pub(crate) fn load_of(&self, service: &str) -> u64 {
        let now_ms = self.clock.now_ms();
        let table = self.table.borrow();
        let evacuations = table.evacuations();
        let of_service = table.iter().filter(|endpoint| {
            let listing = &endpoint.listing;
            &*listing.service == service && !evacuations.is_evacuated(&listing.zone)
        });
        of_service.map(|endpoint| endpoint.load(now_ms)).sum()
    }

    pub(crate) fn with_versions<Read, Output>(&self, read: Read) -> Output
    where
        Read: FnOnce(&EngineVersions) -> Output,
    {
        read(&self.versions.borrow())
    }

    /// Records the version of a model at an engine.
    pub(crate) fn on_version(&self, instance: &Arc<str>, model: &Arc<str>, version: u64) {
        self.versions.borrow_mut().observe(instance, model, version);
        self.changed.notify_waiters();
    }

    /// Records that an engine was ordered to load a version.
    pub(crate) fn on_load_ordered(&self, instance: &Arc<str>, target: ModelVersion) {
        let until_ms = self.clock.now_ms() + LOAD_TIMEOUT_MS;
        let loading = Loading { target, until_ms };
        self.loading.borrow_mut().insert(instance.clone(), loading);
    }

    /// Records that an engine finished the load that it was ordered.
    pub(crate) fn on_load_done(&self, instance: &Arc<str>) {
        self.loading.borrow_mut().remove(instance);
        self.changed.notify_waiters();
    }

    /// Whether an engine is loading weights: it was ordered to within [`LOAD_TIMEOUT_MS`] and has not reported the
    /// version.
    ///
    /// Comparing versions guards against old orders that are read after a stop of all daemons, which would keep items
    /// away from engines that finished loading long ago. Two of nine engines got no items for 3 s after such a stop.
    pub(crate) fn is_loading(&self, instance: &Arc<str>) -> bool {
        let loading = self.loading.borrow();
        let versions = self.versions.borrow();
        loading.get(instance).is_some_and(|loading| {
            let target = &loading.target;
            self.clock.now_ms() < loading.until_ms
                && versions.get(instance, &target.model) < target.version
        })
    }

    /// How long an instance still runs; `None` if it has no notice to leave.
    pub(crate) fn leaves_in_ms(&self, instance: &Arc<str>) -> Option<u64> {
        let leaves_at_ms = *self.leaving.borrow().get(instance)?;
        Some(leaves_at_ms.saturating_sub(self.clock.now_ms()))
    }

    /// Records the time between two events of a generation.
    pub(crate) fn on_event_gap(&self, instance: &Arc<str>, gap_us: u64) {
        if !self.mechanisms.is_enabled(Mechanism::Pace) {
            return;
        }
        let now_ms = self.clock.now_ms();
        let table = self.table.borrow();
        let mut latencies = self.latencies.borrow_mut();
        match table.get(instance) {
            Some(engine) if engine.has_reported_slowdown() => {
                let momentary_percent = engine.momentary_slowdown_percent(now_ms);
                latencies.record_steady(instance, gap_us, momentary_percent, now_ms);
            }
            _ => latencies.record(instance, gap_us, now_ms),
        }
    }

    /// The lasting latencies of engines that differ from the median; none where engines do not report slowdowns.
    pub(crate) fn latencies_to_hand_over(&self) -> Vec<EngineLatency> {
        let now_ms = self.clock.now_ms();
        self.latencies.borrow().to_hand_over(now_ms)
    }

    /// Takes over latencies that another daemon measured, of the engines that are still listed; returns their number.
    pub(crate) fn take_over_latencies(&self, handed_over: &[EngineLatency]) -> usize {
        let now_ms = self.clock.now_ms();
        let targets = self.targets.borrow();
        let mut latencies = self.latencies.borrow_mut();
        let is_listed = |latency: &&EngineLatency| targets.contains_key(&latency.instance);
        let mut taken = 0;
        for latency in handed_over.iter().filter(is_listed) {
            taken += usize::from(latencies.take_over(latency, now_ms));
        }
        taken
    }

    /// The time that a number of events takes at a median engine.
    pub(crate) fn generation_ms(&self, events: u64) -> u64 {
        let median_us = match self.latencies.borrow().median_us(self.clock.now_ms()) {
            0 => UNKNOWN_EVENT_US,
            median_us => median_us,
        };
        events * median_us / 1_000
    }

    /// An item that is running at an engine of a service.
    pub(crate) fn running_item(
        &self,
        service: &str,
        instance: &Arc<str>,
        events: u64,
    ) -> RunningItem {
        let now_ms = self.clock.now_ms();
        let latencies = self.latencies.borrow();
        let median_us = latencies.median_us(now_ms);
        let reports_slowdowns = self.table.borrow().reports_slowdowns(service);
        RunningItem {
            latency_percent: latencies.percent_of_median(instance, median_us, now_ms),
            events,
            median_us: reports_slowdowns.then_some(median_us),
        }
    }
}

fn target(entry: &EndpointEntry, topology: &Topology) -> EndpointTarget {
    EndpointTarget {
        instance: entry.listing.name.clone(),
        id: entry.id.clone(),
        started_at_ms: entry.started_at_ms,
        address: entry.listing.address.clone(),
        distance: topology.distance_to(&entry.listing.zone),
    }
}
