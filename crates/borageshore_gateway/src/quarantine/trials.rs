//! Trials of requests that are held back: one daemon at a time sends one, whose outcome all learn.

use std::{cell::Cell, rc::Rc, sync::Arc};

use borageshore_net::within_ms;
use borageshore_platform::{StoreError, Topic};
use borageshore_routing::{Fingerprint, Verdict};

use super::{
    CLAIM_MS, Held, Quarantine,
    records::{TrialNote, TrialState, trial_record},
};
use crate::follow::ONLY_PARTITION;

/// Leave to send a request: as often as its route permits, or once on trial.
#[derive(Debug)]
pub(crate) struct Leave {
    pub(super) trial: Option<Trial>,
}

impl Leave {
    /// Says whether the request may be sent once only, to show whether it crashes endpoints still.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Says whether a trial has reached an endpoint.
    pub(crate) fn is_sent(&self) -> bool {
        let trial = self.trial.as_ref();
        trial.is_some_and(|trial| trial.is_sent.get())
    }

    /// Where a send notes that the trial is made.
    pub(super) fn mark(&self) -> Option<Rc<Cell<bool>>> {
        let trial = self.trial.as_ref();
        trial.map(|trial| trial.is_sent.clone())
    }
}

/// A trial that this daemon makes; over when it is dropped.
#[derive(Debug)]
pub(super) struct Trial {
    quarantine: Rc<Quarantine>,
    note: TrialNote,
    is_sent: Rc<Cell<bool>>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.quarantine
            .on_trial_over(&self.note, self.is_sent.get());
    }
}

impl Quarantine {
    /// Claims the trial of a request: of all daemons that do, the one whose record comes first in the log makes it.
    pub(super) async fn claim(self: &Rc<Self>, content: Fingerprint) -> Result<Leave, Held> {
        let count = self.claims.replace(self.claims.get() + 1);
        let (name, incarnation) = self.members.own_identity();
        let note = TrialNote {
            content,
            number: self.table.borrow().trials(&content) + 1,
            claim: format!("{name}.{incarnation}.{count}").into(),
            state: TrialState::Claimed,
            at_ms: self.unix_ms(),
        };
        let record = [trial_record(&note)];
        // Dropped without a send, it gives the claim back, also one that the store takes late.
        let trial = Trial {
            quarantine: self.clone(),
            note: note.clone(),
            is_sent: Rc::default(),
        };
        let claiming = async {
            self.store
                .append(Topic::Members, ONLY_PARTITION, &record, None)
                .await?;
            while self.verdict(&content) == Verdict::TrialDue {
                self.changed.notified().await;
            }
            Ok::<(), StoreError>(())
        };
        let claimed = within_ms(CLAIM_MS, claiming).await;
        if matches!(claimed, Some(Ok(()))) && self.table.borrow().has_trial(&note.claim) {
            log::info!(content:%; "a request that is held back is tried");
            self.instruments.count("quarantine", "tried");
            return Ok(Leave { trial: Some(trial) });
        }
        match self.verdict(&content) {
            Verdict::Allowed => Ok(Leave { trial: None }),
            Verdict::Held { retry_after_ms } => Err(Held {
                again_ms: retry_after_ms,
            }),
            Verdict::TrialDue if self.members.is_first_for(&content.to_string()) => {
                Ok(self.try_without_the_store(trial))
            }
            Verdict::TrialDue => {
                log::info!(content:%, claimed:?; "the trial of a request cannot be claimed");
                Err(Held { again_ms: CLAIM_MS })
            }
        }
    }

    /// Begins a trial that the store has not taken.
    ///
    /// Guards against an outage of the store that begins as a proper request is held back: it was refused for as long as
    /// the outage lasted. One daemon for each request tries, as far as the daemons agree on who lives.
    fn try_without_the_store(&self, trial: Trial) -> Leave {
        let note = &trial.note;
        log::info!(content:% = note.content; "a request that is held back is tried without the store");
        self.instruments.count("quarantine", "tried");
        self.is_store_late.set(true);
        self.table.borrow_mut().on_claim(
            note.content,
            note.claim.clone(),
            note.number,
            self.unix_ms(),
        );
        self.note_change();
        Leave { trial: Some(trial) }
    }

    /// The endpoints that a trial must not go to: it would be lost with one that another request is crashing.
    pub(crate) fn crashed_lately(&self) -> Vec<Arc<str>> {
        self.table.borrow().crashed_lately(self.unix_ms())
    }

    /// Takes over that a trial of this daemon is over.
    pub(super) fn on_trial_over(&self, note: &TrialNote, is_made: bool) {
        let note = TrialNote {
            state: match is_made {
                true => TrialState::Made,
                false => TrialState::Unmade,
            },
            at_ms: self.unix_ms(),
            ..note.clone()
        };
        if self.table.borrow().is_suspected(&note.content) {
            self.notes.borrow_mut().push(trial_record(&note));
            self.to_write.notify_one();
        }
        self.on_trial(note);
    }

    pub(super) fn on_trial(&self, note: TrialNote) {
        let now_ms = self.unix_ms();
        let mut table = self.table.borrow_mut();
        let over_ms = note.at_ms.min(now_ms);
        match note.state {
            TrialState::Claimed => {
                table.on_claim(note.content, note.claim, note.number, now_ms);
            }
            TrialState::Made => {
                table.on_trial_finished(&note.content, &note.claim, note.number, over_ms);
            }
            TrialState::Unmade => table.on_trial_cancelled(&note.content, &note.claim, over_ms),
        }
    }
}
