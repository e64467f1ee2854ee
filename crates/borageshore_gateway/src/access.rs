//! Authorization of callers, by this daemon's view of the keys.

use std::{cell::Cell, rc::Rc, sync::Arc};

use borageshore_access::{Access, Credentials, KeyView, Organisation, authorize};
use borageshore_base::{Fault, ResultCode};
use borageshore_diagnostics::Instruments;
use borageshore_net::{EdgeResponse, boot_time_ms, within_ms};
use borageshore_platform::refusal;
use borageshore_routing::Route;
use borageshore_topology::Residency;
use tokio::sync::Mutex;

use crate::{
    feed::FeedTopicSource, follow::Follower, operator_records::OperatorRecords, routes::Routes,
};

/// How long a caller waits for the view of the keys to be confirmed by the store. The store answers in 5 ms, and
/// through a peer in twice that.
const CONFIRM_TIMEOUT_MS: u64 = 250;
/// After a failed confirmation, callers that would need one are refused at once for this long.
const CONFIRM_RETRY_MS: u64 = 1_000;
/// The delay after which callers whose key could not be confirmed should retry. Most of them retry at another daemon.
const RETRY_AFTER_MS: u64 = 300;

/// A caller whose request was authorized.
#[derive(Debug, Clone)]
pub(crate) struct AuthorizedCaller {
    credentials: Credentials,
    organisation: Option<Arc<Organisation>>,
}

impl AuthorizedCaller {
    /// The name of the caller's organisation, if its key belongs to one.
    pub(crate) fn organisation(&self) -> Option<&Arc<str>> {
        self.organisation.as_ref().map(|owner| &owner.name)
    }

    /// The priority of the caller's requests, if its organisation sets one.
    pub(crate) fn priority(&self) -> Option<u64> {
        self.organisation.as_ref()?.priority
    }
}

/// Why a caller was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denial {
    /// Its key is missing or unknown.
    Unauthorized,
    /// This daemon's view of the keys is too old.
    ViewTooOld,
}

impl Denial {
    /// The refusal for the caller; it may be retried only if the view was too old.
    pub(crate) fn response(self) -> EdgeResponse {
        match self {
            Denial::Unauthorized => refusal(&Fault::new(ResultCode::UnknownCaller, ""), None),
            Denial::ViewTooOld => refusal(
                &Fault::new(ResultCode::KeysTooOld, ""),
                Some(RETRY_AFTER_MS),
            ),
        }
    }
}

/// Authorizes callers by the routes and organisations that this daemon follows.
#[derive(Debug)]
pub(crate) struct CallerAccess {
    routes: Rc<Routes>,
    follow: Rc<Follower<OperatorRecords, FeedTopicSource>>,
    /// Maximum age of the view, counted from when it was requested; `None` for no limit.
    max_age_ms: Option<u64>,
    /// Serializes confirmations, so that one serves all waiting callers.
    confirming: Mutex<()>,
    failed_at_ms: Cell<Option<u64>>,
    instruments: Rc<Instruments>,
}

impl CallerAccess {
    pub(crate) fn open(
        routes: Rc<Routes>,
        follow: Rc<Follower<OperatorRecords, FeedTopicSource>>,
        max_age_ms: Option<u64>,
        instruments: Rc<Instruments>,
    ) -> Rc<Self> {
        Rc::new(Self {
            routes,
            follow,
            max_age_ms,
            confirming: Mutex::new(()),
            failed_at_ms: Cell::new(None),
            instruments,
        })
    }

    /// Authorizes a caller. A view that is too old to decide is first confirmed, within [`CONFIRM_TIMEOUT_MS`].
    pub(crate) async fn admit(&self, credentials: Credentials) -> Result<AuthorizedCaller, Denial> {
        let access = match self.decide(credentials) {
            Access::Unconfirmed | Access::ViewTooOld => {
                self.confirm(credentials).await;
                self.decide(credentials)
            }
            access => access,
        };
        let denial = match access {
            Access::Granted(organisation) => {
                return Ok(AuthorizedCaller {
                    credentials,
                    organisation,
                });
            }
            Access::Denied => Denial::Unauthorized,
            Access::Unconfirmed | Access::ViewTooOld => Denial::ViewTooOld,
        };
        let age_ms = self.view().age_ms;
        let reason = match denial {
            Denial::Unauthorized => "unauthorized",
            Denial::ViewTooOld => "view_too_old",
        };
        self.instruments.count("caller", reason);
        log::info!(denial = reason, age_ms:?; "refusing a caller");
        Err(denial)
    }

    /// The regions in which a request of a route may be served, for an organisation.
    pub(crate) fn residency(&self, route: &Route, organisation: Option<&str>) -> Residency {
        self.routes.residency(route, organisation)
    }

    /// The regions in which a request that was admitted under a residency may still be sent.
    pub(crate) fn residency_now(
        &self,
        admitted: &Residency,
        route: (&str, &str),
        organisation: Option<&str>,
    ) -> Residency {
        self.routes.residency_now(admitted, route, organisation)
    }

    /// Checks an admitted caller again before each attempt: its key may have been revoked, or the VM suspended, in the
    /// meantime.
    pub(crate) fn is_still_authorized(&self, caller: &AuthorizedCaller) -> bool {
        match self.decide(caller.credentials) {
            Access::Granted(organisation) => {
                organisation.as_ref().map(|now| &now.name) == caller.organisation()
            }
            Access::Denied | Access::Unconfirmed | Access::ViewTooOld => false,
        }
    }

    fn decide(&self, credentials: Credentials) -> Access {
        self.routes
            .with_organisations(|organisations| authorize(organisations, credentials, self.view()))
    }

    fn view(&self) -> KeyView {
        let requested_at_ms = self
            .follow
            .requested_at_ms()
            .filter(|_| self.routes.is_latest_readable());
        KeyView {
            age_ms: requested_at_ms
                .map(|requested_at_ms| boot_time_ms().saturating_sub(requested_at_ms)),
            max_age_ms: self.max_age_ms,
        }
    }

    async fn confirm(&self, credentials: Credentials) {
        let now_ms = boot_time_ms();
        let failed_at_ms = self.failed_at_ms.get();
        if failed_at_ms.is_some_and(|failed_at_ms| now_ms < failed_at_ms + CONFIRM_RETRY_MS) {
            return;
        }
        let confirming = async {
            let _guard = self.confirming.lock().await;
            let is_undecided = matches!(
                self.decide(credentials),
                Access::Unconfirmed | Access::ViewTooOld
            );
            !is_undecided || self.follow.confirm_now().await
        };
        let is_confirmed = within_ms(CONFIRM_TIMEOUT_MS, confirming).await == Some(true);
        self.failed_at_ms.set((!is_confirmed).then(boot_time_ms));
    }
}
