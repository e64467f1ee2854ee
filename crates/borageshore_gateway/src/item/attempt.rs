//! One stay of an item at an engine: from its request to its last event there.

use std::sync::Arc;

use borageshore_batch::{RunningItem, Text};
use borageshore_platform::{AttemptError, Generation, GenerationError, GenerationRequest};
use borageshore_routing::{Fingerprint, Route};

use super::ItemRun;
use crate::{
    dispatch::{Place, PlaceRequest},
    mechanisms::Mechanism,
    quarantine::{Leave, Sent},
};

/// An engine answers within some ms of its slot being free; a line of its own lasts half a second.
const FIRST_BYTE_TIMEOUT_MS: u64 = 900;
/// Events come 40 ms apart, 160 ms at an engine that is four times slower. Silence for this long is
/// a lost engine or connection; going on elsewhere costs a few ms. A load of weights is no reason to be
/// silent: runs go on during it.
const EVENT_TIMEOUT_MS: u64 = 600;
/// At an engine of the usual pace, give or take its load and noise, nothing better is looked for.
const MIN_SLOW_PERCENT: u64 = 116;
/// A better engine is looked for after so many events: a look goes through all engines of the
/// service, and a daemon that runs three trainers reads 1,800 events a second.
const MOVE_CHECK_INTERVAL_EVENTS: u64 = 4;
/// An engine that has made so many events of a text, some 0.4 s, is not crashed by it: a text that crashes engines
/// does so as it begins to run.
const CRASH_FREE_EVENTS: u64 = 10;

/// How a stay at an engine ended.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The text is complete.
    Complete,
    /// It goes on at a better engine, where it has a slot.
    Move(Place),
    /// It goes on elsewhere: the engine refused or was lost.
    Retry { is_refused: bool },
    /// The engine failed at it.
    Failed,
    /// It can never be done.
    Invalid,
}

impl ItemRun<'_> {
    /// Sends the item to an engine and reads until it leaves there.
    pub(super) async fn attempt(
        &self,
        place: Place,
        leave: &Leave,
        route: &Route,
        request: &PlaceRequest,
        text: &mut Text,
    ) -> AttemptOutcome {
        let organisation = self.submission.organisation.as_deref();
        let generation_request = GenerationRequest {
            host: &self.submission.host,
            organisation,
            item: self.item,
            last_event: text.last_event(),
            priority: self.context.routes.priority(route, organisation),
            first_byte_ms: FIRST_BYTE_TIMEOUT_MS,
        };
        let instance = place.target.instance.clone();
        let mut sent = self
            .context
            .quarantine
            .send(|| self.content(), &instance, leave);
        let started = self
            .context
            .client
            .generate(&place.target, &generation_request)
            .await;
        let outcome = match started {
            Ok(generation) => self.read(place, generation, request, text, &mut sent).await,
            Err(GenerationError::Failed) => {
                place.in_flight.fail();
                AttemptOutcome::Failed
            }
            Err(GenerationError::Invalid) => {
                place.in_flight.succeed();
                AttemptOutcome::Invalid
            }
            Err(GenerationError::Attempt(error)) => self.on_attempt_error(place, &error, &mut sent),
        };
        sent.on_end();
        outcome
    }

    fn on_attempt_error<Content>(
        &self,
        place: Place,
        error: &AttemptError,
        sent: &mut Sent<Content>,
    ) -> AttemptOutcome
    where
        Content: Fn() -> Fingerprint,
    {
        self.context.instruments.count("item", "goes_on_elsewhere");
        log::info!(item = &*self.item.id, content:% = self.content(), instance = &*place.target.instance, error:% = error; "item goes on elsewhere");
        sent.on_error(error);
        match error {
            AttemptError::Refused { status: 421, .. } => {
                place.in_flight.fail();
                AttemptOutcome::Retry { is_refused: true }
            }
            AttemptError::Refused { load, .. } => {
                place.in_flight.on_load(*load);
                AttemptOutcome::Retry { is_refused: true }
            }
            AttemptError::NotSent(_) | AttemptError::Lost(_) | AttemptError::Broken(_) => {
                place.in_flight.fail();
                AttemptOutcome::Retry { is_refused: false }
            }
        }
    }

    /// Reads events until the text is complete or the engine is given up.
    async fn read<Content>(
        &self,
        place: Place,
        mut generation: Generation,
        request: &PlaceRequest,
        text: &mut Text,
        sent: &mut Sent<Content>,
    ) -> AttemptOutcome
    where
        Content: Fn() -> Fingerprint,
    {
        let instance = place.in_flight.instance().clone();
        place.in_flight.on_load(generation.load);
        let mut version = generation.version;
        let mut event_at_us = None;
        let crash_free_at = text.last_event() + CRASH_FREE_EVENTS;
        loop {
            if let Some(version) = version {
                self.record_version(&instance, version);
                if version < request.min_version || version > request.max_version {
                    return AttemptOutcome::Retry { is_refused: true };
                }
            }
            let event = match generation.next_event(EVENT_TIMEOUT_MS).await {
                Ok(Some(event)) => event,
                Ok(None) => {
                    text.mark_complete();
                    sent.on_success();
                    generation.release(&self.context.client);
                    place.in_flight.succeed();
                    return AttemptOutcome::Complete;
                }
                Err(error) => return self.on_attempt_error(place, &error, sent),
            };
            version = event.version.or(version);
            if version.is_some_and(|version| version > request.max_version) {
                return AttemptOutcome::Retry { is_refused: true };
            }
            let events_before = text.last_event();
            let pushed = text.push(event.id, event.data.clone(), version);
            if text.last_event() > events_before {
                self.save_event(event.data, version);
                if text.last_event() == crash_free_at {
                    sent.on_success();
                }
            }
            if let Err(fault) = pushed {
                let error = AttemptError::Lost(format!("event {}: {fault:?}", event.id));
                return self.on_attempt_error(place, &error, sent);
            }
            let now_us = self.context.clock.now_us();
            if let Some(before_us) = event_at_us.replace(now_us) {
                self.context
                    .endpoints
                    .on_event_gap(&instance, now_us - before_us);
            }
            if let Some(better) = self.better_place(&instance, event.id, request) {
                return AttemptOutcome::Move(better);
            }
        }
    }

    /// Takes a slot at a better engine, if the present one is slow and it pays to move.
    fn better_place(
        &self,
        instance: &Arc<str>,
        events: u64,
        request: &PlaceRequest,
    ) -> Option<Place> {
        let is_enabled = self
            .context
            .mechanisms
            .is_enabled(Mechanism::MovesToBetterEngines);
        if !is_enabled || !events.is_multiple_of(MOVE_CHECK_INTERVAL_EVENTS) {
            return None;
        }
        let item = RunningItem {
            latency_percent: self.context.endpoints.pace_of(instance),
            events,
        };
        if item.latency_percent < MIN_SLOW_PERCENT {
            return None;
        }
        let better = self.context.dispatch.take_better(request, item)?;
        log::info!(
            item = &*self.item.id, instance = &**instance, pace_percent = item.latency_percent, events,
            to = &*better.target.instance;
            "item leaves a slow engine"
        );
        Some(better)
    }

    fn record_version(&self, instance: &Arc<str>, version: u64) {
        if let Some(model) = &self.submission.model {
            let known =
                |versions: &borageshore_batch::EngineVersions| versions.get(instance, model);
            if self.context.endpoints.with_versions(known) < version {
                self.context.endpoints.on_version(instance, model, version);
            }
        }
    }
}
