//! Calls of callers, forwarded to the endpoints of their routes.

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
    AttemptError, CallHead, EndpointClient, EndpointResponse, OutboundRequest, forwarded_response,
    refusal,
};
use borageshore_routing::{
    AttemptEvent, Fingerprint, Idempotent, Outcome, RequestAttempts, RetryBudget, Route, RouteKind,
};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::{
    access::{CallerAccess, Denial, Pass},
    endpoints::Endpoints,
    quarantine::{Held, Leave, Quarantine},
    usage::{RequestUsage, UsageCounter},
};

/// A final answer goes out this long before the caller stops waiting for it, so that it arrives.
const ANSWER_MARGIN_MS: u64 = 25;
/// A second endpoint is asked as well when the first takes this share of the route's objective: most
/// calls take a sixth of it, the slowest in a hundred four fifths.
const HEDGE_PERCENT: u64 = 55;
/// A slow endpoint must not double the load of all: hedges are a share of the calls.
const HEDGE_BUDGET_PERCENT: u64 = 20;
/// Callers come back after this time: a refused call found all endpoints full or loading, and a
/// queued call there takes 25 to 200 ms.
const RETRY_AFTER_MS: u64 = 150;

/// Forwards calls.
#[derive(Debug)]
pub(crate) struct Calls {
    access: Rc<CallerAccess>,
    /// Where requests are counted, if anybody wants to know.
    usage: Option<Rc<UsageCounter>>,
    endpoints: Rc<Endpoints>,
    client: EndpointClient,
    clock: Clock,
    hedges: RefCell<RetryBudget>,
    quarantine: Rc<Quarantine>,
    instruments: Rc<Instruments>,
}

/// A call on its way, with the name of its content once that was asked for.
#[derive(Debug)]
struct Asked {
    outbound: OutboundRequest,
    pass: Pass,
    request_use: RequestUsage,
    content: OnceCell<Fingerprint>,
}

impl Asked {
    fn content(&self) -> Fingerprint {
        *self.content.get_or_init(|| self.outbound.fingerprint())
    }
}

/// What the attempts of a call came to so far.
#[derive(Debug, Default)]
struct CallOutcome {
    attempts: RequestAttempts,
    /// An endpoint's own failure, to be passed on if nothing better comes.
    failure: Option<EndpointResponse>,
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
            endpoints,
            client,
            clock,
            hedges: RefCell::new(RetryBudget::open(HEDGE_BUDGET_PERCENT)),
            quarantine,
            instruments,
        })
    }

    /// Forwards a call and answers within its time.
    pub(crate) async fn forward(
        &self,
        head: CallHead,
        pass: Pass,
        route: &Route,
        body: Bytes,
    ) -> EdgeResponse {
        let started_ms = self.clock.now_ms();
        let wait_ms = head.deadline_ms.min(route.timeout_ms);
        let deadline = Deadline::after(self.clock, wait_ms.saturating_sub(ANSWER_MARGIN_MS));
        let outbound = OutboundRequest {
            id: head.id,
            host: head.host,
            method: head.method,
            target: head.target,
            headers: head.headers,
            body,
            organisation: pass.organisation().cloned(),
        };
        let asked = Asked {
            outbound,
            request_use: RequestUsage::begin(self.usage.as_ref(), pass.organisation()),
            pass,
            content: OnceCell::new(),
        };
        let leave = match self.quarantine.admit(|| asked.content()).await {
            Ok(leave) => leave,
            Err(held) => return self.refuse_held(&asked, route, held),
        };
        let Some(service) = route.service_for(self.endpoints.random()) else {
            let fault = Fault::new(ResultCode::NoEndpoint, "the route names no service");
            return refusal(&fault, Some(RETRY_AFTER_MS));
        };
        let mut outcome = CallOutcome::default();
        let attempts = self.attempts(route, service, &asked, &leave, deadline, &mut outcome);
        let answered = attempts.await.or(outcome.failure.take());
        let took_ms = self.clock.now_ms() - started_ms;
        self.instruments.record_ms("call", took_ms);
        let response = match answered {
            Some(whole) => forwarded_response(whole),
            None if outcome.attempts.tried().is_empty() && !self.access.is_good(&asked.pass) => {
                Denial::ViewTooOld.answer()
            }
            None => give_up(&outcome, deadline),
        };
        let status = response.status().as_u16();
        self.instruments.count("call", outcome_of(status));
        log::info!(
            request = &*asked.outbound.id, route = &*route.name, status, took_ms, wait_ms,
            tried:? = outcome.attempts.tried(), outcome:? = outcome.attempts.outcome();
            "call answered"
        );
        response
    }

    /// Refuses a call that crashes endpoints, at once and with the time at which it may be tried again.
    fn refuse_held(&self, asked: &Asked, route: &Route, held: Held) -> EdgeResponse {
        let fault = Fault::new(ResultCode::HeldBack, asked.content().to_string());
        let response = refusal(&fault, Some(held.again_ms));
        self.instruments.count("quarantine", "refused");
        self.instruments.count("call", "not_run");
        log::info!(
            request = &*asked.outbound.id, route = &*route.name, content:% = asked.content(),
            status = response.status().as_u16(), again_ms = held.again_ms;
            "call held back"
        );
        response
    }

    /// Asks one endpoint after the other, and a second one beside a slow one, as the route permits.
    async fn attempts(
        &self,
        route: &Route,
        service: &Arc<str>,
        asked: &Asked,
        leave: &Leave,
        deadline: Deadline,
        outcome: &mut CallOutcome,
    ) -> Option<EndpointResponse> {
        let idempotent = match route.kind {
            RouteKind::Idempotent => Idempotent::Yes,
            _ => Idempotent::No,
        };
        let hedge_ms = route.objective_ms * HEDGE_PERCENT / 100;
        self.hedges.borrow_mut().on_request();
        let is_trial = leave.is_trial();
        let may_try = |outcome: &CallOutcome| {
            let may_repeat = || match is_trial {
                true => !leave.is_sent(),
                false => self.quarantine.may_repeat(|| asked.content()),
            };
            outcome.attempts.may_try(idempotent, route.max_attempts)
                && (outcome.attempts.tried().is_empty() || may_repeat())
        };
        let mut under_way = FuturesUnordered::new();
        let mut may_hedge = idempotent == Idempotent::Yes && !is_trial;
        loop {
            if deadline.is_over() {
                return None;
            }
            if under_way.is_empty() && may_try(outcome) {
                match self.start(service, asked, leave, deadline, outcome) {
                    Some(attempt) => under_way.push(attempt),
                    None => return None,
                }
            } else if under_way.is_empty() {
                return None;
            }
            let wait_ms = match may_hedge {
                true => hedge_ms.min(deadline.left_ms()),
                false => deadline.left_ms(),
            };
            let Some(ended) = within_ms(wait_ms, under_way.next()).await else {
                if std::mem::take(&mut may_hedge)
                    && may_try(outcome)
                    && self.hedges.borrow_mut().try_retry()
                {
                    let attempt = self.start(service, asked, leave, deadline, outcome);
                    under_way.extend(attempt);
                }
                continue;
            };
            let Some((number, ended)) = ended else {
                continue;
            };
            if let Some(answer) = note(number, ended, &asked.outbound, outcome) {
                return Some(answer);
            }
        }
    }

    fn start<'c>(
        &'c self,
        service: &Arc<str>,
        asked: &'c Asked,
        leave: &'c Leave,
        deadline: Deadline,
        outcome: &mut CallOutcome,
    ) -> Option<impl Future<Output = (usize, Result<EndpointResponse, AttemptError>)> + use<'c>>
    {
        if !self.access.is_good(&asked.pass) {
            log::info!(request = &*asked.outbound.id; "a call is not sent any more, its key is not good now");
            return None;
        }
        let (target, in_flight) = match leave.is_trial() {
            true => self
                .endpoints
                .choose(service, &self.quarantine.crashed_lately())?,
            false => {
                let untried = self.endpoints.choose(service, outcome.attempts.tried());
                untried.or_else(|| self.endpoints.choose(service, &[]))?
            }
        };
        let number = outcome.attempts.hand_over(target.instance.clone());
        Some(async move {
            let outbound = &asked.outbound;
            let content = || asked.content();
            let mut sent = self.quarantine.send(content, &target.instance, leave);
            let attempt = asked.request_use.on_attempt();
            let called = self.client.call(&target, outbound, deadline).await;
            sent.on_outcome(&called);
            if let Err(AttemptError::NotSent(_) | AttemptError::Refused { .. }) = &called {
                asked.request_use.on_not_run(attempt);
            }
            match &called {
                Ok(answer) => {
                    in_flight.on_load(answer.load);
                    in_flight.end(!answer.status.is_server_error());
                }
                Err(AttemptError::Refused { load, .. }) => in_flight.on_load(*load),
                Err(error) => {
                    log::info!(request = &*outbound.id, content:% = asked.content(), instance = &*target.instance, error:% = error; "attempt lost");
                    in_flight.fail();
                }
            }
            (number, called)
        })
    }
}

/// The final answer where no endpoint gave one.
fn give_up(outcome: &CallOutcome, deadline: Deadline) -> EdgeResponse {
    if outcome.attempts.outcome() == Outcome::NotRun {
        let fault = Fault::new(ResultCode::NoEndpoint, "");
        return refusal(&fault, Some(RETRY_AFTER_MS));
    }
    let code = match deadline.is_over() {
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

/// Takes an attempt's end over; returns the answer for the caller if there is one.
fn note(
    number: usize,
    ended: Result<EndpointResponse, AttemptError>,
    outbound: &OutboundRequest,
    outcome: &mut CallOutcome,
) -> Option<EndpointResponse> {
    let event = match &ended {
        Ok(_) => AttemptEvent::Answered,
        Err(AttemptError::Lost(_) | AttemptError::Broken(_)) => AttemptEvent::Lost,
        Err(AttemptError::NotSent(_) | AttemptError::Refused { .. }) => AttemptEvent::Refused,
    };
    outcome.attempts.on_event(number, event);
    let answer = ended.ok()?;
    if answer.status.is_server_error() {
        // Without a signature it is no answer that the endpoint made.
        if answer.stamp.is_some() {
            outcome.failure = Some(answer);
        }
        return None;
    }
    if answer.status.is_success() && answer.stamp.is_none() {
        log::warn!(request = &*outbound.id; "a success without a signature is dropped");
        return None;
    }
    Some(answer)
}
