//! Tracks a request at an endpoint until its outcome is known.

use std::{cell::Cell, rc::Rc, sync::Arc};

use borageshore_platform::{AttemptError, EndpointResponse};
use borageshore_routing::Fingerprint;

use super::{Permit, Quarantine};

/// A request that was sent to an endpoint.
///
/// Dropped without an outcome, it counts as abandoned. This guards against requests whose callers disconnect before the
/// endpoint crashes: they would never be suspected. Six endpoints crashed 26 times in 16 s that way.
#[derive(Debug)]
pub(crate) struct SentRequest<Content>
where
    Content: Fn() -> Fingerprint,
{
    quarantine: Rc<Quarantine>,
    content: Content,
    instance: Arc<str>,
    /// Set once the request has reached an endpoint; only for a trial.
    trial: Option<Rc<Cell<bool>>>,
    has_outcome: bool,
}

impl Quarantine {
    /// Tracks a request that is sent to an endpoint; `content` is called only if the outcome requires it.
    pub(crate) fn track_send<Content>(
        self: &Rc<Self>,
        content: Content,
        instance: &Arc<str>,
        permit: &Permit,
    ) -> SentRequest<Content>
    where
        Content: Fn() -> Fingerprint,
    {
        SentRequest {
            quarantine: self.clone(),
            content,
            instance: instance.clone(),
            trial: permit.sent_flag(),
            has_outcome: false,
        }
    }
}

impl<Content> SentRequest<Content>
where
    Content: Fn() -> Fingerprint,
{
    /// Records the result of a call.
    pub(crate) fn on_outcome(&mut self, result: &Result<EndpointResponse, AttemptError>) {
        match result {
            Ok(res) if res.status.is_success() && res.signature.is_some() => self.on_success(),
            Ok(_) => self.on_end(),
            Err(error) => self.on_error(error),
        }
    }

    /// Records a successful response, or enough of a stream to count as one.
    pub(crate) fn on_success(&mut self) {
        self.mark_sent();
        self.quarantine.on_success(&self.content);
    }

    /// Records an end that neither clears nor incriminates the request, unless an outcome is already known.
    pub(crate) fn on_end(&mut self) {
        if !self.has_outcome {
            self.mark_sent();
        }
    }

    /// Records a failed attempt.
    pub(crate) fn on_error(&mut self, error: &AttemptError) {
        if let AttemptError::NotSent(_) = error {
            self.has_outcome = true;
            return;
        }
        self.mark_sent();
        match error {
            AttemptError::Broken(_) => {
                let content = (self.content)();
                self.quarantine
                    .on_crash_observed(content, &self.instance, self.trial.is_some());
            }
            AttemptError::Unknown(_) => self.record_abandoned(),
            AttemptError::NotSent(_) | AttemptError::Refused { .. } => {}
        }
    }

    fn mark_sent(&mut self) {
        self.has_outcome = true;
        if let Some(is_sent) = &self.trial {
            is_sent.set(true);
        }
    }

    fn record_abandoned(&self) {
        let content = (self.content)();
        let now_ms = self.quarantine.unix_ms();
        let mut abandoned = self.quarantine.abandoned_attempts.borrow_mut();
        abandoned.push(content, &self.instance, self.trial.is_some(), now_ms);
    }
}

impl<Content> Drop for SentRequest<Content>
where
    Content: Fn() -> Fingerprint,
{
    fn drop(&mut self) {
        if !self.has_outcome {
            self.mark_sent();
            self.record_abandoned();
        }
    }
}
