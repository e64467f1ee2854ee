//! One attempt of a reward call, which a hedge at a second endpoint may join.

use std::sync::Arc;

use borageshore_net::{Deadline, hedged};
use borageshore_platform::{AttemptError, EndpointTarget, RequestPurpose};
use borageshore_routing::Route;
use borageshore_topology::Residency;

use super::{Rewards, ScoreRequest, Scoring, TIMEOUT_MS, slots::RewardSlot};
use crate::{endpoints::InFlight, quarantine::Permit};

/// Why an attempt returned no score.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NoScore {
    /// It was not sent, was refused or got no complete response.
    NoResponse,
    /// An endpoint responded without a score.
    Response,
}

/// The endpoint's signature, and the endpoint.
type Score = (Arc<str>, Arc<str>);

/// A request that is about to be sent to an endpoint.
struct PendingSend {
    target: EndpointTarget,
    in_flight: InFlight,
    deadline: Deadline,
    /// Held until the request ends.
    _slot: RewardSlot,
}

impl Rewards {
    /// Makes one attempt. Where requests compete for endpoints, it is sent to a second one as well when the first takes
    /// much longer than usual: the first score counts, and the other request is dropped.
    pub(super) async fn attempt(
        &self,
        route: &Route,
        request: &ScoreRequest<'_>,
        scoring: &Scoring<'_>,
        permit: &Permit,
    ) -> Result<Arc<str>, NoScore> {
        let parts = &self.parts;
        let service = route.service_for(parts.endpoints.random());
        let service = service.ok_or(NoScore::NoResponse)?;
        let slot = self.slots.acquire(service, request).await;
        // The request may have been held back during the wait for a slot.
        if !permit.is_trial() && !parts.quarantine.may_repeat(|| scoring.content()) {
            return Err(NoScore::NoResponse);
        }
        let mut avoided = scoring.last_failed.take();
        if permit.is_trial() {
            avoided.extend(parts.quarantine.recently_crashed());
        }
        // The routes may have changed during the wait for a slot.
        let residency = self.residency_now(request);
        let chosen = parts.endpoints.choose(service, &residency, &avoided);
        let (target, in_flight) = chosen.ok_or(NoScore::NoResponse)?;
        let deadline = Deadline::after(parts.clock, route.timeout_ms.min(TIMEOUT_MS));
        let instance = target.instance.clone();
        let first = PendingSend {
            target,
            in_flight,
            deadline,
            _slot: slot,
        };
        let has_contention = parts.endpoints.has_contention(service);
        if has_contention {
            self.hedges.borrow_mut().on_request();
        }
        let may_hedge = has_contention && !permit.is_trial();
        let hedge_after_ms = may_hedge.then(|| self.too_long_ms(service)).flatten();
        let started_at_ms = parts.clock.now_ms();
        let start_hedge = || {
            // While its group is still generating, nobody waits for the score; a hedge costs a connection.
            if request.member.group().is_generating() {
                parts.instruments.count("reward", "hedge_not_urgent");
                return None;
            }
            let hedge = self.hedge(
                service,
                &self.residency_now(request),
                scoring,
                &instance,
                deadline,
            )?;
            Some(self.send(scoring, permit, hedge))
        };
        let first = self.send(scoring, permit, first);
        let (score, scored_by) = hedged(first, hedge_after_ms, start_hedge).await?;
        if has_contention {
            self.record_latency(service, parts.clock.now_ms() - started_at_ms);
        }
        if scored_by != instance {
            parts.instruments.count("reward", "hedge_won");
        }
        Ok(score)
    }

    /// The regions in which a reward call may run now; none while its route is missing.
    fn residency_now(&self, request: &ScoreRequest<'_>) -> Residency {
        let routes = &self.parts.routes;
        let route = routes.find(&request.call.host, request.path());
        match route {
            Some(route) => routes.residency(&route, request.organisation),
            None => Residency::within(Vec::new()),
        }
    }

    /// Chooses a second endpoint for a call that takes long; `None` if there is none, the budget is spent or the request
    /// is now suspected of crashing endpoints.
    fn hedge(
        &self,
        service: &Arc<str>,
        residency: &Residency,
        scoring: &Scoring<'_>,
        first: &Arc<str>,
        deadline: Deadline,
    ) -> Option<PendingSend> {
        let parts = &self.parts;
        if !parts.quarantine.may_repeat(|| scoring.content()) {
            return None;
        }
        if !self.hedges.borrow_mut().try_retry() {
            parts.instruments.count("reward", "hedge_over_budget");
            return None;
        }
        let (target, in_flight) =
            parts
                .endpoints
                .choose(service, residency, std::slice::from_ref(first))?;
        parts.instruments.count("reward", "hedged");
        log::info!(
            call = &*scoring.call.id, instance = &**first, to = &*target.instance,
            remaining_ms = deadline.remaining_ms();
            "reward call takes long; sent to a second endpoint"
        );
        Some(PendingSend {
            target,
            in_flight,
            deadline,
            _slot: self.slots.acquire_extra(service),
        })
    }

    fn too_long_ms(&self, service: &str) -> Option<u64> {
        let latencies = self.latencies.borrow();
        latencies.get(service)?.too_long_ms()
    }

    fn record_latency(&self, service: &Arc<str>, took_ms: u64) {
        self.parts.instruments.record_ms("reward", took_ms);
        let mut latencies = self.latencies.borrow_mut();
        let known = latencies.get_or_insert_with(service.clone(), Default::default);
        known.record(took_ms);
    }

    async fn send(
        &self,
        scoring: &Scoring<'_>,
        permit: &Permit,
        send: PendingSend,
    ) -> Result<Score, NoScore> {
        let PendingSend {
            target,
            in_flight,
            deadline,
            _slot,
        } = send;
        let parts = &self.parts;
        let call = &*scoring.call.id;
        let result = {
            let content = || scoring.content();
            let outbound = scoring.outbound();
            let mut sent = parts
                .quarantine
                .track_send(content, &target.instance, permit);
            let result = parts
                .client
                .call(&target, &outbound, RequestPurpose::Reward, deadline)
                .await;
            sent.on_outcome(&result);
            result
        };
        let on_failed = || {
            let mut last_failed = scoring.last_failed.borrow_mut();
            last_failed.push(target.instance.clone());
        };
        match result {
            Ok(response) => {
                in_flight.on_load(response.load);
                in_flight.on_cold_left(response.cold_left_ms);
                let status = response.status;
                in_flight.end(!status.is_server_error());
                if !status.is_success() {
                    on_failed();
                }
                match response.signature {
                    Some(score) if status.is_success() => Ok((score, target.instance)),
                    _ => {
                        let status = status.as_u16();
                        let failures = scoring.failures.get() + u64::from(status == 500);
                        scoring.failures.set(failures);
                        log::info!(call, status, failures; "reward call returned no score");
                        Err(NoScore::Response)
                    }
                }
            }
            Err(AttemptError::Refused { load, .. }) => {
                in_flight.on_load(load);
                on_failed();
                Err(NoScore::NoResponse)
            }
            Err(error) => {
                let content = scoring.content();
                log::info!(call, content:%, instance = &*target.instance, error:% = error; "reward call got no complete response; will retry");
                in_flight.fail();
                on_failed();
                Err(NoScore::NoResponse)
            }
        }
    }
}
