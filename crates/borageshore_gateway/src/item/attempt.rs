//! One attempt of an item at an engine, from the request to the last event read.

use std::sync::Arc;

use borageshore_batch::{
    Departure, HeldKind, Text, TextError, VersionRule, WorkHold, on_departure, on_evacuation,
};
use borageshore_net::sleep_ms;
use borageshore_platform::{
    AttemptError, Generation, GenerationError, GenerationRequest, RequestPurpose,
};
use borageshore_routing::Route;

use super::ItemRun;
use crate::{
    dispatch::{EngineSlot, SlotRequest},
    mechanisms::Mechanism,
};

/// The timeout for the first byte of a response. An engine responds within a few ms of a slot becoming free and queues
/// a request for up to half a second.
const FIRST_BYTE_TIMEOUT_MS: u64 = 900;
/// The engine or connection counts as lost after this time without an event. Events are 40 ms apart, 160 ms
/// at an engine that is four times slower, also while weights are loading; resuming at another engine costs
/// a few ms.
const EVENT_TIMEOUT_MS: u64 = 600;
/// Latency, in percent of the median, from which an engine counts as slow; lower values are within load
/// variation and noise.
const MIN_SLOW_PERCENT: u64 = 116;
/// A better engine is searched for once in this many events, as each search visits all engines of the service. A daemon
/// that runs three trainers reads 1,800 events a second.
const MOVE_CHECK_INTERVAL_EVENTS: u64 = 4;

/// The pause of an item whose body finds no memory beside those that are being sent.
const BODY_RETRY_MS: u64 = 10;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The text is complete.
    Complete,
    /// The item continues at a faster engine, in the slot already taken there.
    Move(EngineSlot),
    /// The engine is about to leave; the item waits for a slot at another one.
    Released,
    /// The engine has a version that must not continue the text; the item continues at another one.
    OtherVersion,
    /// The engine refused; the item continues at another one.
    Refused,
    /// The engine was lost; the item continues at another one.
    Lost,
    /// The engine was not reached; the item continues at another one.
    Unreached,
    /// The engine failed to run the item.
    Failed,
    /// The engine rejected the item as invalid; retries are useless.
    Invalid,
}

impl ItemRun<'_> {
    /// Sends the item to an engine and reads events until the attempt ends.
    pub(super) async fn attempt(
        &self,
        slot: EngineSlot,
        route: &Route,
        rule: VersionRule,
        request: &mut SlotRequest,
        text: &mut Text,
    ) -> AttemptOutcome {
        let organisation = self.submission.organisation.as_deref();
        let generation_request = GenerationRequest {
            host: &self.submission.host,
            organisation,
            item: &self.item,
            last_event: text.last_event(),
            priority: self.context.routes.priority(route, organisation),
            purpose: match text.last_event() {
                0 => RequestPurpose::Item,
                _ => RequestPurpose::Move,
            },
            first_byte_ms: FIRST_BYTE_TIMEOUT_MS,
        };
        // Until the engine responds: it has read the body then.
        let sending = self.hold_body().await;
        let started = self
            .context
            .client
            .generate(&slot.target, &generation_request)
            .await;
        drop(sending);
        let outcome = match started {
            Ok(generation) => self.read(slot, generation, rule, request, text).await,
            Err(GenerationError::Failed) => {
                slot.in_flight.fail();
                AttemptOutcome::Failed
            }
            Err(GenerationError::Invalid) => {
                slot.in_flight.succeed();
                AttemptOutcome::Invalid
            }
            Err(GenerationError::Attempt(error)) => self.on_attempt_error(slot, &error),
        };
        self.context.dispatch.end_departure(&self.text_key);
        outcome
    }

    /// Waits until there is memory for the item's decoded body.
    async fn hold_body(&self) -> WorkHold {
        let body_bytes = self.item.body_base64.len() as u64;
        loop {
            let held = self.context.memory.try_hold(HeldKind::Sends, body_bytes);
            if let Some(hold) = held {
                return hold;
            }
            sleep_ms(BODY_RETRY_MS).await;
        }
    }

    fn on_attempt_error(&self, slot: EngineSlot, error: &AttemptError) -> AttemptOutcome {
        self.context.instruments.count("item", "goes_on_elsewhere");
        log::info!(item = &*self.item.id, content:% = self.content(), instance = &*slot.target.instance, error:% = error; "attempt of an item failed; retrying the item");
        match error {
            AttemptError::Refused { status: 421, .. } => {
                slot.in_flight.fail();
                AttemptOutcome::Refused
            }
            AttemptError::Refused { load, .. } => {
                slot.in_flight.on_load(*load);
                AttemptOutcome::Refused
            }
            AttemptError::NotSent(_) => {
                slot.in_flight.fail();
                AttemptOutcome::Unreached
            }
            AttemptError::Unknown(_) | AttemptError::Broken(_) => {
                slot.in_flight.fail();
                AttemptOutcome::Lost
            }
        }
    }

    /// Reads events until the text is complete, the engine fails or changes to a version that must not continue the text,
    /// or a better engine has a slot.
    async fn read(
        &self,
        slot: EngineSlot,
        mut generation: Generation,
        rule: VersionRule,
        request: &mut SlotRequest,
        text: &mut Text,
    ) -> AttemptOutcome {
        let instance = slot.in_flight.instance().clone();
        slot.in_flight.on_load(generation.load);
        slot.in_flight.on_cold_left(generation.cold_left_ms);
        let mut version = generation.version;
        let mut event_at_us = None;
        if !self.accepts_version(&instance, version, rule, text) {
            return AttemptOutcome::OtherVersion;
        }
        loop {
            let event = match generation.next_event(EVENT_TIMEOUT_MS).await {
                Ok(Some(event)) => event,
                Ok(None) => {
                    text.mark_complete();
                    generation.release(&self.context.client);
                    slot.in_flight.succeed();
                    return AttemptOutcome::Complete;
                }
                Err(error) => return self.on_attempt_error(slot, &error),
            };
            version = event.version.or(version);
            if !self.accepts_version(&instance, version, rule, text) {
                return AttemptOutcome::OtherVersion;
            }
            let events_before = text.last_event();
            let pushed = text.push(event.id, event.data.clone(), version);
            if text.last_event() > events_before {
                self.save_event(event.data, version);
            }
            if let Err(fault) = pushed {
                if fault == TextError::TooLong {
                    self.restart(text, "it is too long for a result");
                }
                let error = AttemptError::Unknown(format!("event {}: {fault:?}", event.id));
                return self.on_attempt_error(slot, &error);
            }
            if request.pin.is_none() {
                request.pin = self.pin(rule, text);
            }
            let now_us = self.context.clock.now_us();
            if let Some(before_us) = event_at_us.replace(now_us) {
                self.context
                    .endpoints
                    .on_event_gap(&instance, now_us - before_us);
            }
            if let Some(outcome) = self.departure(&instance, event.id, request) {
                return outcome;
            }
            if let Some(better) = self.better_slot(&instance, event.id, request) {
                return AttemptOutcome::Move(better);
            }
        }
    }

    /// Moves or stops the item if its engine leaves before its text is expected to end, and moves one whose rest is long
    /// if its zone is evacuated.
    fn departure(
        &self,
        instance: &Arc<str>,
        events: u64,
        request: &SlotRequest,
    ) -> Option<AttemptOutcome> {
        let endpoints = &self.context.endpoints;
        let leaves_in_ms = endpoints.leaves_in_ms(instance);
        if leaves_in_ms.is_none() && !endpoints.is_evacuated(instance) {
            self.context.dispatch.end_departure(&self.text_key);
            return None;
        }
        let remaining_ms = self.remaining_ms(&request.service, events);
        let departure = match leaves_in_ms {
            Some(leaves_in_ms) => on_departure(remaining_ms, leaves_in_ms),
            None => on_evacuation(remaining_ms),
        };
        let outcome = match departure {
            Departure::MoveIfFree if self.is_sent_elsewhere(&request.service) => {
                AttemptOutcome::Released
            }
            Departure::MoveIfFree if events.is_multiple_of(MOVE_CHECK_INTERVAL_EVENTS) => {
                let remaining_ms = remaining_ms.unwrap_or(u64::MAX);
                let dispatch = &self.context.dispatch;
                let residency = self.residency_now();
                let slot = dispatch.try_leave(&self.text_key, remaining_ms, request, &residency)?;
                AttemptOutcome::Move(slot)
            }
            Departure::Release => AttemptOutcome::Released,
            Departure::MoveIfFree => return None,
            Departure::Stay => {
                self.context.dispatch.end_departure(&self.text_key);
                return None;
            }
        };
        let (name, to) = match &outcome {
            AttemptOutcome::Move(slot) if leaves_in_ms.is_none() => {
                ("moved_off_evacuated", &*slot.target.instance)
            }
            AttemptOutcome::Move(slot) => ("moved_off_leaving", &*slot.target.instance),
            _ => ("released_by_leaving", ""),
        };
        self.context.instruments.count("item", name);
        log::info!(
            item = &*self.item.id, instance = &**instance, leaves_in_ms, remaining_ms, events, to;
            "moving an item off a leaving or evacuated engine"
        );
        Some(outcome)
    }

    /// Takes a slot at a better engine if the current one is slow and moving is worthwhile.
    fn better_slot(
        &self,
        instance: &Arc<str>,
        events: u64,
        request: &SlotRequest,
    ) -> Option<EngineSlot> {
        let is_enabled = self
            .context
            .mechanisms
            .is_enabled(Mechanism::MovesToBetterEngines);
        if !is_enabled || !events.is_multiple_of(MOVE_CHECK_INTERVAL_EVENTS) {
            return None;
        }
        if self.is_sent_elsewhere(&request.service) {
            return None;
        }
        let endpoints = &self.context.endpoints;
        let item = endpoints.running_item(&request.service, instance, events);
        if item.latency_percent < MIN_SLOW_PERCENT {
            return None;
        }
        let dispatch = &self.context.dispatch;
        let better = dispatch.try_move(request, &self.residency_now(), item)?;
        log::info!(
            item = &*self.item.id, instance = &**instance, pace_percent = item.latency_percent, events,
            to = &*better.target.instance;
            "moving an item from a slow engine to a faster one"
        );
        Some(better)
    }

    /// Records the version that an engine generates under; returns whether it may generate the next event of the text.
    fn accepts_version(
        &self,
        instance: &Arc<str>,
        version: Option<u64>,
        rule: VersionRule,
        text: &Text,
    ) -> bool {
        let Some(version) = version else { return true };
        self.record_version(instance, version);
        rule.allows_next(text.versions(), version)
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
