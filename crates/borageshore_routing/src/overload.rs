//! Overload of a service's endpoints: which calls are admitted, and when refused ones should return.
//!
//! The load that this answers: callers ask for several times what the endpoints can serve, some organisations far more
//! than others. The queues of the endpoints would make all answers late; instead, calls are refused at once, in a fixed
//! order: less important ones first, then those of organisations that used more than their share, then those that have
//! not been refused before. A call that was refused before is told from a new one by the time that its caller has left,
//! since its next attempt reaches any daemon.

use std::{ops::Range, sync::Arc};

use borageshore_base::SortedMap;

use crate::endpoint::{Endpoint, LoadReport};

/// Reports that are older do not count. Younger ones fade, so that they soon show free slots.
const MAX_REPORT_AGE_MS: u64 = 2_000;
/// This many endpoints with a current report stand for a service. In a smaller service, all of them must have reported:
/// calls go first to endpoints of which nothing is known, and some may have free slots.
const SAMPLE_ENDPOINTS: u64 = 16;
/// The estimate of the service time is a moving average in which a new answer has the weight 1 / `SERVICE_TIME_WINDOW`.
const SERVICE_TIME_WINDOW: u64 = 16;
/// Waits vary: one of up to this many times the mean is expected of some calls.
const WAIT_SPREAD: u64 = 2;
/// A call whose caller has less than this share of the route's time limit left was refused before; the rest allows for
/// the way to the daemon.
const NEW_CALL_PERCENT: u64 = 96;
/// A refused call returns after at least this share of the route's time limit, so that it is told from a new one.
const MIN_RETURN_PERCENT: u64 = 5;
/// Counts of calls fade in steps of this length.
const FADE_STEP_MS: u64 = 250;
/// The share of a count that is left after a step, in 1 / 10,000; a count halves within 4 s.
const FADE_PER_10_000: u64 = 9_576;
/// After this many steps nothing is left of a count.
const MAX_FADE_STEPS: u64 = 400;
/// The unit of counts, so that they fade smoothly.
const CALL: u64 = 1_000;
/// An organisation with less than this, a tenth of a call, is forgotten.
const FORGOTTEN: u64 = CALL / 10;
/// A count exceeds the share if it does so by more than this many standard deviations of a random count.
const CHANCE_DEVIATIONS: u64 = 2;
/// The maximum number of organisations that are counted for a service; others count as within their share.
const MAX_ORGANISATIONS: usize = 2_048;
/// Priorities from here on count as one.
const PRIORITIES: usize = 10;
/// A priority with less than this share of the calls, in percent, is not held room for.
const MIN_PRIORITY_PERCENT: u64 = 2;
/// The classes of calls of one priority; see [`CallTerms`].
const CLASSES: u64 = 4;
/// Calls that others go before are admitted at least with this part of the probability of all calls, so that each
/// organisation and priority is served.
const GUARANTEED_PART: u64 = 3;
/// Assumed as the time until there is room where no load is known: endpoints that are gone are unlisted within a second.
const DEFAULT_ROOM_MS: u64 = 200;
/// Callers honour a delay of up to this part of the time that they have left.
pub const MAX_RETRY_AFTER_PART: u64 = 3;
/// The delay grows with the ratio of calls to admitted calls, up to this one.
const MAX_DEMAND_RATIO: u64 = 8;

/// The load of a service's usable endpoints, by their current reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSummary {
    /// The number of usable endpoints.
    pub endpoints: u64,
    /// The endpoints with a current report; the other fields count only these.
    pub reported: u64,
    /// How many requests they can run concurrently.
    pub slots: u64,
    /// The slots that are not in use.
    pub free_slots: u64,
    /// The requests that wait for a slot.
    pub queued: u64,
}

impl LoadSummary {
    /// Summarizes the usable endpoints of a service.
    pub fn of<'e, Endpoints>(endpoints: Endpoints, now_ms: u64) -> Self
    where
        Endpoints: Iterator<Item = &'e Endpoint>,
    {
        let mut summary = Self::default();
        for endpoint in endpoints {
            summary.endpoints += 1;
            let age_ms = now_ms.saturating_sub(endpoint.reported_at_ms());
            if endpoint.report.is_none() || age_ms > MAX_REPORT_AGE_MS {
                continue;
            }
            let (slots, load) = (endpoint.slots(), endpoint.load(now_ms));
            summary.reported += 1;
            summary.slots += slots;
            summary.free_slots += slots.saturating_sub(load);
            summary.queued += load.saturating_sub(slots);
        }
        summary
    }

    /// Counts a call that is sent after the summary was made.
    pub fn on_admitted(&mut self) {
        match self.free_slots {
            0 => self.queued += 1,
            _ => self.free_slots -= 1,
        }
    }

    /// Whether all slots are known to be in use.
    pub fn is_full(&self) -> bool {
        let is_known = self.reported >= self.endpoints.min(SAMPLE_ENDPOINTS);
        is_known && self.slots > 0 && self.free_slots == 0
    }

    /// The mean time until a new request starts, when all slots are in use.
    pub fn wait_ms(&self, service_time_ms: u64) -> u64 {
        service_time_ms * (self.queued + self.reported) / self.slots.max(1)
    }
}

/// What a call asks for.
///
/// The calls of a priority are of four classes, the last one refused last: over the organisation's share and new; over
/// it and refused before; within it and new; within it and refused before.
#[derive(Debug, Clone, Copy)]
pub struct CallTerms<'c> {
    /// The caller's organisation; callers without one count as one.
    pub organisation: Option<&'c Arc<str>>,
    /// The priority; 0 is the highest.
    pub priority: u64,
    /// The time within which the call should be answered.
    pub objective_ms: u64,
    /// The time that a new call of the route has.
    pub limit_ms: u64,
    /// How long the caller still waits for an answer.
    pub left_ms: u64,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadReason {
    /// It would not be answered before its deadline.
    Deadline,
    /// Its organisation used more than its share.
    Share,
    /// The endpoints are full, and others go first.
    Order,
}

impl OverloadReason {
    /// The name in log lines, metrics and responses.
    pub fn name(self) -> &'static str {
        match self {
            OverloadReason::Deadline => "deadline",
            OverloadReason::Share => "share",
            OverloadReason::Order => "order",
        }
    }
}

/// Whether a call is sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadDecision {
    /// It is sent.
    Admit,
    /// It is refused at once.
    Refuse {
        /// The reason.
        reason: OverloadReason,
        /// When it should return.
        retry_after_ms: u64,
    },
}

/// How far a call stands from being refused.
#[derive(Debug, Clone, Copy)]
struct Standing {
    /// Its place in the order in which calls are refused, 0 first.
    level: u64,
    levels: u64,
    is_over_share: bool,
    /// Whether calls of other organisations or priorities go first.
    has_others_before: bool,
}

impl Standing {
    /// The pressure, in thousandths, from which calls of this level are refused.
    fn tolerance(self) -> u64 {
        self.level * 1_000 / self.levels
    }

    /// After all levels, refused only when the wait is as long as any may be.
    fn guaranteed(self) -> Self {
        Self {
            level: self.levels,
            ..self
        }
    }
}

/// The recent calls for a service, as counts that fade within seconds.
#[derive(Debug, Default)]
struct ServiceCalls {
    service_time_us: u64,
    offered: u64,
    admitted: u64,
    by_priority: [u64; PRIORITIES],
    by_organisation: SortedMap<Arc<str>, u64>,
    /// The sum of `by_organisation`.
    used: u64,
    faded_at_ms: u64,
}

/// Admits calls for services whose endpoints may be overloaded. Cost and memory per service are bounded.
#[derive(Debug, Default)]
pub struct OverloadControl {
    services: SortedMap<Arc<str>, ServiceCalls>,
    /// Stands for callers without an organisation.
    no_organisation: Arc<str>,
}

impl OverloadControl {
    /// Records that an endpoint answered a call after `took_ms`; `load` is its report with the answer.
    pub fn on_answer(&mut self, service: &Arc<str>, took_ms: u64, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let calls = self.calls(service);
        // With more requests than slots, the time in the queue is part of the duration.
        let slots = load.slots.max(1);
        let sample_us = took_ms * 1_000 * slots / slots.max(load.requests);
        calls.service_time_us = match calls.service_time_us {
            0 => sample_us.max(1),
            mean => (mean * (SERVICE_TIME_WINDOW - 1) + sample_us) / SERVICE_TIME_WINDOW,
        };
    }

    /// Decides about a call for a service; `random` is a uniform random number.
    ///
    /// A call is admitted while a slot may be free or its answer is expected within the objective. It is refused when it
    /// would miss its deadline. In between, the probability of a refusal rises with the wait, for one level of calls
    /// after the other.
    pub fn decide(
        &mut self,
        service: &Arc<str>,
        summary: LoadSummary,
        terms: CallTerms<'_>,
        now_ms: u64,
        random: u64,
    ) -> OverloadDecision {
        let organisation = terms.organisation.unwrap_or(&self.no_organisation).clone();
        self.forget_unused(service, now_ms);
        let calls = self.calls(service);
        calls.fade(now_ms);
        calls.offered += CALL;
        calls.by_priority[priority_index(terms.priority)] += CALL;
        let mut standing = calls.standing(&organisation, terms);
        if standing.has_others_before && calls.draws_guarantee(random) {
            standing = standing.guaranteed();
        }
        let Some(reason) = calls.reason_to_refuse(summary, terms, standing, random) else {
            calls.on_admitted(organisation);
            return OverloadDecision::Admit;
        };
        let retry_after_ms = calls.retry_after_ms(summary, terms, standing, random);
        OverloadDecision::Refuse {
            reason,
            retry_after_ms,
        }
    }

    /// Records that an admitted call was not run, as all endpoints refused it; returns when it should be repeated.
    pub fn on_not_run(
        &mut self,
        service: &Arc<str>,
        summary: LoadSummary,
        terms: CallTerms<'_>,
        now_ms: u64,
        random: u64,
    ) -> u64 {
        let organisation = terms.organisation.unwrap_or(&self.no_organisation).clone();
        let calls = self.calls(service);
        calls.fade(now_ms);
        calls.admitted = calls.admitted.saturating_sub(CALL);
        if let Some(used) = calls.by_organisation.get_mut(&organisation) {
            let returned = CALL.min(*used);
            *used -= returned;
            calls.used -= returned;
        }
        let standing = calls.standing(&organisation, terms);
        calls.retry_after_ms(summary, terms, standing, random)
    }

    /// The number of organisations whose calls for a service are counted.
    pub fn counted_organisations(&self, service: &str) -> usize {
        let calls = self.services.get(service);
        calls.map_or(0, |calls| calls.by_organisation.len())
    }

    /// Forgets services without recent calls when another one gets its first: the operator may rename services.
    fn forget_unused(&mut self, service: &Arc<str>, now_ms: u64) {
        if self.services.contains_key(service) {
            return;
        }
        self.services.retain(|_, calls| {
            calls.fade(now_ms);
            calls.offered >= FORGOTTEN
        });
    }

    fn calls(&mut self, service: &Arc<str>) -> &mut ServiceCalls {
        self.services
            .get_or_insert_with(service.clone(), ServiceCalls::default)
    }
}

impl ServiceCalls {
    fn on_admitted(&mut self, organisation: Arc<str>) {
        self.admitted += CALL;
        let has_room = self.by_organisation.len() < MAX_ORGANISATIONS;
        if has_room || self.by_organisation.contains_key(&organisation) {
            *self.by_organisation.get_or_insert_with(organisation, || 0) += CALL;
            self.used += CALL;
        }
    }

    fn fade(&mut self, now_ms: u64) {
        let steps = now_ms.saturating_sub(self.faded_at_ms) / FADE_STEP_MS;
        if steps == 0 {
            return;
        }
        self.faded_at_ms += steps * FADE_STEP_MS;
        let steps = steps.min(MAX_FADE_STEPS);
        let faded = |count: u64| (0..steps).fold(count, |left, _| left * FADE_PER_10_000 / 10_000);
        self.offered = faded(self.offered);
        self.admitted = faded(self.admitted);
        self.by_priority = self.by_priority.map(faded);
        for (_, used) in self.by_organisation.iter_mut() {
            *used = faded(*used);
        }
        self.by_organisation.retain(|_, used| *used >= FORGOTTEN);
        self.used = self.by_organisation.values().sum();
    }

    /// Whether an organisation used more than its share, that is, an even part of all calls that were admitted.
    fn is_over_share(&self, organisation: &str) -> bool {
        let organisations = self.by_organisation.len() as u64;
        let share = self.used / organisations.max(1);
        let used = self.by_organisation.get(organisation);
        // A daemon may see few calls of each organisation, and small counts differ by chance.
        let by_chance = CHANCE_DEVIATIONS * (share * CALL).isqrt();
        used.is_some_and(|used| *used > share.max(CALL) + by_chance)
    }

    /// Whether a call is among those that are admitted whoever goes first.
    fn draws_guarantee(&self, random: u64) -> bool {
        let admitted = self.admitted * 1_000 / self.offered.max(CALL);
        (random >> 16) % 1_000 < admitted / GUARANTEED_PART
    }

    fn standing(&self, organisation: &str, terms: CallTerms<'_>) -> Standing {
        let own = priority_index(terms.priority);
        let total: u64 = self.by_priority.iter().sum();
        let is_present =
            |index: &usize| self.by_priority[*index] * 100 >= (total * MIN_PRIORITY_PERCENT).max(1);
        let count = |indices: Range<usize>| indices.filter(is_present).count() as u64;
        let (more_important, less_important) = (count(0..own), count(own + 1..PRIORITIES));
        let is_over_share = self.is_over_share(organisation);
        let new_call_ms = terms.limit_ms.saturating_mul(NEW_CALL_PERCENT) / 100;
        let was_refused = terms.left_ms < new_call_ms;
        let class = 2 * u64::from(!is_over_share) + u64::from(was_refused);
        Standing {
            level: less_important * CLASSES + class,
            levels: (more_important + less_important + 1) * CLASSES,
            is_over_share,
            has_others_before: is_over_share || more_important > 0,
        }
    }

    /// The time that the work of a call is expected to take. Other routes of the service may take longer, so no more
    /// than half of the route's objective counts: where the work alone takes longer, refusals would not save it.
    fn work_ms(&self, terms: CallTerms<'_>) -> u64 {
        self.service_time_ms().min(terms.objective_ms / 2)
    }

    /// By how much the wait exceeds what the objective allows, in thousandths of the objective.
    fn pressure(&self, wait_ms: u64, terms: CallTerms<'_>) -> u64 {
        let answered_after_ms = WAIT_SPREAD * wait_ms + self.work_ms(terms);
        let late_ms = answered_after_ms.saturating_sub(terms.objective_ms);
        late_ms * 1_000 / terms.objective_ms.max(1)
    }

    fn reason_to_refuse(
        &self,
        summary: LoadSummary,
        terms: CallTerms<'_>,
        standing: Standing,
        random: u64,
    ) -> Option<OverloadReason> {
        if !summary.is_full() || self.service_time_us == 0 {
            return None;
        }
        let wait_ms = summary.wait_ms(self.service_time_ms());
        if wait_ms + self.work_ms(terms) > terms.left_ms {
            return Some(OverloadReason::Deadline);
        }
        let excess = self
            .pressure(wait_ms, terms)
            .saturating_sub(standing.tolerance());
        let probability = excess * standing.levels;
        if probability <= random % 1_000 {
            return None;
        }
        Some(match standing.is_over_share {
            true => OverloadReason::Share,
            false => OverloadReason::Order,
        })
    }

    /// The expected time until calls of a level are admitted again, spread so that returns do not coincide.
    fn retry_after_ms(
        &self,
        summary: LoadSummary,
        terms: CallTerms<'_>,
        standing: Standing,
        random: u64,
    ) -> u64 {
        let expected_ms = match summary.is_full() && self.service_time_us > 0 {
            true => {
                // What is queued now is served by then; those that are refused wait for each other too.
                let ratio = (self.offered / self.admitted.max(CALL)).clamp(1, MAX_DEMAND_RATIO);
                summary.wait_ms(self.service_time_ms()) * ratio
            }
            false => DEFAULT_ROOM_MS,
        };
        let longest_ms = terms.left_ms / MAX_RETRY_AFTER_PART;
        let shortest_ms = terms.limit_ms * MIN_RETURN_PERCENT / 100;
        // Calls that are refused last return first.
        let before = standing.levels - standing.level;
        let latest_ms = (2 * expected_ms).min(longest_ms) * (standing.levels + before);
        let latest_ms = (latest_ms / (2 * standing.levels)).max(2 * shortest_ms);
        let latest_ms = latest_ms.min(longest_ms).max(1);
        let earliest_ms = latest_ms.div_ceil(2);
        earliest_ms + (random >> 32) % (latest_ms - earliest_ms + 1)
    }

    fn service_time_ms(&self) -> u64 {
        self.service_time_us.div_ceil(1_000)
    }
}

fn priority_index(priority: u64) -> usize {
    (priority as usize).min(PRIORITIES - 1)
}
