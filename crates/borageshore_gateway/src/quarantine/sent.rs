//! One send of a request, until its outcome is known.

use std::{rc::Rc, sync::Arc};

use borageshore_platform::{Answer, AttemptError};
use borageshore_routing::Fingerprint;

use super::Quarantine;

/// A request that is at an endpoint.
///
/// Guards against a request whose caller leaves before its endpoint crashes: what is dropped without an outcome counts
/// as given up in silence, or 26 endpoints of six crashed in 16 s without an attempt that was lost.
#[derive(Debug)]
pub(crate) struct Sent<Content>
where
    Content: Fn() -> Fingerprint,
{
    quarantine: Rc<Quarantine>,
    content: Content,
    instance: Arc<str>,
    is_trial: bool,
    has_outcome: bool,
}

impl Quarantine {
    /// Notes that a request goes to an endpoint; `content` is called only where the outcome asks for it.
    pub(crate) fn send<Content>(
        self: &Rc<Self>,
        content: Content,
        instance: &Arc<str>,
        is_trial: bool,
    ) -> Sent<Content>
    where
        Content: Fn() -> Fingerprint,
    {
        Sent {
            quarantine: self.clone(),
            content,
            instance: instance.clone(),
            is_trial,
            has_outcome: false,
        }
    }
}

impl<Content> Sent<Content>
where
    Content: Fn() -> Fingerprint,
{
    /// Takes over what came of a call.
    pub(crate) fn on_outcome(&mut self, called: &Result<Answer, AttemptError>) {
        match called {
            Ok(answer) if answer.status.is_success() && answer.stamp.is_some() => self.on_success(),
            Ok(_) => self.on_end(),
            Err(error) => self.on_error(error),
        }
    }

    /// Takes over that it was answered with success, or is well under way.
    pub(crate) fn on_success(&mut self) {
        self.has_outcome = true;
        self.quarantine.on_success(&self.content);
    }

    /// Takes over an end that shows nothing.
    pub(crate) fn on_end(&mut self) {
        self.has_outcome = true;
    }

    /// Takes over that it brought no answer.
    pub(crate) fn on_error(&mut self, error: &AttemptError) {
        self.has_outcome = true;
        match error {
            AttemptError::Broken(_) => {
                let content = (self.content)();
                self.quarantine
                    .on_broken(content, &self.instance, self.is_trial);
            }
            AttemptError::Lost(_) => self.give_up(),
            AttemptError::NotSent(_) | AttemptError::Refused { .. } => {}
        }
    }

    fn give_up(&self) {
        let content = (self.content)();
        let now_ms = self.quarantine.unix_ms();
        let mut losses = self.quarantine.silent_losses.borrow_mut();
        losses.push(content, &self.instance, self.is_trial, now_ms);
    }
}

impl<Content> Drop for Sent<Content>
where
    Content: Fn() -> Fingerprint,
{
    fn drop(&mut self) {
        if !self.has_outcome {
            self.give_up();
        }
    }
}
