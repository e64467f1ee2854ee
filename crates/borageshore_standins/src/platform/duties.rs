//! A fake receiver of duty calls that records every usage report and every order for endpoints without checking them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::pending,
    io,
    net::SocketAddr,
    rc::Rc,
};

use borageshore_net::{Clock, EdgeRequest, EdgeResponse, Handler, HttpServer, read_body, sleep_ms};
use serde::Deserialize;

use super::header;
use crate::http::{limits, status};

/// The injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyMode {
    /// No fault.
    Up,
    /// Answers every call with 503.
    Busy,
    /// Delays every call by this many ms.
    Slow(u64),
    /// Accepts calls without responding to them.
    LostAnswers,
    /// Answers orders for endpoints with 409 and records them.
    NoEndpoints,
}

/// A usage report that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedReport {
    /// Arrival time.
    pub at_ms: u64,
    /// The duty holder that sent it.
    pub holder: String,
    /// The holder's fencing token.
    pub epoch: u64,
    /// The id of the reported window.
    pub window: u64,
    /// The number of requests by organisation.
    pub counts: BTreeMap<String, u64>,
}

/// An order for endpoints that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedEndpointOrder {
    /// Arrival time.
    pub at_ms: u64,
    /// The duty holder that sent it.
    pub holder: String,
    /// The holder's fencing token.
    pub epoch: u64,
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// The number of endpoints.
    pub count: u64,
    /// Whether the endpoints may be reclaimed.
    pub is_spot: bool,
}

#[derive(Debug, Deserialize)]
struct Order {
    service: String,
    zone: String,
    target_groups: u64,
    #[serde(default)]
    spot: bool,
}

#[derive(Debug, Deserialize)]
struct Usage {
    window_id: u64,
    counts: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    mode: Cell<DutyMode>,
    reports: RefCell<Vec<ReceivedReport>>,
    orders: RefCell<Vec<ReceivedEndpointOrder>>,
}

impl Shared {
    /// Records a call; `None` if it cannot be decoded.
    fn record(&self, path: &str, holder: String, epoch: u64, body: &[u8]) -> Option<()> {
        let at_ms = self.clock.now_ms();
        if path == "/scale" {
            let order: Order = serde_json::from_slice(body).ok()?;
            self.orders.borrow_mut().push(ReceivedEndpointOrder {
                at_ms,
                holder,
                epoch,
                service: order.service,
                zone: order.zone,
                count: order.target_groups,
                is_spot: order.spot,
            });
            return Some(());
        }
        let usage: Usage = serde_json::from_slice(body).ok()?;
        self.reports.borrow_mut().push(ReceivedReport {
            at_ms,
            holder,
            epoch,
            window: usage.window_id,
            counts: usage.counts,
        });
        Some(())
    }
}

/// A running receiver of duty calls.
#[derive(Debug, Clone)]
pub struct PlatformDuties {
    shared: Rc<Shared>,
    server: HttpServer,
}

#[derive(Debug, Clone)]
struct Service(Rc<Shared>);

impl PlatformDuties {
    /// Starts a receiver on a free port.
    pub fn bind(clock: Clock) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            clock,
            mode: Cell::new(DutyMode::Up),
            reports: RefCell::default(),
            orders: RefCell::default(),
        });
        let server = HttpServer::bind("127.0.0.1:0", limits(), Service(shared.clone()))?;
        Ok(Self { shared, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the fault of calls that arrive from now on.
    pub fn set_mode(&self, mode: DutyMode) {
        self.shared.mode.set(mode);
    }

    /// The accepted reports, in order of arrival.
    pub fn reports(&self) -> Vec<ReceivedReport> {
        self.shared.reports.borrow().clone()
    }

    /// The orders for endpoints, in order of arrival.
    pub fn orders(&self) -> Vec<ReceivedEndpointOrder> {
        self.shared.orders.borrow().clone()
    }
}

impl Handler for Service {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let mode = self.0.mode.get();
        match mode {
            DutyMode::Busy => return status(503),
            DutyMode::Slow(ms) => sleep_ms(ms).await,
            DutyMode::Up | DutyMode::LostAnswers | DutyMode::NoEndpoints => {}
        }
        let path = request.uri().path().to_owned();
        let header_text = |name| {
            header(request.headers(), name)
                .unwrap_or_default()
                .to_owned()
        };
        let (holder, epoch) = (
            header_text("x-duty-holder"),
            header_text("x-fence-token").parse(),
        );
        let Ok(body) = read_body(request.into_body(), limits()).await else {
            return status(400);
        };
        let recorded = epoch
            .ok()
            .and_then(|epoch| self.0.record(&path, holder, epoch, &body));
        if recorded.is_none() {
            return status(400);
        }
        match mode {
            DutyMode::LostAnswers => pending().await,
            DutyMode::NoEndpoints if path == "/scale" => status(409),
            _ => status(200),
        }
    }
}
