//! A fake model engine with continuous batching, priorities, a prefix cache and weight swaps.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_daemon::engine::{
    AdapterReport, EngineChunk, EngineOrder, EngineReport, EngineRequest,
};
use borageshore_net::{
    EdgeRequest, EdgeResponse, Handler, HttpClient, HttpServer, StreamBodyError, Timeouts,
    json_response, sleep_ms, stream_body,
};
use bytes::Bytes;
use http_body_util::channel::Sender;
use hyper::Response;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::http;

/// Capacity of the prefix cache, in prompts.
const CACHED_PROMPTS: usize = 256;
/// Maximum length of a cached prefix.
const PREFIX_BYTES: usize = 256;
/// Chunks that are buffered for a slow reader.
const CHUNK_BUFFER: usize = 64;
const STORE_TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 600_000,
};

/// Configuration of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Maximum requests in a batch.
    pub slots: u64,
    /// Duration of one step, in which each request of the batch gets one token.
    pub step_ms: u64,
    /// Steps before the first token when the prompt is not cached.
    pub prefill_steps: u64,
    /// Pause of generation at the end of a weight swap.
    pub swap_ms: u64,
    /// Address of the weight store, if weights are fetched.
    pub weight_store: Option<Arc<str>>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 16,
            step_ms: 10,
            prefill_steps: 4,
            swap_ms: 100,
            weight_store: None,
        }
    }
}

/// Injected faults.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSwitches {
    /// How long generation stalls from now on; connections stay open.
    pub stall_ms: u64,
    /// How many of the next weight swaps fail and leave no weights.
    pub fail_swaps: u64,
    /// How many of the next chunks carry the id of another request.
    pub cross_chunks: u64,
    /// Whether orders of an outdated epoch are applied too.
    pub ignore_fencing: bool,
}

#[derive(Debug)]
struct ActiveRequest {
    request: EngineRequest,
    next_index: u64,
    prefill_steps_left: u64,
    arrival: u64,
    chunks: mpsc::Sender<EngineChunk>,
}

#[derive(Debug, Default)]
struct Weights {
    version: Option<u64>,
    loading: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    active: Vec<ActiveRequest>,
    arrivals: u64,
    adapters: SortedMap<Arc<str>, Weights>,
    cached: Vec<u64>,
    highest_epoch: u64,
    stalled_steps: u64,
    switches: EngineSwitches,
    tokens: u64,
    refused_orders: u64,
}

/// A running engine.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    state: Rc<RefCell<State>>,
    options: Rc<EngineOptions>,
    http: HttpClient,
}

/// The token at an index of the answer to a prompt; the same on every engine.
pub fn expected_token(prompt: &str, index: u64) -> String {
    let hash = xxh3_64(prompt.as_bytes()).wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    format!("w{:03}", hash % 1_000)
}

impl EngineStandin {
    /// Binds an address and starts the generation loop.
    pub fn bind(address: &str, options: EngineOptions) -> io::Result<HttpServer> {
        let engine = Self {
            state: Rc::default(),
            options: Rc::new(options),
            http: HttpClient::open(),
        };
        let stepping = engine.clone();
        monoio::spawn(async move { stepping.step_loop().await });
        HttpServer::bind(address, http::limits(), engine)
    }

    async fn step_loop(&self) {
        loop {
            sleep_ms(self.options.step_ms).await;
            self.step();
        }
    }

    /// Runs one step: the requests of the highest priority that fit into the batch get one token each.
    fn step(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if state.stalled_steps > 0 {
            state.stalled_steps -= 1;
            return;
        }
        state.active.retain(|active| !active.chunks.is_closed());
        state
            .active
            .sort_by_key(|active| (std::cmp::Reverse(active.request.priority), active.arrival));
        let slots = self.options.slots as usize;
        for active in state.active.iter_mut().take(slots) {
            if active.prefill_steps_left > 0 {
                active.prefill_steps_left -= 1;
                continue;
            }
            let version = version_of(&state.adapters, &active.request);
            if send_chunk(active, version, &mut state.switches) {
                state.tokens += 1;
            }
        }
        state
            .active
            .retain(|active| active.next_index <= active.request.max_tokens);
    }

    fn generate(&self, request: EngineRequest) -> EdgeResponse {
        let (chunks, received) = mpsc::channel(CHUNK_BUFFER);
        let report = self.report();
        let mut state = self.state.borrow_mut();
        state.arrivals += 1;
        let prefill_steps_left = if touch_prefix_cache(&mut state.cached, &request.prompt) {
            1
        } else {
            self.options.prefill_steps
        };
        let active = ActiveRequest {
            next_index: request.resume_tokens.len() as u64,
            prefill_steps_left,
            arrival: state.arrivals,
            request,
            chunks,
        };
        state.active.push(active);
        let (sender, body) = stream_body();
        monoio::spawn(write_chunks(received, sender));
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert("x-load-requests", report.requests.into());
        headers.insert("x-load-slots", report.slots.into());
        response
    }

    fn report(&self) -> EngineReport {
        let state = self.state.borrow();
        let adapters = state
            .adapters
            .iter()
            .map(|(adapter, weights)| AdapterReport {
                adapter: adapter.clone(),
                version: weights.version,
                loading: weights.loading,
            });
        EngineReport {
            requests: state.active.len() as u64,
            slots: self.options.slots,
            adapters: adapters.collect(),
        }
    }

    fn order(&self, order: EngineOrder) -> EdgeResponse {
        let mut state = self.state.borrow_mut();
        if order.epoch < state.highest_epoch && !state.switches.ignore_fencing {
            state.refused_orders += 1;
            return http::status(409);
        }
        state.highest_epoch = state.highest_epoch.max(order.epoch);
        let weights = state
            .adapters
            .get_or_insert_with(order.adapter.clone(), Weights::default);
        let is_present_or_loading =
            weights.version == Some(order.version) || weights.loading == Some(order.version);
        if !is_present_or_loading {
            weights.loading = Some(order.version);
            let engine = self.clone();
            monoio::spawn(async move { engine.load(order).await });
        }
        http::status(200)
    }

    /// Fetches weights while generation continues, then pauses generation to swap them in.
    async fn load(&self, order: EngineOrder) {
        if let Some(store) = &self.options.weight_store {
            let _ = self
                .http
                .call_json::<_, u64>(store, "POST", "/load", &order, STORE_TIMEOUTS)
                .await;
        }
        self.state.borrow_mut().stalled_steps += self.options.swap_ms / self.options.step_ms.max(1);
        sleep_ms(self.options.swap_ms).await;
        let mut state = self.state.borrow_mut();
        let has_failed = state.switches.fail_swaps > 0;
        state.switches.fail_swaps -= u64::from(has_failed);
        let weights = state
            .adapters
            .get_or_insert_with(order.adapter, Weights::default);
        if weights.loading == Some(order.version) {
            weights.version = if has_failed {
                None
            } else {
                Some(order.version)
            };
            weights.loading = None;
        }
    }

    async fn set_switches(&self, request: EdgeRequest) -> EdgeResponse {
        match http::read_json::<EngineSwitches>(request).await {
            Ok(switches) => {
                let mut state = self.state.borrow_mut();
                state.stalled_steps += switches.stall_ms / self.options.step_ms.max(1);
                state.switches = switches;
                json_response(200, &switches)
            }
            Err(response) => response,
        }
    }
}

impl Handler for EngineStandin {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        match request.uri().path() {
            "/generate" => match http::read_json(request).await {
                Ok(generation) => self.generate(generation),
                Err(response) => response,
            },
            "/order" => match http::read_json(request).await {
                Ok(order) => self.order(order),
                Err(response) => response,
            },
            "/load" => json_response(200, &self.report()),
            "/switches" => self.set_switches(request).await,
            _ => http::status(404),
        }
    }
}

/// The weight version that serves a request: 0 until the first weights are loaded, `None` after a failed
/// swap.
fn version_of(adapters: &SortedMap<Arc<str>, Weights>, request: &EngineRequest) -> Option<u64> {
    let adapter = request
        .adapter
        .as_ref()
        .and_then(|adapter| adapters.get(adapter));
    match adapter {
        None => Some(0),
        Some(Weights {
            version: None,
            loading: Some(_),
        }) => Some(0),
        Some(Weights { version, .. }) => *version,
    }
}

fn send_chunk(
    active: &mut ActiveRequest,
    version: Option<u64>,
    switches: &mut EngineSwitches,
) -> bool {
    let index = active.next_index;
    let is_last = index >= active.request.max_tokens;
    let is_misattributed = switches.cross_chunks > 0;
    let request_id = if is_misattributed {
        "another-request".into()
    } else {
        active.request.request_id.clone()
    };
    let correct_token = (!is_last).then(|| expected_token(&active.request.prompt, index));
    let token = if is_misattributed {
        Some("crossed".into())
    } else {
        correct_token
    };
    let chunk = EngineChunk {
        request_id,
        index,
        token,
        version,
    };
    if active.chunks.try_send(chunk).is_err() {
        return false;
    }
    if is_misattributed {
        // The wrong chunk is an extra one; the correct chunk follows in the next step.
        switches.cross_chunks -= 1;
        return false;
    }
    active.next_index += 1;
    !is_last
}

/// Marks the prefix of a prompt as most recently used; returns whether it was cached before.
fn touch_prefix_cache(cached: &mut Vec<u64>, prompt: &str) -> bool {
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let hash = xxh3_64(prefix);
    let found = cached.iter().position(|known| *known == hash);
    if let Some(at) = found {
        cached.remove(at);
    }
    cached.push(hash);
    if cached.len() > CACHED_PROMPTS {
        cached.remove(0);
    }
    found.is_some()
}

async fn write_chunks(
    mut received: mpsc::Receiver<EngineChunk>,
    mut sender: Sender<Bytes, StreamBodyError>,
) {
    while let Some(chunk) = received.recv().await {
        let is_last = chunk.token.is_none() && &*chunk.request_id != "another-request";
        let mut line = serde_json::to_vec(&chunk).expect("chunks are plain data");
        line.push(b'\n');
        if sender.send_data(line.into()).await.is_err() || is_last {
            return;
        }
    }
}
