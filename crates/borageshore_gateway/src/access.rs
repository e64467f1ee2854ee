//! Whether callers may ask, as far as this daemon knows of their keys.

use std::{cell::Cell, rc::Rc, sync::Arc};

use borageshore_access::{Access, Credentials, KeyView, Organisation, authorize};
use borageshore_base::{Fault, ResultCode};
use borageshore_diagnostics::Instruments;
use borageshore_net::{EdgeResponse, boot_time_ms, within_ms};
use borageshore_platform::refusal;
use tokio::sync::Mutex;

use crate::{follow::Follower, routes::Routes};

/// The store answers in 5 ms, and through a peer in twice that; a caller is not kept waiting for longer.
const CONFIRM_MS: u64 = 250;
/// After a confirmation that failed, callers are turned away at once for this long.
const CONFIRM_AGAIN_MS: u64 = 1_000;
/// Callers whose key cannot be relied on come back after this time, most of them at another daemon.
const AGAIN_MS: u64 = 300;

/// A caller that may ask.
#[derive(Debug, Clone)]
pub(crate) struct Pass {
    asked: Credentials,
    organisation: Option<Arc<Organisation>>,
}

impl Pass {
    /// In whose name it asks.
    pub(crate) fn organisation(&self) -> Option<&Arc<str>> {
        self.organisation.as_ref().map(|owner| &owner.name)
    }
}

/// Why a caller may not ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denial {
    /// Its key is not known, or missing.
    Unauthorized,
    /// What is known of keys is too old.
    ViewTooOld,
}

impl Denial {
    /// The answer for the caller.
    pub(crate) fn answer(self) -> EdgeResponse {
        match self {
            Denial::Unauthorized => refusal(&Fault::new(ResultCode::UnknownCaller, ""), None),
            Denial::ViewTooOld => refusal(&Fault::new(ResultCode::KeysTooOld, ""), Some(AGAIN_MS)),
        }
    }
}

/// Decides about callers by the routes and organisations that this daemon follows.
#[derive(Debug)]
pub(crate) struct CallerAccess {
    routes: Rc<Routes>,
    follow: Rc<Follower<Routes>>,
    /// A key is good while the view that has it was asked for within this time.
    most_age_ms: Option<u64>,
    /// One confirmation at a time serves all that wait for one.
    confirming: Mutex<()>,
    failed_at_ms: Cell<Option<u64>>,
    instruments: Rc<Instruments>,
}

impl CallerAccess {
    pub(crate) fn open(
        routes: Rc<Routes>,
        follow: Rc<Follower<Routes>>,
        most_age_ms: Option<u64>,
        instruments: Rc<Instruments>,
    ) -> Rc<Self> {
        Rc::new(Self {
            routes,
            follow,
            most_age_ms,
            confirming: Mutex::new(()),
            failed_at_ms: Cell::new(None),
            instruments,
        })
    }

    /// Decides about a caller; a view that is too old to tell is confirmed first, if the store answers at once.
    pub(crate) async fn admit(&self, asked: Credentials) -> Result<Pass, Denial> {
        let access = match self.decide(asked) {
            Access::Unconfirmed | Access::ViewTooOld => {
                self.confirm(asked).await;
                self.decide(asked)
            }
            access => access,
        };
        let denial = match access {
            Access::Granted(organisation) => {
                return Ok(Pass {
                    asked,
                    organisation,
                });
            }
            Access::Denied => Denial::Unauthorized,
            Access::Unconfirmed | Access::ViewTooOld => Denial::ViewTooOld,
        };
        let age_ms = self.view().age_ms;
        let what = match denial {
            Denial::Unauthorized => "unauthorized",
            Denial::ViewTooOld => "view_too_old",
        };
        self.instruments.count("caller", what);
        log::info!(denial = what, age_ms:?; "a caller is turned away");
        Err(denial)
    }

    /// Says whether a caller that was admitted may still ask, before each attempt: its key may have been taken away,
    /// or the VM suspended, since then.
    pub(crate) fn is_good(&self, pass: &Pass) -> bool {
        match self.decide(pass.asked) {
            Access::Granted(organisation) => {
                organisation.as_ref().map(|now| &now.name) == pass.organisation()
            }
            Access::Denied | Access::Unconfirmed | Access::ViewTooOld => false,
        }
    }

    fn decide(&self, asked: Credentials) -> Access {
        self.routes
            .with_organisations(|organisations| authorize(organisations, asked, self.view()))
    }

    fn view(&self) -> KeyView {
        let asked_at_ms = self
            .follow
            .requested_at_ms()
            .filter(|_| self.routes.is_readable());
        KeyView {
            age_ms: asked_at_ms.map(|asked_at_ms| boot_time_ms().saturating_sub(asked_at_ms)),
            max_age_ms: self.most_age_ms,
        }
    }

    async fn confirm(&self, asked: Credentials) {
        let now_ms = boot_time_ms();
        let failed_at_ms = self.failed_at_ms.get();
        if failed_at_ms.is_some_and(|failed_at_ms| now_ms < failed_at_ms + CONFIRM_AGAIN_MS) {
            return;
        }
        let confirming = async {
            let _only = self.confirming.lock().await;
            let is_open = matches!(self.decide(asked), Access::Unconfirmed | Access::ViewTooOld);
            !is_open || self.follow.confirm_now().await
        };
        let is_confirmed = within_ms(CONFIRM_MS, confirming).await == Some(true);
        self.failed_at_ms.set((!is_confirmed).then(boot_time_ms));
    }
}
