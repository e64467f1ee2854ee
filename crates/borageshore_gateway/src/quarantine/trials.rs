//! Trials of held requests: one daemon at a time sends the request once, and all daemons learn the outcome.

use std::{cell::Cell, rc::Rc, sync::Arc};

use borageshore_net::within_ms;
use borageshore_platform::{StoreError, Topic};
use borageshore_routing::{Fingerprint, HoldDecision, RequestKind};

use super::{
    CLAIM_TIMEOUT_MS, Held, Quarantine,
    records::{TrialRecord, TrialState, encode_trial},
};
use crate::follow::ONLY_PARTITION;

/// Permission to send a request: as often as its route allows, or once as a trial.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(super) trial: Option<Trial>,
}

impl Permit {
    /// Whether the request may be sent only once, to show whether it still crashes endpoints.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Whether a trial has reached an endpoint.
    pub(crate) fn is_sent(&self) -> bool {
        let trial = self.trial.as_ref();
        trial.is_some_and(|trial| trial.is_sent.get())
    }

    /// The flag that [`SentRequest`](super::SentRequest) sets when the trial reaches an endpoint.
    pub(super) fn sent_flag(&self) -> Option<Rc<Cell<bool>>> {
        let trial = self.trial.as_ref();
        trial.map(|trial| trial.is_sent.clone())
    }
}

/// A trial claimed by this daemon; it ends on drop.
#[derive(Debug)]
pub(super) struct Trial {
    quarantine: Rc<Quarantine>,
    trial_record: TrialRecord,
    is_sent: Rc<Cell<bool>>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.quarantine
            .on_trial_ended(&self.trial_record, self.is_sent.get());
    }
}

impl Quarantine {
    /// Claims the trial of a request. If several daemons claim it, the one whose record is first in the log wins.
    pub(super) async fn claim(
        self: &Rc<Self>,
        kind: RequestKind,
        content: Fingerprint,
    ) -> Result<Permit, Held> {
        let count = self.claims.replace(self.claims.get() + 1);
        let (name, incarnation) = self.members.own_identity();
        let trial_record = TrialRecord {
            content,
            kind,
            number: self.table.borrow().trials(&content) + 1,
            claim: format!("{name}.{incarnation}.{count}").into(),
            state: TrialState::Claimed,
            at_ms: self.unix_ms(),
        };
        let records = [encode_trial(&trial_record)];
        // If dropped without a send, it cancels the claim, even one that the store accepts late.
        let trial = Trial {
            quarantine: self.clone(),
            trial_record: trial_record.clone(),
            is_sent: Rc::default(),
        };
        let claiming = async {
            self.store
                .append(Topic::Members, ONLY_PARTITION, &records, None)
                .await?;
            while self.decision(kind, &content) == HoldDecision::TrialDue {
                self.changed.notified().await;
            }
            Ok::<(), StoreError>(())
        };
        let claimed = within_ms(CLAIM_TIMEOUT_MS, claiming).await;
        if matches!(claimed, Some(Ok(()))) && self.table.borrow().has_trial(&trial_record.claim) {
            log::info!(content:%; "claimed the trial of a held-back request; sending it once");
            self.instruments.count("quarantine", "tried");
            return Ok(Permit { trial: Some(trial) });
        }
        match self.decision(kind, &content) {
            HoldDecision::Allowed => Ok(Permit { trial: None }),
            HoldDecision::Held { retry_after_ms } => Err(Held { retry_after_ms }),
            HoldDecision::TrialDue if self.members.is_first_for(&content.to_string()) => {
                Ok(self.start_trial_without_store(trial))
            }
            HoldDecision::TrialDue => {
                log::info!(content:%, claimed:?; "could not claim the trial of a held-back request; it stays held back");
                Err(Held {
                    retry_after_ms: CLAIM_TIMEOUT_MS,
                })
            }
        }
    }

    /// Begins a trial without a claim in the store.
    ///
    /// Guards against a harmless request that is refused throughout a store outage. Only one daemon tries each request,
    /// provided that the daemons agree on which of them are alive.
    fn start_trial_without_store(&self, trial: Trial) -> Permit {
        let trial_record = &trial.trial_record;
        log::info!(content:% = trial_record.content; "trial of a held-back request not claimed in the store; sending the request once without a claim");
        self.instruments.count("quarantine", "tried");
        self.is_store_late.set(true);
        self.table.borrow_mut().on_claim_for(
            trial_record.kind,
            trial_record.content,
            trial_record.claim.clone(),
            trial_record.number,
            self.unix_ms(),
        );
        self.notify_change();
        Permit { trial: Some(trial) }
    }

    /// The endpoints that crashed recently. A trial must avoid them, as another request may be crashing them.
    pub(crate) fn recently_crashed(&self) -> Vec<Arc<str>> {
        self.table.borrow().recently_crashed(self.unix_ms())
    }

    /// Records the end of a trial of this daemon.
    pub(super) fn on_trial_ended(&self, trial: &TrialRecord, is_sent: bool) {
        let trial = TrialRecord {
            state: match is_sent {
                true => TrialState::Finished,
                false => TrialState::Cancelled,
            },
            at_ms: self.unix_ms(),
            ..trial.clone()
        };
        if self.table.borrow().is_suspected(&trial.content) {
            self.pending_records.borrow_mut().push(encode_trial(&trial));
            self.write_requested.notify_one();
        }
        self.on_trial(trial);
    }

    pub(super) fn on_trial(&self, trial: TrialRecord) {
        let now_ms = self.unix_ms();
        let mut table = self.table.borrow_mut();
        let end_ms = trial.at_ms.min(now_ms);
        match trial.state {
            TrialState::Claimed => {
                table.on_claim_for(trial.kind, trial.content, trial.claim, trial.number, now_ms);
            }
            TrialState::Finished => {
                table.on_trial_finished(&trial.content, &trial.claim, trial.number, end_ms);
            }
            TrialState::Cancelled => table.on_trial_cancelled(&trial.content, &trial.claim, end_ms),
        }
    }
}
