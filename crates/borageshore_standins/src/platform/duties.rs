//! The platform's side of duties: takes calls of one holder at a time, checks nothing and remembers all.

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

/// How the platform takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyMode {
    /// At once.
    Up,
    /// Not at all, with 503.
    Busy,
    /// After so many ms.
    Slow(u64),
    /// It takes them and answers none.
    LostAnswers,
}

/// A report of usage that was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedReport {
    /// When it came.
    pub at_ms: u64,
    /// Who sent it.
    pub holder: String,
    /// Its epoch.
    pub epoch: u64,
    /// Its window.
    pub window: u64,
    /// The requests of each organisation.
    pub counts: BTreeMap<String, u64>,
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
}

/// The platform's address for duties.
#[derive(Debug, Clone)]
pub struct PlatformDuties {
    shared: Rc<Shared>,
    server: HttpServer,
}

#[derive(Debug, Clone)]
struct Service(Rc<Shared>);

impl PlatformDuties {
    /// Binds an address and serves it.
    pub fn bind(clock: Clock) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            clock,
            mode: Cell::new(DutyMode::Up),
            reports: RefCell::default(),
        });
        let server = HttpServer::bind("127.0.0.1:0", limits(), Service(shared.clone()))?;
        Ok(Self { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes how it takes calls from now on.
    pub fn set_mode(&self, mode: DutyMode) {
        self.shared.mode.set(mode);
    }

    /// The reports that it took, in order.
    pub fn reports(&self) -> Vec<ReceivedReport> {
        self.shared.reports.borrow().clone()
    }
}

impl Handler for Service {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let mode = self.0.mode.get();
        match mode {
            DutyMode::Busy => return status(503),
            DutyMode::Slow(ms) => sleep_ms(ms).await,
            DutyMode::Up | DutyMode::LostAnswers => {}
        }
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
        let usage = serde_json::from_slice::<Usage>(&body);
        let (Ok(usage), Ok(epoch)) = (usage, epoch) else {
            return status(400);
        };
        self.0.reports.borrow_mut().push(ReceivedReport {
            at_ms: self.0.clock.now_ms(),
            holder,
            epoch,
            window: usage.window_id,
            counts: usage.counts,
        });
        match mode {
            DutyMode::LostAnswers => pending().await,
            _ => status(200),
        }
    }
}
