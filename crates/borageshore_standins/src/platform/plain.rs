//! A fake plain service of the platform that signs its responses and records the runs of calls.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::pending,
    io,
    net::SocketAddr,
    rc::Rc,
};

use borageshore_net::{
    Clock, EdgeRequest, EdgeResponse, Handler, HttpServer, full_body, read_body, sleep_ms,
};
use hyper::Response;
use serde_json::json;

use super::{
    COLD_HEARTBEAT_MS, HEALTH_PATH, RecordedCaller,
    arrivals::{Arrival, Arrivals, ColdSwitches},
    crash::{Crashes, CrashingRequest},
    hash, header, health_response,
    store::PlatformStore,
};
use crate::http::{limits, status};

/// Timing and injected faults of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlainSwitches {
    /// Time to run one call.
    pub work_ms: u64,
    /// Runs every n-th call without a response; 0 affects none.
    pub lose_every: u64,
    /// Gives every n-th response the id of another call; 0 affects none.
    pub wrong_id_every: u64,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    instance: RefCell<String>,
    crashes: Rc<Crashes>,
    arrivals: Arrivals,
    service: String,
    zone: RefCell<String>,
    /// The store in which it is listed, with the listed address and state.
    listed: RefCell<Option<(PlatformStore, String, String)>>,
    switches: Cell<PlainSwitches>,
    running: Cell<u64>,
    calls: Cell<u64>,
    /// The times at which each call ran, by call id.
    runs: RefCell<BTreeMap<String, Vec<u64>>>,
    /// The identity of each run of each call, by call id.
    callers: RefCell<BTreeMap<String, Vec<RecordedCaller>>>,
    /// The latest deadline of each call's runs, by call id.
    deadlines: RefCell<BTreeMap<String, u64>>,
}

/// A running endpoint of a plain service.
#[derive(Debug, Clone)]
pub struct PlatformService {
    shared: Rc<Shared>,
    server: HttpServer,
}

#[derive(Debug, Clone)]
struct Endpoint(Rc<Shared>);

impl PlatformService {
    /// Starts an endpoint on a free port; it is not listed yet.
    pub fn bind(service: &str, instance: &str, clock: Clock) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            clock,
            instance: RefCell::new(instance.into()),
            crashes: Rc::default(),
            arrivals: Arrivals::default(),
            service: service.into(),
            zone: RefCell::new("z1".into()),
            listed: RefCell::default(),
            switches: Cell::new(PlainSwitches {
                work_ms: 5,
                lose_every: 0,
                wrong_id_every: 0,
            }),
            running: Cell::new(0),
            calls: Cell::new(0),
            runs: RefCell::default(),
            callers: RefCell::default(),
            deadlines: RefCell::default(),
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

    /// Removes its entry from the store.
    pub fn unlist(&self, store: &PlatformStore) {
        self.shared.listed.replace(None);
        store.put("keyed.servers", self.shared.instance.borrow().as_str(), b"");
    }

    /// Sets how long a crashing call runs before the crash, even if its caller has disconnected.
    pub fn set_crash_after_ms(&self, after_ms: u64) {
        self.shared.crashes.set_after_ms(after_ms);
    }

    /// Sets when marked calls stop crashing it.
    pub fn set_crash_until_ms(&self, until_ms: u64) {
        self.shared.crashes.set_until_ms(until_ms);
    }

    /// Waits until a call has crashed it.
    pub async fn wait_for_crash(&self) {
        self.shared.crashes.wait_for_crash().await;
    }

    /// Restarts it after a crash as a new instance.
    pub fn restart_after_crash(&self, instance: &str) {
        self.shared.instance.replace(instance.into());
        self.shared.crashes.restart_after_crash();
        if self.shared.arrivals.restart(self.shared.clock.now_ms()) {
            monoio::spawn(self.shared.clone().write_entries_while_cold());
        }
    }

    /// The crashing calls that reached it, in order of arrival.
    pub fn crashing_requests(&self) -> Vec<CrashingRequest> {
        self.shared.crashes.requests()
    }

    /// Changes its behaviour.
    pub fn set_switches(&self, switches: PlainSwitches) {
        self.shared.switches.set(switches);
    }

    /// The times at which each call ran, by call id.
    pub fn runs(&self) -> BTreeMap<String, Vec<u64>> {
        self.shared.runs.borrow().clone()
    }

    /// The identity of each run of each call, by call id.
    pub fn callers(&self) -> BTreeMap<String, Vec<RecordedCaller>> {
        self.shared.callers.borrow().clone()
    }

    /// The latest deadline of each call's runs, by call id.
    pub fn deadlines_ms(&self) -> BTreeMap<String, u64> {
        self.shared.deadlines.borrow().clone()
    }

    /// The signature of this service in the response to a call.
    pub fn signature(id: &str) -> String {
        format!("stamp-{:016x}", hash(id))
    }
}

impl Shared {
    /// Writes its current entry to the store, if it is listed.
    fn write_entry(&self) {
        let listed = self.listed.borrow();
        let Some((store, address, state)) = &*listed else {
            return;
        };
        let cold_left_ms = self.arrivals.cold_left_ms(self.clock.now_ms());
        let entry = json!({
            "service": self.service, "address": address, "zone": *self.zone.borrow(), "version": "v1",
            "slots": 6, "state": state, "cold_left_ms": cold_left_ms, "seq": 1,
        });
        let instance = self.instance.borrow();
        store.put(
            "keyed.servers",
            instance.as_str(),
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
        health_response(
            &self.instance.borrow(),
            state == Some("draining"),
            cold_left_ms,
        )
    }
}

impl Handler for Endpoint {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let shared = &self.0;
        if request.uri().path() == HEALTH_PATH {
            return shared.health();
        }
        let id = header(request.headers(), "x-request-id")
            .unwrap_or_default()
            .to_owned();
        let expected = header(request.headers(), "x-expect-instance").unwrap_or_default();
        if expected != &**shared.instance.borrow() {
            return status(421);
        }
        let arrived_at_ms = shared.clock.now_ms();
        shared.arrivals.record(&id, arrived_at_ms, &shared.crashes);
        let remaining_ms =
            header(request.headers(), "x-deadline-ms").and_then(|ms| ms.parse::<u64>().ok());
        let caller = RecordedCaller::from_headers(request.headers());
        let Ok(body) = read_body(request.into_body(), limits()).await else {
            return status(400);
        };
        let at_ms = shared.clock.now_ms();
        if shared.crashes.is_crashing(&body, at_ms) {
            return shared.crashes.crash(id, &body, at_ms).await;
        }
        let count = shared.calls.get() + 1;
        shared.calls.set(count);
        let switches = shared.switches.get();
        let now_ms = shared.clock.now_ms();
        shared
            .runs
            .borrow_mut()
            .entry(id.clone())
            .or_default()
            .push(now_ms);
        shared
            .callers
            .borrow_mut()
            .entry(id.clone())
            .or_default()
            .push(caller);
        if let Some(remaining_ms) = remaining_ms {
            let mut deadlines = shared.deadlines.borrow_mut();
            let deadline_ms = deadlines.entry(id.clone()).or_default();
            *deadline_ms = now_ms.saturating_add(remaining_ms).max(*deadline_ms);
        }
        shared.running.set(shared.running.get() + 1);
        let _running = RunningGuard(shared);
        sleep_ms(switches.work_ms).await;
        if is_nth(count, switches.lose_every) {
            return pending().await;
        }
        let has_wrong_id = is_nth(count, switches.wrong_id_every);
        let echoed_id = if has_wrong_id { "another" } else { &id };
        let mut response = Response::new(full_body(format!("answer to {id}")));
        let headers = response.headers_mut();
        let load = format!("{},0,6", shared.running.get());
        for (name, value) in [
            ("x-request-id", echoed_id.to_owned()),
            ("x-server-stamp", PlatformService::signature(&id)),
            ("x-server-load", load),
        ] {
            headers.insert(name, value.parse().expect("plain text"));
        }
        response
    }
}

fn is_nth(count: u64, every: u64) -> bool {
    every > 0 && count.is_multiple_of(every)
}

struct RunningGuard<'s>(&'s Shared);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
