//! Endpoints that crash while they run a marked request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use borageshore_net::{EdgeResponse, sleep_ms};
use tokio::sync::Notify;

use crate::http::status;

/// Body prefix of requests that crash the endpoint that runs them.
pub const CRASH_MARK: &str = "crash";
/// Time from the crash until the request ends, in which the connection can be closed.
const EXIT_DELAY_MS: u64 = 20;

/// A crashing request that reached an endpoint.
#[derive(Debug, Clone)]
pub struct CrashingRequest {
    /// The id of the attempt.
    pub id: String,
    /// The request's body, the same in each attempt.
    pub body: String,
    /// Arrival time.
    pub at_ms: u64,
    /// Whether it crashed the endpoint; false if the endpoint was down already.
    pub has_crashed: bool,
}

/// The crashes of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// When marked requests stop crashing it; never if `None`.
    until_ms: Cell<Option<u64>>,
    /// How long a request runs before the crash, even if its caller has disconnected.
    after_ms: Cell<u64>,
    is_down: Cell<bool>,
    crashed: Notify,
    requests: RefCell<Vec<CrashingRequest>>,
}

impl Crashes {
    /// Whether a request crashes the endpoint if it runs now.
    pub(crate) fn is_crashing(&self, body: &[u8], now_ms: u64) -> bool {
        let is_in_burst = self.until_ms.get().is_none_or(|until_ms| now_ms < until_ms);
        is_in_burst && body.starts_with(CRASH_MARK.as_bytes())
    }

    pub(crate) fn set_until_ms(&self, until_ms: u64) {
        self.until_ms.set(Some(until_ms));
    }

    pub(crate) fn set_after_ms(&self, after_ms: u64) {
        self.after_ms.set(after_ms);
    }

    /// Records a crashing request and crashes. The response is lost with the endpoint's connections.
    pub(crate) async fn crash(
        self: &Rc<Self>,
        id: String,
        body: &[u8],
        at_ms: u64,
    ) -> EdgeResponse {
        let index = self.requests.borrow().len();
        self.requests.borrow_mut().push(CrashingRequest {
            id,
            body: String::from_utf8_lossy(body).into_owned(),
            at_ms,
            has_crashed: false,
        });
        let (crashes, after_ms) = (self.clone(), self.after_ms.get());
        monoio::spawn(async move {
            sleep_ms(after_ms).await;
            crashes.go_down(index);
        });
        sleep_ms(after_ms + EXIT_DELAY_MS).await;
        status(500)
    }

    fn go_down(&self, index: usize) {
        if !self.is_down.replace(true) {
            self.requests.borrow_mut()[index].has_crashed = true;
            self.crashed.notify_one();
        }
    }

    /// Crashes the endpoint because of the number of its requests, for which no single one is to blame.
    pub(crate) fn crash_overloaded(&self) {
        if !self.is_down.replace(true) {
            self.crashed.notify_one();
        }
    }

    /// Waits until requests have crashed the endpoint.
    pub(crate) async fn wait_for_crash(&self) {
        self.crashed.notified().await;
    }

    pub(crate) fn restart_after_crash(&self) {
        self.is_down.set(false);
    }

    /// The crashing requests that reached this endpoint, in order of arrival.
    pub(crate) fn requests(&self) -> Vec<CrashingRequest> {
        self.requests.borrow().clone()
    }
}
