//! Reward calls: what scores a finished text.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_batch::RewardCall;
use borageshore_net::{Clock, Deadline, sleep_ms};
use borageshore_platform::{AttemptError, EndpointClient, Outbound};
use borageshore_routing::Route;
use tokio::sync::Notify;

use crate::{endpoints::Endpoints, routes::Routes};

/// The share of a service's slots that reward calls may fill: callers use the same endpoints, and
/// one of their calls takes a fraction of a reward call's time.
const SLOTS_PERCENT: u64 = 60;
/// The pause before a call is repeated: what refused it has a slot free again by then.
const RETRY_MS: u64 = 60;
/// A call takes 80 to 200 ms and a second at the worst; longer is a lost one.
const TIMEOUT_MS: u64 = 1_600;

/// What came of a reward call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reward {
    /// The signature of the endpoint that answered.
    Score(Arc<str>),
    /// Every permitted attempt failed.
    Failed,
}

/// Makes reward calls within a share of their services' slots.
#[derive(Debug)]
pub(crate) struct Rewards {
    endpoints: Rc<Endpoints>,
    routes: Rc<Routes>,
    client: EndpointClient,
    clock: Clock,
    in_flight: RefCell<SortedMap<Arc<str>, u64>>,
    freed: Notify,
}

impl Rewards {
    pub(crate) fn open(
        endpoints: Rc<Endpoints>,
        routes: Rc<Routes>,
        client: EndpointClient,
        clock: Clock,
    ) -> Rc<Self> {
        Rc::new(Self {
            endpoints,
            routes,
            client,
            clock,
            in_flight: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// Makes the call until it is answered or has failed as often as its route permits.
    pub(crate) async fn score(&self, call: &RewardCall) -> Reward {
        let outbound = Outbound::reward(call);
        let mut failures = 0;
        let mut last: Option<Arc<str>> = None;
        loop {
            let path = call.path.split('?').next().unwrap_or(&call.path);
            let Some(route) = self.routes.find(&call.host, path) else {
                log::warn!(call = &*call.id; "no route for a reward call");
                sleep_ms(TIMEOUT_MS).await;
                continue;
            };
            match self.attempt(&route, &outbound, &mut last).await {
                Some(Ok(score)) => return Reward::Score(score),
                Some(Err(status)) => {
                    failures += u64::from(status == 500);
                    log::info!(call = &*call.id, status, failures; "reward call failed");
                    if failures >= route.max_attempts {
                        return Reward::Failed;
                    }
                }
                None => {}
            }
            sleep_ms(RETRY_MS).await;
        }
    }

    /// One attempt: the score, the status of an answer without one, or nothing.
    async fn attempt(
        &self,
        route: &Route,
        outbound: &Outbound,
        last: &mut Option<Arc<str>>,
    ) -> Option<Result<Arc<str>, u16>> {
        let service = route.service_for(self.endpoints.random())?;
        let _slot = self.slot(service).await;
        let tried = last.take();
        let (target, in_flight) = self.endpoints.choose(service, tried.as_slice())?;
        let deadline = Deadline::after(self.clock, route.timeout_ms.min(TIMEOUT_MS));
        match self.client.call(&target, outbound, deadline).await {
            Ok(answer) => {
                in_flight.on_load(answer.load);
                let status = answer.status;
                in_flight.end(!status.is_server_error());
                if !status.is_success() {
                    *last = Some(target.instance);
                }
                Some(match answer.stamp {
                    Some(score) if status.is_success() => Ok(score),
                    _ => Err(status.as_u16()),
                })
            }
            Err(AttemptError::Refused { load, .. }) => {
                in_flight.on_load(load);
                *last = Some(target.instance);
                None
            }
            Err(error) => {
                let content = outbound.fingerprint();
                log::info!(call = &*outbound.id, content:%, instance = &*target.instance, error:% = error; "reward call lost");
                in_flight.fail();
                *last = Some(target.instance);
                None
            }
        }
    }

    async fn slot(&self, service: &Arc<str>) -> Slot<'_> {
        loop {
            let freed = self.freed.notified();
            if let Some(slot) = self.try_slot(service) {
                return slot;
            }
            freed.await;
        }
    }

    fn try_slot(&self, service: &Arc<str>) -> Option<Slot<'_>> {
        let limit = (self.endpoints.slots_of(service) * SLOTS_PERCENT / 100).max(1);
        let mut in_flight = self.in_flight.borrow_mut();
        let count = in_flight.get_or_insert_with(service.clone(), || 0);
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(Slot {
            rewards: self,
            service: service.clone(),
        })
    }
}

/// A slot of a service, free again when it is dropped.
struct Slot<'r> {
    rewards: &'r Rewards,
    service: Arc<str>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.rewards.in_flight.borrow_mut().get_mut(&self.service) {
            *count -= 1;
        }
        self.rewards.freed.notify_waiters();
    }
}
