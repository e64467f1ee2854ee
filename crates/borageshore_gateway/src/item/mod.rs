//! Runs one item of a submission: generates its text, scores it and hands the result to the writer.

mod attempt;
mod queue;
mod versions;
mod waiting;

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_batch::{
    FinishedText, Item, ItemRank, ItemResult, ItemState, LossBackoff, PackedItem, RewardCall,
    StartOrder, Submission, Text, Urgency, UrgencyRequest, WorkMemory,
};
use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, sleep_ms};
use borageshore_platform::{EndpointClient, item_fingerprint};
use borageshore_routing::{Fingerprint, Route};
use borageshore_topology::Residency;
use bytes::Bytes;

pub(crate) use self::queue::{ItemQueue, StartedTotal};
use self::{attempt::AttemptOutcome, queue::StartedItem};
use crate::{
    dispatch::{Dispatch, SlotRequest},
    endpoints::Endpoints,
    ledger_view::LedgerView,
    mechanisms::Mechanisms,
    progress::{Progress, SaveHandle},
    rewards::{GroupMember, Reward, Rewards, ScoreRequest},
    routes::Routes,
    submission_index::SubmissionIndex,
    text_cache::TextCache,
    writer::Writer,
};

/// The pause after a refusal, so that a full service is not retried in a tight loop.
const REFUSED_RETRY_MS: u64 = 30;
/// The pause before a route is looked up again that is missing or names no service.
const NO_ROUTE_RETRY_MS: u64 = 500;

/// The parts of the daemon that running items use.
#[derive(Debug)]
pub(crate) struct ItemContext {
    pub(crate) mechanisms: Rc<Mechanisms>,
    pub(crate) clock: Clock,
    pub(crate) routes: Rc<Routes>,
    pub(crate) endpoints: Rc<Endpoints>,
    pub(crate) dispatch: Rc<Dispatch>,
    pub(crate) client: EndpointClient,
    pub(crate) rewards: Rc<Rewards>,
    pub(crate) view: Rc<LedgerView>,
    pub(crate) index: Rc<SubmissionIndex>,
    pub(crate) texts: Rc<TextCache>,
    pub(crate) progress: Rc<Progress>,
    pub(crate) instruments: Rc<Instruments>,
    pub(crate) writer: Rc<Writer>,
    pub(crate) started_total: Rc<StartedTotal>,
    pub(crate) memory: WorkMemory,
}

/// What the start order of an item depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ItemSchedule {
    /// When its submission was first seen.
    pub(crate) seen_at_ms: u64,
    pub(crate) rank: ItemRank,
    /// Its length hint, or the mean one of its submission.
    pub(crate) hint_tokens: Option<u64>,
}

/// Runs an item until it has a result and queues the result for writing.
async fn run_item(
    context: Rc<ItemContext>,
    submission: Arc<Submission>,
    schedule: ItemSchedule,
    started: StartedItem,
) {
    let packed = &submission.items[schedule.rank.index()];
    let run = ItemRun {
        context: &context,
        submission: &submission,
        packed,
        item: packed.unpack(),
        text_key: submission.scoped_item_id(packed.id()),
        schedule,
        timing: Timing::default(),
        save_handle: RefCell::default(),
        content: OnceCell::new(),
        member: context.rewards.join_group(&submission, packed),
        started,
    };
    let result = run.finish().await;
    let outcome = match result.state {
        ItemState::Done => "done",
        ItemState::GivenUp => "given_up",
    };
    context.instruments.count("item", outcome);
    context.instruments.record_ms("item", run.waited_ms());
    log::info!(
        submission = &*submission.id, item = &**packed.id(), group = &**packed.group(),
        hint_tokens = packed.length_hint_tokens().unwrap_or(0), state:? = result.state,
        versions:? = result.versions, waited_ms = context.clock.now_ms() - schedule.seen_at_ms,
        placed_ms = run.timing.placed_ms.get(), generated_ms = run.timing.generated_ms.get(),
        stays = run.timing.attempts.get(), events = run.timing.events.get();
        "item finished"
    );
    context.writer.write(submission.id.clone(), result);
}

struct ItemRun<'r> {
    context: &'r ItemContext,
    submission: &'r Submission,
    packed: &'r PackedItem,
    item: Item<'r>,
    /// The key of the item's text in the text cache and in the saved progress.
    text_key: Arc<str>,
    schedule: ItemSchedule,
    timing: Timing,
    save_handle: RefCell<Option<SaveHandle>>,
    content: OnceCell<Fingerprint>,
    /// The item, counted in its group until it has a result.
    member: GroupMember,
    /// The item, counted in its submission's queue.
    started: StartedItem,
}

/// Progress of an item; times are in ms since its submission was first seen.
#[derive(Debug, Default)]
struct Timing {
    placed_ms: Cell<u64>,
    generated_ms: Cell<u64>,
    attempts: Cell<u64>,
    events: Cell<u64>,
}

impl Drop for ItemRun<'_> {
    /// A cancelled run must not keep its part in the comparison of departures.
    fn drop(&mut self) {
        self.context.dispatch.end_departure(&self.text_key);
    }
}

impl ItemRun<'_> {
    async fn finish(&self) -> ItemResult {
        if let Some(result) = self.earlier_result() {
            return result;
        }
        let texts = &self.context.texts;
        let mut cached = texts.take(&self.text_key, self.version_rule_now());
        let text = cached.text();
        if !self.is_deliverable(text) && !self.generate(text).await {
            cached.remove();
            return self.given_up();
        }
        self.timing.generated_ms.set(self.waited_ms());
        self.timing.events.set(text.last_event());
        self.member.on_text_complete();
        self.started.on_generated();
        let mut score = None;
        if let Some(call) = &self.item.reward {
            // On the heap, so that an item takes the memory only while it is scored.
            let scoring = Box::pin(self.context.rewards.score(self.score_request(call)));
            match scoring.await {
                Reward::Score(signature) => score = Some(signature),
                Reward::Failed => {
                    cached.remove();
                    return self.given_up();
                }
            }
        }
        let text = cached.remove();
        ItemResult {
            item: self.packed.id().clone(),
            state: ItemState::Done,
            output: text.output(),
            versions: text.versions().to_vec(),
            score,
        }
    }

    /// The result of the same item with the same reward call in another submission, if its versions are permitted.
    fn earlier_result(&self) -> Option<ItemResult> {
        let route = self.route_in_force()?;
        let rule = self.version_rule(Some(&route));
        self.context.view.with(|ledger| {
            let earlier = ledger.earlier_result(self.submission, self.packed, rule)?;
            Some(ItemResult::clone(&earlier))
        })
    }

    /// Fingerprint of the request to the engine, computed on first use.
    fn content(&self) -> Fingerprint {
        let name = || item_fingerprint(self.submission, &self.item);
        *self.content.get_or_init(name)
    }

    /// When the item may be given up; never while its route is missing.
    fn deadline_ms(&self) -> u64 {
        let route = self.route_in_force();
        route.map_or(u64::MAX, |route| self.deadline_on(&route))
    }

    /// When the item may be given up on a route.
    fn deadline_on(&self, route: &Route) -> u64 {
        self.schedule.seen_at_ms.saturating_add(route.retention_ms)
    }

    /// How long the item may not yet be given up on a route; 0 if it may.
    fn remaining_retention_ms(&self, route: &Route) -> u64 {
        let now_ms = self.context.clock.now_ms();
        self.deadline_on(route).saturating_sub(now_ms)
    }

    fn score_request<'c>(&'c self, call: &'c RewardCall<'c>) -> ScoreRequest<'c> {
        let organisation = self.submission.organisation.as_deref();
        let routes = &self.context.routes;
        let route = self.route_in_force();
        ScoreRequest {
            call,
            member: &self.member,
            organisation,
            step_seen_at_ms: self.schedule.seen_at_ms,
            priority: route.map_or(u64::MAX, |route| routes.priority(&route, organisation)),
            give_up_ms: self.deadline_ms(),
        }
    }

    fn waited_ms(&self) -> u64 {
        self.context.clock.now_ms() - self.schedule.seen_at_ms
    }

    fn given_up(&self) -> ItemResult {
        ItemResult {
            item: self.packed.id().clone(),
            state: ItemState::GivenUp,
            output: String::new(),
            versions: Vec::new(),
            score: None,
        }
    }

    /// Generates the rest of the text; returns `false` if the item has to be given up.
    async fn generate(&self, text: &mut Text) -> bool {
        self.start_saving(text);
        let mut failures = 0;
        let mut losses = LossBackoff::default();
        let mut avoid = Vec::new();
        let mut next_slot = None;
        let mut pin = None;
        loop {
            let route = self.route().await;
            if self.remaining_retention_ms(&route) == 0 {
                return false;
            }
            let rule = self.version_rule(Some(&route));
            if !rule.allows(text.versions()) {
                self.restart(text, "the route in force does not allow its versions");
            }
            pin = self.renew_pin(pin, rule, text);
            avoid.extend_from_slice(losses.lost_engines());
            let request = self.slot_request(&route, text, std::mem::take(&mut avoid));
            let Some(mut request) = request else {
                sleep_ms(NO_ROUTE_RETRY_MS).await;
                continue;
            };
            request.pin = pin.map(|pin| pin.pin);
            let slot = match next_slot.take() {
                Some(slot) => slot,
                None => match self.acquire_slot(&request, rule).await {
                    Some(slot) => slot,
                    None => continue,
                },
            };
            let is_inside = {
                let residency = self.residency_now();
                let endpoints = &self.context.endpoints;
                endpoints.allows(&residency, &slot.target.instance)
            };
            // The routes in force may have become narrower during the wait for a slot.
            if !is_inside {
                continue;
            }
            // The zone may have been evacuated since the slot was taken.
            if self.context.endpoints.is_evacuated(&slot.target.instance) {
                continue;
            }
            if request.pin.is_some_and(|pin| pin.version != slot.version) {
                self.restart(text, "no engine with its version has a slot");
                request.pin = None;
            }
            let instance = slot.target.instance.clone();
            if self.timing.attempts.replace(self.timing.attempts.get() + 1) == 0 {
                self.timing.placed_ms.set(self.waited_ms());
                self.started.on_placed();
            }
            let is_whole = text.last_event() == 0;
            let started_at_ms = self.context.clock.now_ms();
            let events_before = text.last_event();
            // On the heap, so that an item takes the memory only while it is at an engine.
            let attempt = Box::pin(self.attempt(slot, &route, rule, &mut request, text));
            let outcome = attempt.await;
            if text.last_event() > events_before {
                losses.on_progress();
            }
            match outcome {
                AttemptOutcome::Complete => {
                    if is_whole {
                        self.record_time(&request.service, text, started_at_ms);
                    }
                    if self.is_deliverable(text) {
                        return true;
                    }
                }
                AttemptOutcome::Move(slot) => next_slot = Some(slot),
                AttemptOutcome::Released => {}
                AttemptOutcome::Invalid => return false,
                AttemptOutcome::Failed => {
                    failures += 1;
                    if failures >= route.max_attempts {
                        return false;
                    }
                    // A single faulty engine must not use up the item's attempts.
                    avoid.push(instance);
                }
                AttemptOutcome::Refused => {
                    avoid.push(instance);
                    sleep_ms(REFUSED_RETRY_MS).await;
                }
                AttemptOutcome::Lost => {
                    let attempt_ms = self.context.clock.now_ms() - started_at_ms;
                    let pause_ms = losses.on_lost(&instance, attempt_ms);
                    self.pause(pause_ms, losses.lost_engines().len()).await;
                }
                AttemptOutcome::Unreached => sleep_ms(losses.on_unreached(&instance)).await,
                AttemptOutcome::OtherVersion => {
                    self.on_other_version(rule, text);
                    avoid.push(instance);
                    sleep_ms(REFUSED_RETRY_MS).await;
                }
            }
        }
    }

    /// Pauses between attempts that were lost one after the other.
    async fn pause(&self, pause_ms: u64, lost_engines: usize) {
        if pause_ms == 0 {
            return;
        }
        self.context.instruments.count("item", "paced");
        log::info!(item = &*self.item.id, lost_engines, pause_ms; "attempts of an item were lost one after the other; it goes on after a pause");
        sleep_ms(pause_ms).await;
    }

    fn start_saving(&self, text: &Text) {
        let submission = &self.submission.id;
        let progress = &self.context.progress;
        let handle = progress.start_saving(submission, &self.text_key, text);
        self.save_handle.replace(Some(handle));
    }

    fn save_event(&self, data: Bytes, version: Option<u64>) {
        if let (Some(handle), Some(version)) = (&*self.save_handle.borrow(), version) {
            handle.push(data, version);
        }
    }

    fn route_in_force(&self) -> Option<Arc<Route>> {
        let Submission { host, path, .. } = self.submission;
        self.context.routes.find(host, path)
    }

    /// Whether the route in force sends the item to services other than this one.
    fn is_sent_elsewhere(&self, service: &str) -> bool {
        let route = self.route_in_force();
        route.is_some_and(|route| !route.sends_to(service))
    }

    async fn route(&self) -> Arc<Route> {
        loop {
            if let Some(route) = self.route_in_force() {
                return route;
            }
            sleep_ms(NO_ROUTE_RETRY_MS).await;
        }
    }

    /// What to ask an engine for; `None` if the route names no service.
    fn slot_request(
        &self,
        route: &Route,
        text: &Text,
        avoid: Vec<Arc<str>>,
    ) -> Option<SlotRequest> {
        let service = route.service_for(self.context.endpoints.random())?;
        Some(SlotRequest {
            order: self.start_order(route, service, text),
            service: service.clone(),
            model: self.submission.model.clone(),
            min_version: self.submission.min_version,
            pin: None,
            residency: self.residency_now(),
            group: self.packed.group().clone(),
            avoid,
        })
    }

    /// The regions in which the item may run: those that were allowed when its submission was accepted and that the
    /// routes in force allow as well.
    fn residency_now(&self) -> Residency {
        let Submission { id, host, path, .. } = self.submission;
        let stored = self.context.index.stored_within(id);
        let organisation = self.submission.organisation.as_deref();
        let routes = &self.context.routes;
        routes.residency_now(&stored, (&**host, &**path), organisation)
    }

    fn start_order(&self, route: &Route, service: &str, text: &Text) -> StartOrder {
        let ItemSchedule {
            seen_at_ms, rank, ..
        } = self.schedule;
        let has_contention = self.context.endpoints.has_contention(service);
        let Some(result_due_ms) = route.result_due_ms.filter(|_| has_contention) else {
            return StartOrder::Ranked(seen_at_ms, rank);
        };
        let organisation = self.submission.organisation.as_deref();
        let remaining_ms = self.remaining_ms(service, text.last_event());
        StartOrder::Urgent(Urgency::new(UrgencyRequest {
            arrived_at_ms: seen_at_ms,
            rank,
            result_due_ms,
            remaining_ms: remaining_ms.unwrap_or(0),
            priority: self.context.routes.priority(route, organisation),
        }))
    }

    /// The expected time to generate the rest of the text after an event.
    fn remaining_ms(&self, service: &str, last_event: u64) -> Option<u64> {
        let hint_tokens = self.schedule.hint_tokens;
        let dispatch = &self.context.dispatch;
        dispatch.remaining_ms(service, hint_tokens, last_event)
    }

    /// Records the time of a text that one engine generated from start to end.
    fn record_time(&self, service: &Arc<str>, text: &Text, started_at_ms: u64) {
        let finished = FinishedText {
            hint_tokens: self.packed.length_hint_tokens(),
            events: text.last_event(),
            generation_ms: self.context.clock.now_ms() - started_at_ms,
        };
        self.context.dispatch.on_text_finished(service, finished);
    }
}
