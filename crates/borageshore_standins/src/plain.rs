//! A fake plain service and scorer that counts the runs of each request key.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_net::{EdgeRequest, EdgeResponse, Handler, HttpServer, json_response, sleep_ms};
use serde::{Deserialize, Serialize};

use crate::http;

/// Injected faults.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSwitches {
    /// How many of the next calls run without a response.
    pub lose_answers: u64,
    /// How many of the next calls are refused with `x-not-run`.
    pub refuse: u64,
}

#[derive(Debug, Default)]
struct State {
    runs: SortedMap<Arc<str>, u64>,
    switches: PlainSwitches,
}

/// Counts of the calls that the service ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Distinct request keys.
    pub keys: u64,
    /// Total runs.
    pub runs: u64,
    /// Maximum runs of a single key.
    pub most_runs: u64,
}

/// A running service.
#[derive(Debug, Clone)]
pub struct PlainStandin {
    state: Rc<RefCell<State>>,
    latency_ms: u64,
}

#[derive(Debug, Serialize)]
struct RunResponse<'r> {
    request_key: &'r str,
    runs: u64,
    score: f64,
}

impl PlainStandin {
    /// Creates a service whose calls take `latency_ms`; its replicas share their run counts.
    pub fn open(latency_ms: u64) -> Self {
        Self {
            state: Rc::default(),
            latency_ms,
        }
    }

    /// Binds the address of one replica.
    pub fn bind(&self, address: &str) -> io::Result<HttpServer> {
        HttpServer::bind(address, http::limits(), self.clone())
    }

    fn counts(&self) -> RunCounts {
        let state = self.state.borrow();
        RunCounts {
            keys: state.runs.len() as u64,
            runs: state.runs.values().sum(),
            most_runs: state.runs.values().copied().max().unwrap_or(0),
        }
    }

    /// The subset of `keys` that have run.
    fn keys_that_ran(&self, keys: &[Arc<str>]) -> Vec<Arc<str>> {
        let state = self.state.borrow();
        keys.iter()
            .filter(|key| state.runs.contains_key(*key))
            .cloned()
            .collect()
    }

    async fn run(&self, request: EdgeRequest) -> EdgeResponse {
        let key = request
            .headers()
            .get("x-request-key")
            .and_then(|key| key.to_str().ok());
        let key: Arc<str> = key.unwrap_or("").into();
        if self.consume_fault(|switches| &mut switches.refuse) {
            let mut response = http::status(503);
            response
                .headers_mut()
                .insert("x-not-run", "true".parse().expect("plain text"));
            return response;
        }
        let runs = {
            let mut state = self.state.borrow_mut();
            let runs = state.runs.get_or_insert_with(key.clone(), || 0);
            *runs += 1;
            *runs
        };
        sleep_ms(self.latency_ms).await;
        if self.consume_fault(|switches| &mut switches.lose_answers) {
            sleep_ms(60_000).await;
        }
        json_response(
            200,
            &RunResponse {
                request_key: &key,
                runs,
                score: 0.5,
            },
        )
    }

    /// Decrements a switch's counter; returns whether the fault applies to this call.
    fn consume_fault<Select>(&self, select: Select) -> bool
    where
        Select: FnOnce(&mut PlainSwitches) -> &mut u64,
    {
        let mut state = self.state.borrow_mut();
        let remaining = select(&mut state.switches);
        let is_on = *remaining > 0;
        *remaining -= u64::from(is_on);
        is_on
    }
}

impl Handler for PlainStandin {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        match request.uri().path() {
            "/counts" => json_response(200, &self.counts()),
            "/ran" => match http::read_json::<Vec<Arc<str>>>(request).await {
                Ok(keys) => json_response(200, &self.keys_that_ran(&keys)),
                Err(response) => response,
            },
            "/load" => json_response(
                200,
                &serde_json::json!({"requests": 0, "slots": 64, "adapters": []}),
            ),
            "/switches" => match http::read_json(request).await {
                Ok(switches) => {
                    self.state.borrow_mut().switches = switches;
                    json_response(200, &switches)
                }
                Err(response) => response,
            },
            _ => self.run(request).await,
        }
    }
}
