//! Forwards calls of callers to the endpoints of their routes, with retries and hedging.

use std::{
    cell::{OnceCell, RefCell},
    future::Future,
    rc::Rc,
    sync::Arc,
};

use borageshore_base::{Fault, ResultCode};
use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, Deadline, EdgeResponse, within_ms};
use borageshore_platform::{
    AttemptError, CallHead, EndpointClient, EndpointResponse, OutboundRequest, RequestPurpose,
    forwarded_response, refusal,
};
use borageshore_routing::{
    AttemptEvent, CallTerms, Fingerprint, Idempotent, LongestDurations, MAX_RETRY_AFTER_PART,
    Outcome, RequestAttempts, RequestKind, RetryBudget, Route, RouteKind,
};
use borageshore_topology::Residency;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::{
    access::{AuthorizedCaller, CallerAccess, Denial},
    endpoints::Endpoints,
    overload::{Overload, OverloadRefusal},
    quarantine::{Held, Permit, Quarantine},
    usage::{RequestUsage, UsageCounter},
};

/// The final response is sent this long before the caller's deadline, so that it arrives in time.
const RESPONSE_MARGIN_MS: u64 = 25;
/// A hedge is sent to a second endpoint when the first takes longer than this share of the route's latency objective,
/// in percent. Most calls take a sixth of the objective, the slowest in a hundred four fifths.
const HEDGE_PERCENT: u64 = 55;
/// Hedges are limited to this share of the calls, in percent, so that a slow endpoint does not double the load of the
/// others.
const HEDGE_BUDGET_PERCENT: u64 = 20;
/// The delay after which callers should retry a call that found all endpoints full or loading, in a service without
/// contention. A queued call there takes 25 to 200 ms.
const RETRY_AFTER_MS: u64 = 150;
/// The delay after which callers should retry a call that no endpoint or region may serve for its residency. Endpoints
/// return, and routes change, within seconds at best.
const RESIDENCY_RETRY_AFTER_MS: u64 = 1_000;

/// Forwards calls and answers each before its deadline.
#[derive(Debug)]
pub(crate) struct Calls {
    access: Rc<CallerAccess>,
    /// Counts requests for usage reports, if these are configured.
    usage: Option<Rc<UsageCounter>>,
    endpoints: Rc<Endpoints>,
    client: EndpointClient,
    clock: Clock,
    hedges: RefCell<RetryBudget>,
    overload: Overload,
    durations: RefCell<LongestDurations>,
    quarantine: Rc<Quarantine>,
    instruments: Rc<Instruments>,
}

/// A call in progress; the fingerprint of its content is computed when it is first needed.
#[derive(Debug)]
struct PendingCall {
    outbound: OutboundRequest,
    caller: AuthorizedCaller,
    usage: RequestUsage,
    content: OnceCell<Fingerprint>,
    /// The regions that were allowed when the call was admitted.
    residency: Residency,
    /// The path by which its route is looked up again before each attempt.
    path: Arc<str>,
    /// When the caller stops waiting; it may allow more time than the route.
    caller_deadline: Deadline,
}

impl PendingCall {
    fn content(&self) -> Fingerprint {
        *self.content.get_or_init(|| self.outbound.fingerprint())
    }

    fn terms(&self, route: &Route) -> CallTerms<'_> {
        CallTerms {
            organisation: self.caller.organisation(),
            priority: self.caller.priority().unwrap_or(route.priority),
            objective_ms: route.objective_ms,
            limit_ms: route.timeout_ms,
            left_ms: self.caller_deadline.remaining_ms(),
        }
    }
}

/// The outcome of a call's attempts so far.
#[derive(Debug, Default)]
struct CallOutcome {
    attempts: RequestAttempts,
    /// A signed error of an endpoint, forwarded if no attempt succeeds.
    error_response: Option<EndpointResponse>,
}

impl Calls {
    pub(crate) fn open(
        access: Rc<CallerAccess>,
        usage: Option<Rc<UsageCounter>>,
        endpoints: Rc<Endpoints>,
        client: EndpointClient,
        clock: Clock,
        quarantine: Rc<Quarantine>,
        instruments: Rc<Instruments>,
    ) -> Rc<Self> {
        Rc::new(Self {
            access,
            usage,
            overload: Overload::open(endpoints.clone(), clock),
            endpoints,
            client,
            clock,
            durations: RefCell::default(),
            hedges: RefCell::new(RetryBudget::open(HEDGE_BUDGET_PERCENT)),
            quarantine,
            instruments,
        })
    }

    /// When the caller of a request that has just arrived stops waiting.
    pub(crate) fn deadline_of(&self, head: &CallHead) -> Deadline {
        Deadline::after(self.clock, head.deadline_ms)
    }

    /// How long a call of a route takes at most, as far as those that ended of late tell.
    pub(crate) fn expected_ms(&self, route: &Route) -> u64 {
        let durations = self.durations.borrow();
        let longest_ms = durations.longest_ms(&route.name, self.clock.now_ms());
        longest_ms.unwrap_or(0).max(route.objective_ms)
    }

    /// Forwards a call and responds before its deadline.
    pub(crate) async fn forward(
        &self,
        head: CallHead,
        caller: AuthorizedCaller,
        route: &Route,
        body: Bytes,
        caller_deadline: Deadline,
    ) -> EdgeResponse {
        let started_at_ms = self.clock.now_ms();
        let wait_ms = head.deadline_ms.min(route.timeout_ms);
        let deadline = Deadline::after(self.clock, wait_ms.saturating_sub(RESPONSE_MARGIN_MS));
        let outbound = OutboundRequest {
            id: head.id.clone(),
            host: head.host,
            method: head.method,
            target: head.target,
            headers: head.headers,
            body,
            organisation: caller.organisation().cloned(),
        };
        let organisation = caller.organisation().map(|name| &**name);
        let call = PendingCall {
            outbound,
            residency: self.access.residency(route, organisation),
            path: head.path,
            usage: RequestUsage::begin(self.usage.as_ref(), caller.organisation()),
            caller,
            content: OnceCell::new(),
            caller_deadline,
        };
        let permit = match self
            .quarantine
            .admit(RequestKind::Call, || call.content())
            .await
        {
            Ok(permit) => permit,
            Err(held) => return self.refuse_held(&call, route, held),
        };
        let Some(service) = route.service_for(self.endpoints.random()) else {
            let fault = Fault::new(ResultCode::NoEndpoint, "the route names no service");
            return refusal(&fault, Some(RETRY_AFTER_MS));
        };
        if call.residency.is_restricted() && !self.endpoints.has_live(service, &call.residency) {
            let code = ResultCode::NoEndpointInRegion;
            let id = call.outbound.id.clone();
            return self.refuse_residency(code, &id, route, service, call.caller_deadline);
        }
        if let Some(wait_ms) = self.endpoints.cold_refusal_ms(service, &call.residency) {
            return self.refuse_cold(&call, route, wait_ms);
        }
        // A trial shows whether a request crashes endpoints, so it goes on.
        if !permit.is_trial()
            && let Some(refused) = self
                .overload
                .refuse(service, &call.residency, call.terms(route))
        {
            return self.refuse_overload(&call, route, refused);
        }
        let mut outcome = CallOutcome::default();
        let attempts = self.run_attempts(route, service, &call, &permit, deadline, &mut outcome);
        let endpoint_response = attempts.await.or(outcome.error_response.take());
        let took_ms = self.clock.now_ms() - started_at_ms;
        self.instruments.record_ms("call", took_ms);
        let ended_at_ms = self.clock.now_ms();
        let mut durations = self.durations.borrow_mut();
        durations.record(&route.name, took_ms, ended_at_ms);
        drop(durations);
        let response = match endpoint_response {
            Some(endpoint_response) => forwarded_response(endpoint_response),
            None if outcome.attempts.tried().is_empty()
                && !self.access.is_still_authorized(&call.caller) =>
            {
                Denial::ViewTooOld.response()
            }
            None => {
                let not_run = || {
                    let terms = call.terms(route);
                    self.overload.on_not_run(service, &call.residency, terms)
                };
                failure_response(&outcome, deadline, not_run)
            }
        };
        let status = response.status().as_u16();
        self.instruments.count("call", outcome_of(status));
        log::info!(
            request = &*call.outbound.id, route = &*route.name, status, took_ms, wait_ms,
            tried:? = outcome.attempts.tried(), outcome:? = outcome.attempts.outcome();
            "call answered"
        );
        response
    }

    /// Refuses a held call at once, with the time after which it may be tried again.
    fn refuse_held(&self, call: &PendingCall, route: &Route, held: Held) -> EdgeResponse {
        let fault = Fault::new(ResultCode::HeldBack, call.content().to_string());
        let response = refusal(&fault, Some(held.retry_after_ms));
        self.instruments.count("quarantine", "refused");
        self.instruments.count("call", "not_run");
        log::info!(
            request = &*call.outbound.id, route = &*route.name, content:% = call.content(),
            status = response.status().as_u16(), again_ms = held.retry_after_ms;
            "call refused: its request is held back for crashing endpoints"
        );
        response
    }

    /// Refuses a request at once that no region, or no endpoint of a service in the allowed ones, can serve.
    pub(crate) fn refuse_residency(
        &self,
        code: ResultCode,
        request: &str,
        route: &Route,
        service: &Arc<str>,
        caller_deadline: Deadline,
    ) -> EdgeResponse {
        let longest_ms = caller_deadline.remaining_ms() / MAX_RETRY_AFTER_PART;
        let again_ms = RESIDENCY_RETRY_AFTER_MS.min(longest_ms).max(1);
        let reason = match code {
            ResultCode::NoAllowedRegion => "no_region",
            _ => "no_endpoint",
        };
        self.instruments.count_at("residency", reason, service);
        self.instruments.count("call", "not_run");
        log::info!(
            request, route = &*route.name, service = &**service, reason, again_ms;
            "request refused for its residency"
        );
        refusal(&Fault::new(code, &*route.name), Some(again_ms))
    }

    /// Refuses a call for which only cold endpoints are left that may get no request now.
    fn refuse_cold(&self, call: &PendingCall, route: &Route, wait_ms: u64) -> EdgeResponse {
        let left_ms = call.caller_deadline.remaining_ms();
        let retry_after_ms =
            Some(wait_ms).filter(|wait_ms| wait_ms * MAX_RETRY_AFTER_PART <= left_ms);
        let fault = Fault::new(ResultCode::NoEndpoint, "all endpoints are cold");
        let response = refusal(&fault, retry_after_ms);
        self.instruments.count("cold_send", "refused");
        self.instruments.count("call", "not_run");
        log::info!(
            request = &*call.outbound.id, route = &*route.name, wait_ms, left_ms;
            "call refused: all endpoints of its service are cold and have got this daemon's share of requests"
        );
        response
    }

    /// Refuses a call of an overloaded service before it is sent to any endpoint.
    fn refuse_overload(
        &self,
        call: &PendingCall,
        route: &Route,
        refused: OverloadRefusal,
    ) -> EdgeResponse {
        let reason = refused.reason.name();
        let response = refusal(
            &Fault::new(ResultCode::NoEndpoint, reason),
            Some(refused.retry_after_ms),
        );
        self.instruments.count("overload", reason);
        self.instruments.count("call", "not_run");
        log::info!(
            request = &*call.outbound.id, route = &*route.name, reason, again_ms = refused.retry_after_ms,
            queued = refused.summary.queued, slots = refused.summary.slots,
            left_ms = call.caller_deadline.remaining_ms();
            "call refused: the endpoints of its service are overloaded"
        );
        response
    }

    /// Tries one endpoint after the other, and hedges a slow one, as the route permits.
    async fn run_attempts(
        &self,
        route: &Route,
        service: &Arc<str>,
        call: &PendingCall,
        permit: &Permit,
        deadline: Deadline,
        outcome: &mut CallOutcome,
    ) -> Option<EndpointResponse> {
        let idempotent = match route.kind {
            RouteKind::Idempotent => Idempotent::Yes,
            _ => Idempotent::No,
        };
        let hedge_ms = route.objective_ms * HEDGE_PERCENT / 100;
        self.hedges.borrow_mut().on_request();
        let is_trial = permit.is_trial();
        let may_try = |outcome: &CallOutcome| {
            let may_repeat = || match is_trial {
                true => !permit.is_sent(),
                false => self.quarantine.may_repeat(|| call.content()),
            };
            outcome.attempts.may_try(idempotent, route.max_attempts)
                && (outcome.attempts.tried().is_empty() || may_repeat())
        };
        let mut running = FuturesUnordered::new();
        let mut may_hedge = idempotent == Idempotent::Yes && !is_trial;
        loop {
            if deadline.has_passed() {
                return None;
            }
            if running.is_empty() && may_try(outcome) {
                let purpose = match outcome.attempts.tried() {
                    [] => RequestPurpose::Call,
                    _ => RequestPurpose::Retry,
                };
                match self.start_attempt(service, call, permit, purpose, deadline, outcome) {
                    Some(attempt) => running.push(attempt),
                    None => return None,
                }
            } else if running.is_empty() {
                return None;
            }
            let wait_ms = match may_hedge {
                true => hedge_ms.min(deadline.remaining_ms()),
                false => deadline.remaining_ms(),
            };
            let Some(finished) = within_ms(wait_ms, running.next()).await else {
                if std::mem::take(&mut may_hedge)
                    && may_try(outcome)
                    && self.hedges.borrow_mut().try_retry()
                {
                    let purpose = RequestPurpose::Hedge;
                    let attempt =
                        self.start_attempt(service, call, permit, purpose, deadline, outcome);
                    running.extend(attempt);
                }
                continue;
            };
            let Some((number, result)) = finished else {
                continue;
            };
            if let Some(response) = record_attempt(number, result, &call.outbound, outcome) {
                return Some(response);
            }
        }
    }

    /// The regions in which the next attempt of a call may run; the routes may have changed since the last one.
    fn residency_now(&self, call: &PendingCall) -> Residency {
        let organisation = call.caller.organisation().map(|name| &**name);
        let route = (&*call.outbound.host, &*call.path);
        self.access
            .residency_now(&call.residency, route, organisation)
    }

    fn start_attempt<'c>(
        &'c self,
        service: &Arc<str>,
        call: &'c PendingCall,
        permit: &'c Permit,
        purpose: RequestPurpose,
        deadline: Deadline,
        outcome: &mut CallOutcome,
    ) -> Option<impl Future<Output = (usize, Result<EndpointResponse, AttemptError>)> + use<'c>>
    {
        if !self.access.is_still_authorized(&call.caller) {
            log::info!(request = &*call.outbound.id; "call not sent: its key is no longer accepted");
            return None;
        }
        let residency = &self.residency_now(call);
        let (target, in_flight) = match permit.is_trial() {
            true => {
                self.endpoints
                    .choose(service, residency, &self.quarantine.recently_crashed())?
            }
            false => {
                let untried = self
                    .endpoints
                    .choose(service, residency, outcome.attempts.tried());
                untried.or_else(|| self.endpoints.choose(service, residency, &[]))?
            }
        };
        let number = outcome.attempts.add_sent(target.instance.clone());
        let service = service.clone();
        Some(async move {
            let started_at_ms = self.clock.now_ms();
            let outbound = &call.outbound;
            let content = || call.content();
            let mut sent = self
                .quarantine
                .track_send(content, &target.instance, permit);
            let attempt = call.usage.on_attempt();
            let result = self.client.call(&target, outbound, purpose, deadline).await;
            sent.on_outcome(&result);
            if let Err(AttemptError::NotSent(_) | AttemptError::Refused { .. }) = &result {
                call.usage.on_not_run(attempt);
            }
            match &result {
                Ok(response) => {
                    let took_ms = self.clock.now_ms() - started_at_ms;
                    self.overload.on_answer(&service, took_ms, response.load);
                    in_flight.on_load(response.load);
                    in_flight.on_cold_left(response.cold_left_ms);
                    in_flight.end(!response.status.is_server_error());
                }
                Err(AttemptError::Refused { load, .. }) => in_flight.on_load(*load),
                Err(error) => {
                    log::info!(request = &*outbound.id, content:% = call.content(), instance = &*target.instance, error:% = error; "attempt failed: no complete response from the endpoint");
                    in_flight.fail();
                }
            }
            (number, result)
        })
    }
}

/// The final response if no endpoint gave one; `not_run` computes when the call should be repeated.
fn failure_response<NotRun>(
    outcome: &CallOutcome,
    deadline: Deadline,
    not_run: NotRun,
) -> EdgeResponse
where
    NotRun: FnOnce() -> Option<u64>,
{
    if outcome.attempts.outcome() == Outcome::NotRun {
        let fault = Fault::new(ResultCode::NoEndpoint, "");
        let retry_after_ms = not_run().unwrap_or(RETRY_AFTER_MS);
        return refusal(&fault, Some(retry_after_ms));
    }
    let code = match deadline.has_passed() {
        true => ResultCode::TimeoutAfterHandover,
        false => ResultCode::EndpointLost,
    };
    refusal(&Fault::new(code, ""), None)
}

fn outcome_of(status: u16) -> &'static str {
    match status {
        200..=299 => "done",
        429 | 503 => "not_run",
        _ => "failed",
    }
}

/// Records the end of an attempt; returns the response for the caller if there is one.
fn record_attempt(
    number: usize,
    result: Result<EndpointResponse, AttemptError>,
    outbound: &OutboundRequest,
    outcome: &mut CallOutcome,
) -> Option<EndpointResponse> {
    let event = match &result {
        Ok(_) => AttemptEvent::Answered,
        Err(AttemptError::Unknown(_) | AttemptError::Broken(_)) => AttemptEvent::Lost,
        Err(AttemptError::NotSent(_) | AttemptError::Refused { .. }) => AttemptEvent::Refused,
    };
    outcome.attempts.on_event(number, event);
    let response = result.ok()?;
    if response.status.is_server_error() {
        // An error without a signature does not come from the endpoint itself.
        if response.signature.is_some() {
            outcome.error_response = Some(response);
        }
        return None;
    }
    if response.status.is_success() && response.signature.is_none() {
        log::warn!(request = &*outbound.id; "dropping a successful response without a signature");
        return None;
    }
    Some(response)
}
