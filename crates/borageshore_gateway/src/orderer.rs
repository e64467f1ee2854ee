//! Orders engines to load the model versions that trainers announce. One daemon at a time does so.

use std::{cell::RefCell, pin::pin, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_batch::{
    EngineState, ModelTarget, ModelVersion, SwapLimits, SwapRound, load_candidates, plan_round,
};
use borageshore_net::{Clock, sleep_ms, within_ms};
use borageshore_platform::{
    EndpointClient, EndpointTarget, EngineReport, OrderResponse, VersionOrder,
};
use futures_util::future::{join_all, select};

use crate::{
    duties::{Duties, SendPermit},
    endpoints::{Endpoints, RoutedEngine},
    members::Members,
    routes::Routes,
    submission_index::SubmissionIndex,
};

/// The interval at which engines with pending orders are polled; their reports are 100 to 200 ms old.
const POLL_INTERVAL_MS: u64 = 80;
/// The delay of the first poll after an order, a little less than the 0.9 s that a load takes.
const FIRST_POLL_MS: u64 = 800;
/// An order that its engine has not carried out within this time is dropped and may be sent again.
const ORDER_TIMEOUT_MS: u64 = 2_600;
/// The longest pause between two rounds without pending orders.
const MAX_IDLE_PAUSE_MS: u64 = 1_000;

/// The reports of engines, by instance.
type Reports = SortedMap<Arc<str>, (EndpointTarget, EngineReport)>;

#[derive(Debug, Clone)]
struct SentOrder {
    target: ModelVersion,
    sent_at_ms: u64,
}

/// Dependencies of [`Orderer`].
#[derive(Debug)]
pub(crate) struct OrdererParts {
    pub(crate) duties: Rc<Duties>,
    pub(crate) clock: Clock,
    pub(crate) endpoints: Rc<Endpoints>,
    pub(crate) routes: Rc<Routes>,
    pub(crate) members: Rc<Members>,
    pub(crate) index: Rc<SubmissionIndex>,
    pub(crate) client: EndpointClient,
    pub(crate) limits: SwapLimits,
}

/// Sends orders while this daemon holds the duties ([`Duties`]).
#[derive(Debug)]
pub(crate) struct Orderer {
    parts: OrdererParts,
    pending: RefCell<SortedMap<Arc<str>, SentOrder>>,
}

impl Orderer {
    pub(crate) fn spawn(parts: OrdererParts) {
        let orderer = Rc::new(Self {
            parts,
            pending: RefCell::default(),
        });
        monoio::spawn(orderer.run());
    }

    async fn run(self: Rc<Self>) {
        loop {
            let published = pin!(self.parts.routes.version_published.notified());
            let round = pin!(self.parts.duties.round_announced());
            let is_busy = match self.parts.duties.offset_if_holder() {
                Some(at) => self.step(at).await,
                None => false,
            };
            if is_busy {
                sleep_ms(POLL_INTERVAL_MS).await;
            } else {
                within_ms(MAX_IDLE_PAUSE_MS, select(published, round)).await;
            }
        }
    }

    /// Collects completed orders and sends the next ones; returns whether any order may be pending.
    async fn step(&self, at: u64) -> bool {
        let done = self.collect_completed().await;
        let engines = self.parts.endpoints.routed_engines();
        let reports = self.reports(&self.candidates(&engines)).await;
        let planned = match reports.is_empty() {
            true => Vec::new(),
            false => self.plan(&engines, &reports),
        };
        if planned.is_empty() && done.is_empty() {
            return !self.pending.borrow().is_empty();
        }
        let order = |(instance, version): (Arc<str>, ModelVersion)| {
            let (target, report) = reports.get(&instance)?;
            Some((target.clone(), version, report.clone()))
        };
        let orders = planned.into_iter().filter_map(order).collect();
        self.announce(at, orders, done).await;
        true
    }

    /// The engines whose reports are needed to plan the next orders.
    fn candidates(&self, engines: &[RoutedEngine]) -> Vec<Arc<str>> {
        let states = self.states(engines, &Reports::default());
        let (models, limits) = (self.models(), self.parts.limits);
        let endpoints = &self.parts.endpoints;
        endpoints.with_versions(|versions| load_candidates(&states, versions, &models, limits))
    }

    /// Plans the next orders; an engine without a report counts as not busy.
    fn plan(&self, engines: &[RoutedEngine], reports: &Reports) -> Vec<(Arc<str>, ModelVersion)> {
        let states = self.states(engines, reports);
        let (models, limits) = (self.models(), self.parts.limits);
        let endpoints = &self.parts.endpoints;
        endpoints.with_versions(|versions| plan_round(&states, versions, &models, limits))
    }

    /// The states of engines. An engine counts as loading if this daemon has a pending order to it or if it reports so.
    /// Orders in rounds read from the store do not count: after a restart of all daemons, the newest round, however
    /// old, would use up the limit of parallel loads. A step then waited 4.1 s for a slot at engines that were two
    /// versions behind.
    fn states(&self, engines: &[RoutedEngine], reports: &Reports) -> Vec<EngineState> {
        let pending = self.pending.borrow();
        let state = |engine: &RoutedEngine| {
            let instance = &engine.instance;
            let report = reports.get(instance).map(|(_, report)| report);
            EngineState {
                instance: instance.clone(),
                is_loading: pending.contains_key(instance)
                    || report.is_some_and(|report| report.is_busy),
                is_leased: !self.parts.duties.may_order(instance),
                running: report.map_or(0, |report| report.running),
                is_spot: engine.is_spot,
            }
        };
        engines.iter().map(state).collect()
    }

    /// The target of each model that engines serve; version 0 if its trainer has not published one.
    fn models(&self) -> Vec<ModelTarget> {
        let published = self.parts.routes.published_versions();
        let target = |model: Arc<str>| {
            let version = published.iter().find(|published| published.model == model);
            ModelTarget {
                demand: self.parts.index.demand_of(&model),
                target: version
                    .cloned()
                    .unwrap_or(ModelVersion { model, version: 0 }),
            }
        };
        let models = self.parts.endpoints.models();
        models.into_iter().map(target).collect()
    }

    /// Requests the reports of engines; those that don't respond are left out.
    async fn reports(&self, engines: &[Arc<str>]) -> Reports {
        let targets = engines
            .iter()
            .filter_map(|engine| self.parts.endpoints.target_of(engine));
        let ask = targets.map(|target| async move {
            let report = self.parts.client.report(&target).await;
            (target, report)
        });
        let mut reports = Reports::default();
        for (target, report) in join_all(ask).await {
            match report {
                Ok(report) => {
                    self.record_versions(&target.instance, &report);
                    reports.insert(target.instance.clone(), (target, report));
                }
                Err(error) => {
                    log::info!(instance = &*target.instance, error:% = error; "engine did not report; sending it no order now");
                }
            }
        }
        reports
    }

    fn record_versions(&self, instance: &Arc<str>, report: &EngineReport) {
        for (model, version) in &report.models {
            self.parts.endpoints.on_version(instance, model, *version);
        }
    }

    async fn announce(
        &self,
        at: u64,
        orders: Vec<(EndpointTarget, ModelVersion, EngineReport)>,
        done: Vec<(Arc<str>, Arc<str>, u64)>,
    ) {
        if orders.is_empty() && done.is_empty() {
            return;
        }
        let holder = self.parts.members.own_name();
        let order = |(target, version, _): &(EndpointTarget, ModelVersion, EngineReport)| {
            (
                target.instance.clone(),
                version.model.clone(),
                version.version,
            )
        };
        let round = SwapRound {
            holder: holder.clone(),
            orders: orders.iter().map(order).collect(),
            done,
            others_ordered: self.parts.duties.held_by_others(),
        };
        let Some(permit) = self.parts.duties.announce_round(at, &round).await else {
            return;
        };
        let sending = orders.into_iter().map(|(target, version, report)| {
            let order = VersionOrder {
                model: version.model.clone(),
                version: version.version,
                holder: holder.clone(),
                epoch: permit.epoch,
                after_orders: report.orders_accepted,
            };
            self.send_order(target, version, order, permit)
        });
        join_all(sending).await;
    }

    async fn send_order(
        &self,
        target: EndpointTarget,
        version: ModelVersion,
        order: VersionOrder,
        permit: SendPermit,
    ) {
        if !permit.may_send() {
            log::warn!(instance = &*target.instance; "send window of an order has closed; not sending it");
            return;
        }
        if self.parts.endpoints.is_evacuated(&target.instance) {
            log::info!(instance = &*target.instance; "availability zone of an engine was evacuated; not sending its load order");
            return;
        }
        let instance = target.instance.clone();
        self.parts
            .endpoints
            .on_load_ordered(&instance, version.clone());
        let pending = SentOrder {
            target: version,
            sent_at_ms: self.parts.clock.now_ms(),
        };
        self.pending.borrow_mut().insert(instance.clone(), pending);
        let answer = self.parts.client.order(&target, &order).await;
        log::info!(
            instance = &*instance, model = &*order.model, version = order.version,
            epoch = order.epoch, answer:? = answer;
            "load order issued to an engine"
        );
        if let Ok(OrderResponse::Rejected(_)) = answer {
            self.pending.borrow_mut().remove(&instance);
            self.parts.endpoints.on_load_done(&instance);
        }
    }

    /// Polls the engines with pending orders; returns the instance, model and version of each completed load.
    async fn collect_completed(&self) -> Vec<(Arc<str>, Arc<str>, u64)> {
        let now_ms = self.parts.clock.now_ms();
        let pending = self.pending.borrow().clone();
        let is_due =
            |(_, order): &(&Arc<str>, &SentOrder)| now_ms >= order.sent_at_ms + FIRST_POLL_MS;
        let ask = pending.iter().filter(is_due).map(|(instance, order)| {
            let target = self.parts.endpoints.target_of(instance);
            async move {
                let report = match &target {
                    Some(target) => self.parts.client.report(target).await.ok(),
                    None => None,
                };
                (instance.clone(), order.clone(), target.is_some(), report)
            }
        });
        let mut done = Vec::new();
        for (instance, order, is_listed, report) in join_all(ask).await {
            if let Some(report) = &report {
                self.record_versions(&instance, report);
                if version_in(report, &order.target) >= order.target.version && !report.is_busy {
                    let version = version_in(report, &order.target);
                    done.push((instance.clone(), order.target.model.clone(), version));
                    self.pending.borrow_mut().remove(&instance);
                    continue;
                }
            }
            let age_ms = self.parts.clock.now_ms() - order.sent_at_ms;
            if !is_listed || age_ms > ORDER_TIMEOUT_MS {
                log::info!(instance = &*instance, model = &*order.target.model, version = order.target.version, age_ms; "load order not completed in time, or its engine is gone or evacuated; dropping the order");
                self.pending.borrow_mut().remove(&instance);
            }
        }
        done
    }
}

fn version_in(report: &EngineReport, target: &ModelVersion) -> u64 {
    let model = report
        .models
        .iter()
        .find(|(model, _)| *model == target.model);
    model.map_or(0, |(_, version)| *version)
}
