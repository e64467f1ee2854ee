//! Which subjects a holder may act on.

use std::sync::Arc;

use borageshore_base::SortedMap;

#[derive(Debug, Clone, PartialEq, Eq)]
struct LastAction {
    holder: Arc<str>,
    seen_at_ms: u64,
}

/// The last acts on each subject, as the announcements in the store tell of them.
///
/// Acts of two holders on one subject must be a lease apart. An act is announced before it is sent, so whoever has
/// read all announcements knows the subjects that another holder may be about to act on, and since when at the latest.
/// The others can be acted on at once: a new holder need not wait out the lease for all.
#[derive(Debug)]
pub struct DutyLeases {
    /// Announcements from before may have been forgotten with the log's history.
    opened_at_ms: u64,
    takeover_delay_ms: u64,
    newest_holder: Option<Arc<str>>,
    /// Subjects that others had just acted on when the newest announcement was made.
    newest_held_by_others: Vec<Arc<str>>,
    last_actions: SortedMap<Arc<str>, LastAction>,
}

impl DutyLeases {
    /// Opens the table of a process that begins to read announcements at `now_ms`; a successor waits for `takeover_delay_ms`.
    pub fn open(now_ms: u64, takeover_delay_ms: u64) -> Self {
        Self {
            opened_at_ms: now_ms,
            takeover_delay_ms,
            newest_holder: None,
            newest_held_by_others: Vec::new(),
            last_actions: SortedMap::default(),
        }
    }

    /// Takes over an announcement that was read at `now_ms`: who acts, on what, and what it knew of others.
    pub fn on_announcement(
        &mut self,
        holder: &Arc<str>,
        subjects: &[Arc<str>],
        others: &[Arc<str>],
        now_ms: u64,
    ) {
        self.newest_holder = Some(holder.clone());
        self.newest_held_by_others = others.to_vec();
        for subject in subjects {
            let action = LastAction {
                holder: holder.clone(),
                seen_at_ms: now_ms,
            };
            self.last_actions.insert(subject.clone(), action);
        }
    }

    /// Who made the newest announcement.
    pub fn newest_holder(&self) -> Option<&Arc<str>> {
        self.newest_holder.as_ref()
    }

    /// Says whether `holder` may act on a subject at `now_ms`.
    pub fn may_act(&self, holder: &str, subject: &str, now_ms: u64) -> bool {
        let has_passed = |seen_at_ms: u64| now_ms >= seen_at_ms + self.takeover_delay_ms;
        match self.last_actions.get(subject) {
            Some(last) => &*last.holder == holder || has_passed(last.seen_at_ms),
            // No announcement is known. The holder of the newest one goes by what it wrote there of the others, also
            // after a restart; anyone else might have missed an act from before it began.
            None => {
                let is_own = self.newest_holder.as_deref() == Some(holder);
                let is_others = self
                    .newest_held_by_others
                    .iter()
                    .any(|other| **other == *subject);
                (is_own && !is_others) || has_passed(self.opened_at_ms)
            }
        }
    }

    /// The subjects that `holder` may not act on at `now_ms`, for its next announcement.
    pub fn held_by_others(&self, holder: &str, now_ms: u64) -> Vec<Arc<str>> {
        let known = self.last_actions.keys().chain(&self.newest_held_by_others);
        let mut subjects: Vec<Arc<str>> = known
            .filter(|subject| !self.may_act(holder, subject, now_ms))
            .cloned()
            .collect();
        subjects.sort_unstable();
        subjects.dedup();
        subjects
    }

    /// Begins anew after announcements were missed.
    pub fn reset(&mut self, now_ms: u64) {
        *self = Self::open(now_ms, self.takeover_delay_ms);
    }
}
