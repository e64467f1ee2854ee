//! A fake engine of the platform with resumable streams, weight versions and load orders.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use borageshore_net::{
    Clock, EdgeRequest, EdgeResponse, Handler, HttpServer, json_response, read_body, sleep_ms,
    stream_body,
};
use bytes::Bytes;
use hyper::Response;
use serde::Deserialize;
use serde_json::json;

use super::{
    COLD_HEARTBEAT_MS, HEALTH_PATH, RecordedCaller,
    arrivals::{Arrival, Arrivals, ColdSwitches},
    crash::{Crashes, CrashingRequest},
    hash, header, health_response,
    store::PlatformStore,
};
use crate::http::{limits, status};

/// Maximum events of a text, except for items marked as long.
const MAX_EVENT_COUNT: u64 = 12;

/// Body of items that an engine answers with 422: they can never be done.
pub const IMPOSSIBLE_BODY: &str = "impossible";
/// Body of items that fail at each run, with 500.
pub const FAILING_BODY: &str = "failing";

/// The number of events of an item whose name starts with `long`.
pub const LONG_EVENT_COUNT: u64 = 60;

/// The number of events in the text of an item.
pub fn event_count(item: &str) -> u64 {
    match item.starts_with("long") {
        true => LONG_EVENT_COUNT,
        false => 1 + hash(item) % MAX_EVENT_COUNT,
    }
}

/// The data of an event; events are numbered from 1.
pub fn event_text(item: &str, event: u64) -> String {
    format!(
        "{item} event {event} {:016x}",
        hash(&format!("{item}/{event}"))
    )
}

/// Timing and injected faults of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSwitches {
    /// Time to generate one event.
    pub event_ms: u64,
    /// Time to load weights.
    pub load_ms: u64,
    /// Cuts every n-th run in the middle of an event; 0 cuts none.
    pub cut_every: u64,
    /// Applies orders after this delay, without a response; 0 applies them at once and responds.
    pub order_delay_ms: u64,
    /// Whether it accepts connections without responding to requests.
    pub is_unresponsive: bool,
}

/// A run of an item, as recorded by the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedRun {
    /// The item.
    pub item: String,
    /// Arrival time.
    pub at_ms: u64,
    /// The identity under which it ran.
    pub caller: RecordedCaller,
    /// The event after which it was to resume; 0 for a run from the start.
    pub after_event: u64,
    /// The generated events, each with its weight version.
    pub events: Vec<(u64, u64)>,
}

/// A load order, as recorded by the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Arrival time.
    pub at_ms: u64,
    /// The holder that sent it.
    pub holder: String,
    /// The holder's fencing token.
    pub epoch: u64,
    /// The requested weight version.
    pub version: u64,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    instance: String,
    model: String,
    version: Cell<u64>,
    /// Time of the last start; identifies the incarnation.
    started_at_ms: Cell<u64>,
    is_loading: Cell<bool>,
    orders_accepted: Cell<u64>,
    crashes: Rc<Crashes>,
    arrivals: Arrivals,
    zone: RefCell<String>,
    running: Cell<u64>,
    slots: u64,
    switches: Cell<EngineSwitches>,
    runs: RefCell<Vec<RecordedRun>>,
    failed_runs: RefCell<Vec<(String, u64)>>,
    orders: RefCell<Vec<ReceivedOrder>>,
    service: String,
    /// The store in which it is listed, with the listed address and state.
    listed: RefCell<Option<(PlatformStore, String, String)>>,
}

/// A running engine.
#[derive(Debug, Clone)]
pub struct PlatformEngine {
    shared: Rc<Shared>,
    server: HttpServer,
}

#[derive(Debug, Clone)]
struct Endpoint(Rc<Shared>);

#[derive(Debug, Deserialize)]
struct Order {
    version: u64,
    holder: String,
    fence: u64,
    expect: u64,
}

impl PlatformEngine {
    /// Starts an engine on a free port with weights of `version`; it is not listed yet.
    pub fn bind(
        service: &str,
        instance: &str,
        model: &str,
        version: u64,
        clock: Clock,
    ) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            clock,
            instance: instance.into(),
            model: model.into(),
            version: Cell::new(version),
            started_at_ms: Cell::new(clock.now_ms()),
            is_loading: Cell::new(false),
            orders_accepted: Cell::new(0),
            crashes: Rc::default(),
            arrivals: Arrivals::default(),
            zone: RefCell::new("z1".into()),
            running: Cell::new(0),
            slots: 8,
            switches: Cell::new(EngineSwitches {
                event_ms: 15,
                load_ms: 150,
                cut_every: 0,
                order_delay_ms: 0,
                is_unresponsive: false,
            }),
            runs: RefCell::default(),
            failed_runs: RefCell::default(),
            orders: RefCell::default(),
            service: service.into(),
            listed: RefCell::default(),
        });
        let server = HttpServer::bind("127.0.0.1:0", limits(), Endpoint(shared.clone()))?;
        Ok(Self { shared, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Lists it in the store under an address, which may be that of a proxy in front of it.
    pub fn list(&self, store: &PlatformStore, address: &str, state: &str) {
        let listed = (store.clone(), address.to_owned(), state.to_owned());
        self.shared.listed.replace(Some(listed));
        self.shared.write_entry();
    }

    /// Sets the zone in its entry; `z1` without.
    pub fn set_zone(&self, zone: &str) {
        self.shared.zone.replace(zone.into());
    }

    /// Changes how it behaves when it is cold.
    pub fn set_cold_switches(&self, switches: ColdSwitches) {
        self.shared.arrivals.set_cold_switches(switches);
    }

    /// Makes it cold for a while, and writes its entry at once.
    pub fn become_cold(&self, for_ms: u64) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.arrivals.become_cold(now_ms, for_ms);
        monoio::spawn(self.shared.clone().write_entries_while_cold());
    }

    /// The requests that reached it, in order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.all()
    }

    /// Restarts it under the same id with weights of `version`: running streams are cut and its order
    /// count is reset.
    pub fn restart(&self, version: u64) {
        let shared = &self.shared;
        let started_at_ms = shared.clock.now_ms().max(shared.started_at_ms.get() + 1);
        shared.started_at_ms.set(started_at_ms);
        shared.version.set(version);
        shared.is_loading.set(false);
        shared.orders_accepted.set(0);
        if shared.arrivals.restart(shared.clock.now_ms()) {
            monoio::spawn(shared.clone().write_entries_while_cold());
        }
    }

    /// Sets when marked items stop crashing it.
    pub fn set_crash_until_ms(&self, until_ms: u64) {
        self.shared.crashes.set_until_ms(until_ms);
    }

    /// Waits until an item has crashed it.
    pub async fn wait_for_crash(&self) {
        self.shared.crashes.wait_for_crash().await;
    }

    /// Restarts it after a crash under the same id and with the same weights.
    pub fn restart_after_crash(&self) {
        self.restart(self.shared.version.get());
        self.shared.crashes.restart_after_crash();
    }

    /// The crashing items that reached it, in order of arrival.
    pub fn crashing_requests(&self) -> Vec<CrashingRequest> {
        self.shared.crashes.requests()
    }

    /// Time of its last start, on the clock of [`RecordedRun::at_ms`].
    pub fn started_at_ms(&self) -> u64 {
        self.shared.started_at_ms.get()
    }

    /// Changes its timing and faults.
    pub fn set_switches(&self, switches: EngineSwitches) {
        self.shared.switches.set(switches);
    }

    /// Its current timing and faults.
    pub fn switches(&self) -> EngineSwitches {
        self.shared.switches.get()
    }

    /// The recorded runs, in order of arrival.
    pub fn runs(&self) -> Vec<RecordedRun> {
        self.shared.runs.borrow().clone()
    }

    /// Items that it answered with 422 or 500, each with its time.
    pub fn failed_runs(&self) -> Vec<(String, u64)> {
        self.shared.failed_runs.borrow().clone()
    }

    /// The recorded orders, in order of arrival.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.shared.orders.borrow().clone()
    }
}

impl Handler for Endpoint {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        if self.0.switches.get().is_unresponsive {
            return std::future::pending().await;
        }
        match request.uri().path() {
            HEALTH_PATH => self.0.health(),
            "/api/report" => self.0.report(),
            "/api/order" => self.0.clone().on_order(request).await,
            _ => self.0.clone().on_generate(request).await,
        }
    }
}

impl Shared {
    /// Writes its current entry to the store, if it is listed.
    fn write_entry(&self) {
        let listed = self.listed.borrow();
        let Some((store, address, state)) = &*listed else {
            return;
        };
        let models = json!([{ "name": self.model, "version": self.version.get(), "adapters": [] }]);
        let cold_left_ms = self.arrivals.cold_left_ms(self.clock.now_ms());
        let entry = json!({
            "service": self.service, "address": address, "zone": *self.zone.borrow(), "version": "v1",
            "slots": self.slots, "state": state, "cold_left_ms": cold_left_ms, "seq": 1,
            "stage": "both", "models": models, "born": self.started_at_ms.get(),
        });
        store.put(
            "keyed.servers",
            &self.instance,
            entry.to_string().as_bytes(),
        );
    }

    async fn write_entries_while_cold(self: Rc<Self>) {
        loop {
            self.write_entry();
            match self.arrivals.cold_left_ms(self.clock.now_ms()) {
                0 => return,
                left_ms => sleep_ms(left_ms.min(COLD_HEARTBEAT_MS)).await,
            }
        }
    }

    fn health(&self) -> EdgeResponse {
        let listed = self.listed.borrow();
        let state = listed.as_ref().map(|(_, _, state)| state.as_str());
        let cold_left_ms = self.arrivals.cold_left_ms(self.clock.now_ms());
        health_response(&self.instance, state == Some("draining"), cold_left_ms)
    }

    fn report(&self) -> EdgeResponse {
        let body = json!({
            "stage": "both", "busy": self.is_loading.get(), "seq": self.orders_accepted.get(),
            "models": [{ "name": self.model, "version": self.version.get(), "adapters": [] }],
            "num_waiting": 0, "num_running": self.running.get(), "kv_used": 0, "kv_total": 1,
            "handles": 0, "born": self.started_at_ms.get(),
        });
        json_response(200, &body)
    }

    async fn on_order(self: Rc<Self>, request: EdgeRequest) -> EdgeResponse {
        let Ok(body) = read_body(request.into_body(), limits()).await else {
            return status(400);
        };
        let Ok(order) = serde_json::from_slice::<Order>(&body) else {
            return status(400);
        };
        self.orders.borrow_mut().push(ReceivedOrder {
            at_ms: self.clock.now_ms(),
            holder: order.holder.clone(),
            epoch: order.fence,
            version: order.version,
        });
        let delay_ms = self.switches.get().order_delay_ms;
        if delay_ms > 0 {
            monoio::spawn(async move {
                sleep_ms(delay_ms).await;
                self.apply(&order);
            });
            return std::future::pending().await;
        }
        self.apply(&order)
    }

    fn apply(self: &Rc<Self>, order: &Order) -> EdgeResponse {
        if self.is_loading.get() || order.expect != self.orders_accepted.get() {
            return status(409);
        }
        if order.version <= self.version.get() {
            return status(200);
        }
        self.orders_accepted.set(self.orders_accepted.get() + 1);
        self.is_loading.set(true);
        let (shared, version) = (self.clone(), order.version);
        let started_at_ms = self.started_at_ms.get();
        monoio::spawn(async move {
            sleep_ms(shared.switches.get().load_ms).await;
            if shared.started_at_ms.get() == started_at_ms {
                shared.version.set(version);
                shared.is_loading.set(false);
                shared.write_entry();
            }
        });
        status(202)
    }

    async fn on_generate(self: Rc<Self>, request: EdgeRequest) -> EdgeResponse {
        let headers = request.headers();
        if header(headers, "x-expect-instance") != Some(&self.instance) {
            return status(421);
        }
        let id = header(headers, "x-request-id").unwrap_or_default();
        self.arrivals.record(id, self.clock.now_ms(), &self.crashes);
        if self.is_loading.get() || self.running.get() >= self.slots {
            let mut response = status(503);
            let not_run = "1".parse().expect("plain text");
            response.headers_mut().insert("x-not-executed", not_run);
            return response;
        }
        let item = header(headers, "x-request-id")
            .unwrap_or_default()
            .to_owned();
        let after = header(headers, "last-event-id").and_then(|id| id.parse().ok());
        let after_event = after.unwrap_or(0);
        let caller = RecordedCaller::from_headers(headers);
        let Ok(request_body) = read_body(request.into_body(), limits()).await else {
            return status(400);
        };
        let now_ms = self.clock.now_ms();
        if self.crashes.is_crashing(&request_body, now_ms) {
            return self.crashes.crash(item, &request_body, now_ms).await;
        }
        let failure = match &*request_body {
            body if body == IMPOSSIBLE_BODY.as_bytes() => Some(422),
            body if body == FAILING_BODY.as_bytes() => Some(500),
            _ => None,
        };
        if let Some(failure) = failure {
            let failed = (item, self.clock.now_ms());
            self.failed_runs.borrow_mut().push(failed);
            return status(failure);
        }
        let (sender, body) = stream_body();
        let mut response = Response::new(body);
        let response_headers = response.headers_mut();
        response_headers.insert("x-request-id", item.parse().expect("plain text"));
        let load = format!("{},0,{}", self.running.get() + 1, self.slots);
        response_headers.insert("x-server-load", load.parse().expect("plain text"));
        // An engine reports no weight version if no event is left to generate.
        if after_event < event_count(&item) {
            response_headers.insert("x-weight-versions", self.version.get().into());
        }
        monoio::spawn(self.generate(item, caller, after_event, sender));
        response
    }

    async fn generate(
        self: Rc<Self>,
        item: String,
        caller: RecordedCaller,
        after_event: u64,
        mut sender: http_body_util::channel::Sender<Bytes, io::Error>,
    ) {
        self.running.set(self.running.get() + 1);
        let run_index = self.runs.borrow().len();
        self.runs.borrow_mut().push(RecordedRun {
            item: item.clone(),
            at_ms: self.clock.now_ms(),
            caller,
            after_event,
            events: Vec::new(),
        });
        let cut_every = self.switches.get().cut_every;
        let is_cut = cut_every > 0 && (run_index as u64 + 1).is_multiple_of(cut_every);
        let mut sent_version = self.version.get();
        let started_at_ms = self.started_at_ms.get();
        for event in after_event + 1..=event_count(&item) {
            sleep_ms(self.switches.get().event_ms).await;
            if self.started_at_ms.get() != started_at_ms {
                sender.abort(io::Error::other("started again"));
                break;
            }
            let version = self.version.get();
            let version_line = match std::mem::replace(&mut sent_version, version) != version {
                true => format!("x-weight-versions: {version}\n"),
                false => String::new(),
            };
            let text = format!(
                "{version_line}id: {event}\ndata: {}\n\n",
                event_text(&item, event)
            );
            if is_cut {
                let half = text.as_bytes()[..text.len() / 2].to_vec();
                let _ = sender.send_data(half.into()).await;
                sender.abort(io::Error::other("cut"));
                self.running.set(self.running.get() - 1);
                return;
            }
            self.runs.borrow_mut()[run_index]
                .events
                .push((event, version));
            if sender.send_data(text.into()).await.is_err() {
                break;
            }
        }
        self.running.set(self.running.get() - 1);
    }
}
