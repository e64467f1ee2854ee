//! Endpoints that crash under a given request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use borageshore_net::{EdgeResponse, sleep_ms};
use tokio::sync::Notify;

use crate::http::status;

/// A request whose body begins so crashes the endpoint that runs it.
pub const CRASH_MARK: &str = "crash";
/// An endpoint that crashes takes a moment before it is gone.
const CRASH_MS: u64 = 20;

/// A request that reached an endpoint which it crashes.
#[derive(Debug, Clone)]
pub struct CrashingRequest {
    /// The id of the attempt.
    pub id: String,
    /// What the request asks, the same in each of its repeats.
    pub body: String,
    /// When it arrived.
    pub at_ms: u64,
    /// Whether the endpoint was up, and crashed under it.
    pub has_crashed: bool,
}

/// The crashes of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// How long a request runs before the endpoint crashes, whether its caller still waits or not.
    after_ms: Cell<u64>,
    is_down: Cell<bool>,
    crashed: Notify,
    requests: RefCell<Vec<CrashingRequest>>,
}

impl Crashes {
    pub(crate) fn is_crashing(body: &[u8]) -> bool {
        body.starts_with(CRASH_MARK.as_bytes())
    }

    pub(crate) fn set_after_ms(&self, after_ms: u64) {
        self.after_ms.set(after_ms);
    }

    /// Goes down under a request. What is answered in the end is lost with the endpoint's connections.
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
        sleep_ms(after_ms + CRASH_MS).await;
        status(500)
    }

    fn go_down(&self, index: usize) {
        if !self.is_down.replace(true) {
            self.requests.borrow_mut()[index].has_crashed = true;
            self.crashed.notify_one();
        }
    }

    /// Waits until a request has crashed the endpoint.
    pub(crate) async fn wait_for_crash(&self) {
        self.crashed.notified().await;
    }

    pub(crate) fn restart_after_crash(&self) {
        self.is_down.set(false);
    }

    /// The requests that crash their endpoints and reached this one, in order.
    pub(crate) fn requests(&self) -> Vec<CrashingRequest> {
        self.requests.borrow().clone()
    }
}
