//! Reward calls, which score finished texts.

use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::RewardCall;
use borageshore_net::{Clock, Deadline, sleep_ms};
use borageshore_platform::{AttemptError, EndpointClient, OutboundRequest};
use borageshore_routing::{Fingerprint, Route};
use tokio::sync::Notify;

use crate::{
    endpoints::Endpoints,
    quarantine::{Permit, Quarantine},
    routes::Routes,
};

/// Reward calls are limited to this share of a service's slots, in percent: callers use the same endpoints, and their
/// calls are much shorter.
const SLOTS_PERCENT: u64 = 60;
/// Delay before a call is repeated.
const RETRY_MS: u64 = 60;
/// An attempt that takes longer is considered lost.
const TIMEOUT_MS: u64 = 1_600;

/// The result of a reward call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reward {
    /// The score: the signature in the endpoint's response.
    Score(Arc<str>),
    /// Every permitted attempt failed, or the call was still held at its deadline.
    Failed,
}

/// Dependencies of [`Rewards`].
#[derive(Debug)]
pub(crate) struct RewardParts {
    pub(crate) endpoints: Rc<Endpoints>,
    pub(crate) routes: Rc<Routes>,
    pub(crate) client: EndpointClient,
    pub(crate) clock: Clock,
    pub(crate) quarantine: Rc<Quarantine>,
}

/// A reward call in progress.
#[derive(Debug)]
struct Scoring {
    outbound: OutboundRequest,
    content: OnceCell<Fingerprint>,
    /// The endpoint of the last attempt, if it returned no score.
    last_failed: Option<Arc<str>>,
}

impl Scoring {
    fn content(&self) -> Fingerprint {
        *self.content.get_or_init(|| self.outbound.fingerprint())
    }
}

/// Makes reward calls, within [`SLOTS_PERCENT`] of their services' slots.
#[derive(Debug)]
pub(crate) struct Rewards {
    parts: RewardParts,
    in_flight: RefCell<SortedMap<Arc<str>, u64>>,
    slot_freed: Notify,
}

impl Rewards {
    pub(crate) fn open(parts: RewardParts) -> Rc<Self> {
        Rc::new(Self {
            parts,
            in_flight: RefCell::default(),
            slot_freed: Notify::new(),
        })
    }

    /// Repeats the call until it is scored or has failed as often as its route permits. A held call fails at
    /// `give_up_ms`, a time of the daemon's clock.
    pub(crate) async fn score(&self, call: &RewardCall, give_up_ms: u64) -> Reward {
        let mut scoring = Scoring {
            outbound: OutboundRequest::reward(call),
            content: OnceCell::new(),
            last_failed: None,
        };
        let mut failures = 0;
        loop {
            let path = call.path.split('?').next().unwrap_or(&call.path);
            let Some(route) = self.parts.routes.find(&call.host, path) else {
                log::warn!(call = &*call.id; "no route for a reward call; retrying");
                sleep_ms(TIMEOUT_MS).await;
                continue;
            };
            let quarantine = &self.parts.quarantine;
            let permit = match quarantine.admit(|| scoring.content()).await {
                Ok(permit) => permit,
                Err(held) => {
                    let remaining_ms = give_up_ms.saturating_sub(self.parts.clock.now_ms());
                    if remaining_ms == 0 {
                        return Reward::Failed;
                    }
                    log::info!(call = &*call.id, content:% = scoring.content(), again_ms = held.retry_after_ms; "reward call waits: its request is held back for crashing endpoints");
                    quarantine.wait(scoring.content(), held, remaining_ms).await;
                    continue;
                }
            };
            match self.attempt(&route, &mut scoring, &permit).await {
                Some(Ok(score)) => return Reward::Score(score),
                Some(Err(status)) => {
                    failures += u64::from(status == 500);
                    log::info!(call = &*call.id, status, failures; "reward call returned no score");
                    if failures >= route.max_attempts {
                        return Reward::Failed;
                    }
                }
                None => {}
            }
            sleep_ms(RETRY_MS).await;
        }
    }

    /// Makes one attempt. Returns the score, the status of a response without a score, or `None` without a response.
    async fn attempt(
        &self,
        route: &Route,
        scoring: &mut Scoring,
        permit: &Permit,
    ) -> Option<Result<Arc<str>, u16>> {
        let parts = &self.parts;
        let service = route.service_for(parts.endpoints.random())?;
        let _slot = self.slot(service).await;
        // The request may have been held back during the wait for a slot.
        if !permit.is_trial() && !parts.quarantine.may_repeat(|| scoring.content()) {
            return None;
        }
        let mut avoided: Vec<Arc<str>> = scoring.last_failed.take().into_iter().collect();
        if permit.is_trial() {
            avoided.extend(parts.quarantine.recently_crashed());
        }
        let (target, in_flight) = parts.endpoints.choose(service, &avoided)?;
        let deadline = Deadline::after(parts.clock, route.timeout_ms.min(TIMEOUT_MS));
        let result = {
            let content = || scoring.content();
            let mut sent = parts
                .quarantine
                .track_send(content, &target.instance, permit);
            let result = parts
                .client
                .call(&target, &scoring.outbound, deadline)
                .await;
            sent.on_outcome(&result);
            result
        };
        match result {
            Ok(response) => {
                in_flight.on_load(response.load);
                let status = response.status;
                in_flight.end(!status.is_server_error());
                if !status.is_success() {
                    scoring.last_failed = Some(target.instance);
                }
                Some(match response.signature {
                    Some(score) if status.is_success() => Ok(score),
                    _ => Err(status.as_u16()),
                })
            }
            Err(AttemptError::Refused { load, .. }) => {
                in_flight.on_load(load);
                scoring.last_failed = Some(target.instance);
                None
            }
            Err(error) => {
                let content = scoring.content();
                log::info!(call = &*scoring.outbound.id, content:%, instance = &*target.instance, error:% = error; "reward call got no complete response; will retry");
                in_flight.fail();
                scoring.last_failed = Some(target.instance);
                None
            }
        }
    }

    async fn slot(&self, service: &Arc<str>) -> RewardSlot<'_> {
        loop {
            let slot_freed = self.slot_freed.notified();
            if let Some(slot) = self.try_slot(service) {
                return slot;
            }
            slot_freed.await;
        }
    }

    fn try_slot(&self, service: &Arc<str>) -> Option<RewardSlot<'_>> {
        let limit = (self.parts.endpoints.slots_of(service) * SLOTS_PERCENT / 100).max(1);
        let mut in_flight = self.in_flight.borrow_mut();
        let count = in_flight.get_or_insert_with(service.clone(), || 0);
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(RewardSlot {
            rewards: self,
            service: service.clone(),
        })
    }
}

/// A slot of a service, released on drop.
struct RewardSlot<'r> {
    rewards: &'r Rewards,
    service: Arc<str>,
}

impl Drop for RewardSlot<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.rewards.in_flight.borrow_mut().get_mut(&self.service) {
            *count -= 1;
        }
        self.rewards.slot_freed.notify_waiters();
    }
}
