//! Reward calls, which score finished texts.

mod attempt;
mod groups;
mod slots;

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{PackedItem, RewardCall, RewardLatencies, Submission};
use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, sleep_ms};
use borageshore_platform::{EndpointClient, OutboundRequest};
use borageshore_routing::{Fingerprint, RequestKind, RetryBudget};

pub(crate) use self::groups::GroupMember;
use self::{attempt::NoScore, groups::Groups, slots::RewardSlots};
use crate::{endpoints::Endpoints, quarantine::Quarantine, routes::Routes};

/// Delay before a call is repeated. An endpoint that refused has a free slot again by then.
const RETRY_MS: u64 = 60;
/// An attempt that takes longer is considered lost. A call takes 80 to 200 ms, and a second at the worst.
const TIMEOUT_MS: u64 = 1_600;
/// Hedges are limited to this share of the attempts, in percent, so that a slow endpoint does not double the load of
/// the others.
const HEDGE_BUDGET_PERCENT: u64 = 20;

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
    pub(crate) instruments: Rc<Instruments>,
}

/// A finished text's reward call, with what decides when it starts.
#[derive(Debug)]
pub(crate) struct ScoreRequest<'r> {
    pub(crate) call: &'r RewardCall<'r>,
    /// The item, counted in its group.
    pub(crate) member: &'r GroupMember,
    /// The organisation that submitted the item.
    pub(crate) organisation: Option<&'r str>,
    /// When the submission was first seen, in ms of the daemon's clock.
    pub(crate) step_seen_at_ms: u64,
    /// The priority of the submission's route for its organisation.
    pub(crate) priority: u64,
    /// When a held call fails, in ms of the daemon's clock.
    pub(crate) give_up_ms: u64,
}

impl ScoreRequest<'_> {
    /// The path of the call, without its query.
    fn path(&self) -> &str {
        let path = &self.call.path;
        path.split('?').next().unwrap_or(path)
    }
}

/// A reward call in progress.
#[derive(Debug)]
struct Scoring<'c> {
    call: &'c RewardCall<'c>,
    content: OnceCell<Fingerprint>,
    /// The endpoints of the last attempt that returned no score.
    last_failed: RefCell<Vec<Arc<str>>>,
    /// The number of responses with status 500.
    failures: Cell<u64>,
}

impl<'c> Scoring<'c> {
    fn open(call: &'c RewardCall<'c>) -> Self {
        Self {
            call,
            content: OnceCell::new(),
            last_failed: RefCell::default(),
            failures: Cell::new(0),
        }
    }

    /// The request, built when it is sent: many calls may wait, each with a body.
    fn outbound(&self) -> OutboundRequest {
        OutboundRequest::reward(self.call)
    }

    fn content(&self) -> Fingerprint {
        *self.content.get_or_init(|| self.outbound().fingerprint())
    }
}

/// Makes reward calls, within a share of their services' slots.
#[derive(Debug)]
pub(crate) struct Rewards {
    parts: RewardParts,
    slots: Rc<RewardSlots>,
    groups: Rc<Groups>,
    latencies: RefCell<SortedMap<Arc<str>, RewardLatencies>>,
    hedges: RefCell<RetryBudget>,
}

impl Rewards {
    pub(crate) fn open(parts: RewardParts) -> Rc<Self> {
        Rc::new(Self {
            slots: RewardSlots::open(parts.endpoints.clone(), parts.instruments.clone()),
            groups: Rc::default(),
            latencies: RefCell::default(),
            hedges: RefCell::new(RetryBudget::open(HEDGE_BUDGET_PERCENT)),
            parts,
        })
    }

    /// Counts an item that starts to run in its group, until the member is dropped.
    pub(crate) fn join_group(&self, submission: &Submission, item: &PackedItem) -> GroupMember {
        self.groups.join(&submission.id, item.group())
    }

    /// Repeats the call until it is scored or has failed as often as its route permits.
    pub(crate) async fn score(&self, request: ScoreRequest<'_>) -> Reward {
        let call = request.call;
        let scoring = Scoring::open(call);
        loop {
            let Some(route) = self.parts.routes.find(&call.host, request.path()) else {
                log::warn!(call = &*call.id; "no route for a reward call; retrying");
                sleep_ms(TIMEOUT_MS).await;
                continue;
            };
            let quarantine = &self.parts.quarantine;
            let kind = RequestKind::RewardCall;
            let permit = match quarantine.admit(kind, || scoring.content()).await {
                Ok(permit) => permit,
                Err(held) => {
                    let now_ms = self.parts.clock.now_ms();
                    let remaining_ms = request.give_up_ms.saturating_sub(now_ms);
                    if remaining_ms == 0 {
                        return Reward::Failed;
                    }
                    log::info!(call = &*call.id, content:% = scoring.content(), again_ms = held.retry_after_ms; "reward call waits: its request is held back for crashing endpoints");
                    quarantine.wait(scoring.content(), held, remaining_ms).await;
                    continue;
                }
            };
            match self.attempt(&route, &request, &scoring, &permit).await {
                Ok(score) => return Reward::Score(score),
                Err(NoScore::Response) if scoring.failures.get() >= route.max_attempts => {
                    return Reward::Failed;
                }
                Err(NoScore::Response | NoScore::NoResponse) => {}
            }
            sleep_ms(RETRY_MS).await;
        }
    }
}
