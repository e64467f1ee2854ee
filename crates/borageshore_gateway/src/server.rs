//! Serves the three addresses for callers and the platform, and the metrics page.

use std::{net::SocketAddr, pin::pin, rc::Rc, sync::Arc};

use borageshore_access::{Credentials, KeyDigest, Organisations, scoped};
use borageshore_base::{Fault, ResultCode};
use borageshore_batch::{HeldKind, ReceivedSubmission, WorkMemory};
use borageshore_diagnostics::Instruments;
use borageshore_membership::{AddressRequest, PresenceState};
use borageshore_net::{
    BodyError, Deadline, EdgeRequest, EdgeResponse, Handler, HeldBody, HeldBodyError, MemoryBudget,
    ReceivedBody, ServerLimits, full_body,
};
use borageshore_platform::{
    CallHead, CallerRequest, SubmissionRequest, addresses_response, caller_host, caller_key,
    decode_caller, decode_submission, ok_response, refusal,
};
use borageshore_routing::{MAX_RETRY_AFTER_PART, Route, RouteKind};
use borageshore_topology::Residency;
use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, HeaderValue},
    http::request::Parts,
};

use crate::{
    acceptance::Acceptance,
    access::CallerAccess,
    calls::Calls,
    lifecycle::Lifecycle,
    members::Members,
    peers::{FORWARDED_HEADER, Peers, SubmitOutcome},
    routes::Routes,
    runner::Runner,
    submissions::{MAX_WAIT_MS, Submissions},
    writer::Writer,
};

/// The retry delay given to callers while the daemon starts; routes are read within a second.
const NOT_READY_RETRY_MS: u64 = 300;
/// The retry delay given to callers that this daemon has no time left for; another one takes the request at once.
const DRAINING_RETRY_MS: u64 = 50;
/// The time that accepting a submission takes while the store is slow; without it left, a daemon that drains takes none.
const ACCEPTANCE_TIME_MS: u64 = 3_000;
/// A daemon that drains takes a request whose time limit ends too late if this many times the longest duration of its
/// route fits: callers whose address lists still name the daemon are served.
const DRAINING_HEADROOM: u64 = 2;
/// How long before its end a daemon that drains answers reads that wait for results.
const READ_MARGIN_MS: u64 = 1_000;
/// The shortest retry delay given to callers whose body does not fit the memory budget, about the time in which some
/// bodies in use are done with.
const OVER_MEMORY_RETRY_MS: u64 = 400;
/// The delays of callers that are refused one after the other differ by this, up to [`MAX_OVER_MEMORY_RETRY_MS`].
const OVER_MEMORY_SPREAD_MS: u64 = 60;
/// The longest retry delay given to callers whose body does not fit.
const MAX_OVER_MEMORY_RETRY_MS: u64 = 1_000;
/// The idle timeout of connections. Longer than the platform's 15 s, so that no connection is closed that a caller is
/// about to reuse. Callers reuse connections that were idle for up to four fifths of that.
const IDLE_TIMEOUT_MS: u64 = 20_000;
/// The size limit of a request body, as on the platform.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// The size limit of a peer's message: twice the records of an append to the store, the largest one.
const MAX_PEER_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The number of peers that are asked to accept a submission. When the store refuses only some of the VMs, these are
/// about a third of all.
const MAX_SUBMIT_PEERS: usize = 2;

/// The limits on requests of callers and peers.
pub(crate) fn server_limits() -> ServerLimits {
    ServerLimits {
        head_timeout_ms: IDLE_TIMEOUT_MS,
        body_bytes: MAX_BODY_BYTES,
        ..ServerLimits::default()
    }
}

/// The limits on requests of peers at their own address.
pub(crate) fn peer_limits() -> ServerLimits {
    ServerLimits {
        body_bytes: MAX_PEER_BODY_BYTES,
        ..server_limits()
    }
}

/// Serves counters and histograms as text, at any path.
#[derive(Debug)]
pub(crate) struct MetricsPage {
    pub(crate) instruments: Rc<Instruments>,
    pub(crate) lifecycle: Rc<Lifecycle>,
    pub(crate) memory: MemoryBudget,
    pub(crate) work_memory: WorkMemory,
    pub(crate) runner: Rc<Runner>,
    pub(crate) writer: Rc<Writer>,
}

impl Handler for MetricsPage {
    async fn handle(&self, _request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let (memory, instruments) = (&self.memory, &self.instruments);
        instruments.set("memory_held_bytes", memory.held_bytes());
        instruments.set("memory_refused_bodies", memory.refused_bodies());
        instruments.set("memory_closed_connections", memory.closed_connections());
        for kind in HeldKind::ALL {
            let held_bytes = self.work_memory.held_bytes(kind);
            instruments.set_kind("work_held_bytes", kind.name(), held_bytes);
        }
        instruments.set("work_limit_bytes", self.work_memory.limit_bytes());
        instruments.set("work_refused", self.work_memory.refused());
        let (started, pending) = self.runner.item_counts();
        self.instruments.set("items_started", started);
        self.instruments.set("items_not_started", pending);
        let unwritten_bytes = self.writer.unwritten_bytes() as u64;
        self.instruments
            .set("results_unwritten_bytes", unwritten_bytes);
        self.instruments
            .set("requests_in_flight", self.lifecycle.in_flight() as u64);
        Response::new(full_body(self.instruments.to_text()))
    }
}

/// Decodes requests of callers and dispatches them to their handlers.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) lifecycle: Rc<Lifecycle>,
    pub(crate) routes: Rc<Routes>,
    pub(crate) members: Rc<Members>,
    pub(crate) access: Rc<CallerAccess>,
    pub(crate) calls: Rc<Calls>,
    pub(crate) submissions: Rc<Submissions>,
    pub(crate) peers: Rc<Peers>,
    /// Limits what is held for callers.
    pub(crate) memory: MemoryBudget,
    pub(crate) acceptance: Rc<Acceptance>,
    pub(crate) address_ttl_s: u64,
}

/// A submission whose body has not been read.
struct CallerSubmission<'c> {
    call: &'c CallHead,
    organisation: Option<&'c Arc<str>>,
    residency: Residency,
    caller_deadline: Deadline,
    head: &'c Parts,
}

impl Handler for Server {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let _in_flight = self.lifecycle.track_request();
        let answer = pin!(self.answer(request));
        let end = pin!(self.lifecycle.end_of_answers());
        let mut response = match select(answer, end).await {
            Either::Left((response, _)) => response,
            Either::Right(_) => {
                let fault = Fault::new(ResultCode::TimeoutAfterHandover, "the daemon stops");
                refusal(&fault, None)
            }
        };
        if self.lifecycle.state() == PresenceState::Draining {
            // Makes the caller open its next connection to another daemon.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

impl Server {
    async fn answer(&self, request: EdgeRequest) -> EdgeResponse {
        let (mut head, body) = request.into_parts();
        let key = caller_key(&mut head.headers);
        let decoded = match decode_caller(&head) {
            Ok(decoded) => decoded,
            Err(fault) => return refusal(&fault, None),
        };
        match decoded {
            CallerRequest::Ready => self.ready(),
            CallerRequest::Addresses { host, region, zone } => {
                self.addresses(&host, region.as_deref(), &zone)
            }
            CallerRequest::Submission { id, operation } => {
                self.submission(&id, &operation, key, &head).await
            }
            CallerRequest::Call(call) => self.call(call, key, &head, body).await,
        }
    }

    /// Serves a request about a submission of the caller's organisation.
    async fn submission(
        &self,
        id: &Arc<str>,
        request: &SubmissionRequest,
        key: Option<KeyDigest>,
        head: &Parts,
    ) -> EdgeResponse {
        if !self.routes.is_known() {
            return not_ready();
        }
        let host = caller_host(head).unwrap_or_default();
        let credentials = Credentials {
            key,
            is_public: self.routes.has_public_batch(host),
        };
        let caller = match self.access.admit(credentials).await {
            Ok(caller) => caller,
            Err(denial) => return denial.response(),
        };
        let Some(id) = scoped(caller.organisation().map(|name| &**name), id) else {
            return refusal(&Fault::new(ResultCode::UnknownSubmission, &**id), None);
        };
        let residency = match self.submissions.residency_of(&id).await {
            Ok(residency) => residency,
            Err(refused) => return refused,
        };
        if let Some(answer) = self.ask_owner(&id, &residency, request, head).await {
            return answer;
        }
        if !self.members.may_hold(&residency) {
            return self.submissions.refuse_elsewhere(&id);
        }
        match request {
            SubmissionRequest::Results { after, wait_ms } => {
                let wait_ms = self.read_wait_ms(*wait_ms);
                self.submissions.results(&id, *after, wait_ms).await
            }
            SubmissionRequest::Body { item } => self.submissions.body(&id, item).await,
            SubmissionRequest::End => self.submissions.end(&id).await,
        }
    }

    /// Forwards a request about a submission to its owner, or a read to the daemon that serves this region. Returns `None`
    /// if this daemon should serve it from the store.
    async fn ask_owner(
        &self,
        submission: &str,
        residency: &Residency,
        request: &SubmissionRequest,
        head: &Parts,
    ) -> Option<EdgeResponse> {
        if head.headers.contains_key(FORWARDED_HEADER) {
            return None;
        }
        let wait_ms = match request {
            SubmissionRequest::Results { wait_ms, .. } => self.read_wait_ms(*wait_ms),
            SubmissionRequest::Body { .. } | SubmissionRequest::End => 0,
        };
        let asked = match request {
            SubmissionRequest::End => self.members.owner_addresses(submission, residency),
            _ => self.members.reader_addresses(submission, residency),
        };
        for peer in asked {
            let answer = self.peers.ask(&peer, head, wait_ms).await;
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// How long a read waits for results that was asked to wait for `wait_ms`.
    fn read_wait_ms(&self, wait_ms: u64) -> u64 {
        let remaining_ms = self.lifecycle.remaining_ms();
        let longest_ms = remaining_ms.map_or(MAX_WAIT_MS, |remaining_ms| {
            remaining_ms.saturating_sub(READ_MARGIN_MS)
        });
        wait_ms.min(longest_ms).min(MAX_WAIT_MS)
    }

    fn ready(&self) -> EdgeResponse {
        match self.lifecycle.state() {
            PresenceState::Ready => ok_response(),
            PresenceState::Starting => not_ready(),
            PresenceState::Draining => refusal(&Fault::new(ResultCode::Draining, ""), None),
        }
    }

    fn addresses(&self, host: &str, region: Option<&str>, zone: &str) -> EdgeResponse {
        let caller_region = self.members.region_of_caller(region, zone);
        let ready = self.members.ready_regions();
        let regions = self
            .routes
            .directory_regions(host, caller_region.as_ref(), &ready);
        let addresses = self.members.addresses_for(AddressRequest {
            zone,
            region: caller_region.as_deref(),
            candidates: &regions,
        });
        if addresses.is_empty() {
            return not_ready();
        }
        addresses_response(&addresses, self.address_ttl_s)
    }

    async fn call(
        &self,
        mut call: CallHead,
        key: Option<KeyDigest>,
        head: &Parts,
        body: ReceivedBody,
    ) -> EdgeResponse {
        if !self.routes.is_known() {
            return not_ready();
        }
        let Some(route) = self.routes.find(&call.host, &call.path) else {
            let fault = Fault::new(ResultCode::UnknownRoute, &*call.path);
            return refusal(&fault, None);
        };
        let credentials = Credentials {
            key,
            is_public: route.is_public,
        };
        let caller_deadline = self.calls.deadline_of(&call);
        // Before the body is read, so that a refused caller need not send it.
        let caller = match self.access.admit(credentials).await {
            Ok(caller) => caller,
            Err(denial) => return denial.response(),
        };
        let organisation = caller.organisation().map(|name| &**name);
        let residency = self.access.residency(&route, organisation);
        if !self.routes.is_servable(&residency) {
            let service = route.main_service().cloned().unwrap_or_default();
            let code = ResultCode::NoAllowedRegion;
            let calls = &self.calls;
            return calls.refuse_residency(code, &call.id, &route, &service, caller_deadline);
        }
        if self
            .routes
            .with_organisations(Organisations::are_configured)
        {
            call.remove_api_key();
        }
        let longest_ms = match route.kind {
            RouteKind::Batch => ACCEPTANCE_TIME_MS,
            _ => {
                let limit_ms = call.deadline_ms.min(route.timeout_ms);
                limit_ms.min(DRAINING_HEADROOM * self.calls.expected_ms(&route))
            }
        };
        if !self.lifecycle.has_time_for(longest_ms) {
            return self.refuse_draining(&call.id, &route.name);
        }
        if route.kind == RouteKind::Batch {
            let submission = CallerSubmission {
                call: &call,
                organisation: caller.organisation(),
                residency,
                caller_deadline,
                head,
            };
            return self.receive_submission(submission, &route, body).await;
        }
        // Counts the body until the call is answered.
        let held = match self.read_body(body).await {
            Ok(held) => held,
            Err(HeldBodyError::OverMemory) => {
                return self.refuse_body(&call.id, &route.name, caller_deadline);
            }
            Err(HeldBodyError::Body(body_error)) => {
                return refusal(&body_fault(body_error), None);
            }
        };
        let body = held.bytes.clone();
        self.calls
            .forward(call, caller, &route, body, caller_deadline)
            .await
    }

    async fn receive_submission(
        &self,
        submission: CallerSubmission<'_>,
        route: &Route,
        body: ReceivedBody,
    ) -> EdgeResponse {
        let CallerSubmission {
            call,
            organisation,
            caller_deadline,
            ..
        } = submission;
        let mut body = match self.acceptance.read(body).await {
            Ok(body) => body,
            Err(HeldBodyError::OverMemory) => {
                return self.acceptance.refuse(&call.id, caller_deadline);
            }
            Err(HeldBodyError::Body(body_error)) => {
                return refusal(&body_fault(body_error), None);
            }
        };
        let text = body.bytes.clone();
        let decoded = decode_submission(organisation, &call.id, &call.host, &call.path, text);
        let received = match decoded {
            Ok(received) => received,
            Err(fault) => {
                log::info!(submission = &*call.id, fault:% = fault; "malformed submission");
                return refusal(&fault, None);
            }
        };
        if !self.submissions.is_accepted(&received.head.id) && !body.admit(&received) {
            return self.acceptance.refuse(&call.id, caller_deadline);
        }
        let service = route.main_service().cloned().unwrap_or_default();
        self.submit(
            &received,
            &service,
            submission.residency,
            submission.head,
            &body.bytes,
        )
        .await
    }

    async fn read_body(&self, body: ReceivedBody) -> Result<HeldBody, HeldBodyError> {
        self.memory.read_body(body, server_limits()).await
    }

    /// Refuses a request that may take longer than this daemon has before it exits.
    fn refuse_draining(&self, request: &str, route: &str) -> EdgeResponse {
        let remaining_ms = self.lifecycle.remaining_ms().unwrap_or(0);
        self.submissions.instruments.count("call", "not_run");
        log::info!(request, route, remaining_ms; "request refused: the daemon stops before it would have to be answered");
        let fault = Fault::new(ResultCode::Draining, "");
        refusal(&fault, Some(DRAINING_RETRY_MS))
    }

    /// Refuses a request whose body does not fit the memory budget; nothing of it was run.
    fn refuse_body(&self, request: &str, route: &str, caller_deadline: Deadline) -> EdgeResponse {
        let refused = self.memory.refused_bodies();
        let held_bytes = self.memory.held_bytes();
        // Callers that are refused together return one after the other.
        let spread_ms = MAX_OVER_MEMORY_RETRY_MS - OVER_MEMORY_RETRY_MS;
        let again_ms = OVER_MEMORY_RETRY_MS + refused * OVER_MEMORY_SPREAD_MS % spread_ms;
        let longest_ms = caller_deadline.remaining_ms() / MAX_RETRY_AFTER_PART;
        let again_ms = again_ms.min(longest_ms).max(1);
        log::info!(request, route, held_bytes, again_ms; "refusing a body: too much is held for callers");
        refusal(&Fault::new(ResultCode::OverMemory, ""), Some(again_ms))
    }

    /// Accepts a submission, through a peer if the store does not accept it from this VM.
    async fn submit(
        &self,
        submission: &ReceivedSubmission,
        service: &Arc<str>,
        residency: Residency,
        head: &Parts,
        body: &Bytes,
    ) -> EdgeResponse {
        let id = submission.head.id.clone();
        let accepted = self
            .submissions
            .accept(submission, service, residency.clone());
        let response = accepted.await;
        let is_refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if !is_refused || head.headers.contains_key(FORWARDED_HEADER) {
            return response;
        }
        let peers = self.members.choose_eligible(MAX_SUBMIT_PEERS, &residency);
        match self.peers.submit(&peers, head, body).await {
            SubmitOutcome::Accepted(accepted) => {
                log::info!(submission = &*id; "submission accepted by a peer");
                accepted
            }
            SubmitOutcome::Unknown => {
                let fault = Fault::new(ResultCode::AcceptanceUnknown, "a peer did not answer");
                refusal(&fault, None)
            }
            SubmitOutcome::NotAccepted => response,
        }
    }
}

fn not_ready() -> EdgeResponse {
    let fault = Fault::new(ResultCode::NotReady, "");
    refusal(&fault, Some(NOT_READY_RETRY_MS))
}

fn body_fault(body_error: BodyError) -> Fault {
    match body_error {
        BodyError::TooLarge => Fault::new(ResultCode::BodyTooLarge, ""),
        BodyError::TooSlow => Fault::new(ResultCode::MalformedRequest, "the body took too long"),
        BodyError::Malformed(why) => Fault::new(ResultCode::MalformedRequest, why),
    }
}
