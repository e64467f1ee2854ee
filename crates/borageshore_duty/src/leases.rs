//! The subjects that a holder may act on.

use std::sync::Arc;

use borageshore_base::SortedMap;

#[derive(Debug, Clone, PartialEq, Eq)]
struct LastAction {
    holder: Arc<str>,
    seen_at_ms: u64,
}

/// The last announced action on each subject.
///
/// Actions of two holders on one subject must be a lease apart. Every action is announced before it is sent, so a
/// daemon that has read all announcements knows each subject that another holder may be about to act on, and a time by
/// which that was announced. A new holder waits only for these subjects and can act on all others at once.
#[derive(Debug)]
pub struct DutyLeases {
    /// When reading started; earlier announcements may be missing, as the log may have dropped them.
    opened_at_ms: u64,
    takeover_delay_ms: u64,
    newest_holder: Option<Arc<str>>,
    /// Subjects that the newest announcement lists as held by other holders.
    newest_held_by_others: Vec<Arc<str>>,
    last_actions: SortedMap<Arc<str>, LastAction>,
}

impl DutyLeases {
    /// Creates the table of a process that starts reading announcements at `now_ms`; a successor waits for
    /// `takeover_delay_ms`.
    pub fn open(now_ms: u64, takeover_delay_ms: u64) -> Self {
        Self {
            opened_at_ms: now_ms,
            takeover_delay_ms,
            newest_holder: None,
            newest_held_by_others: Vec::new(),
            last_actions: SortedMap::default(),
        }
    }

    /// Applies an announcement read at `now_ms`: `holder` acts on `subjects`, and other holders still hold `others`.
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

    /// The author of the newest announcement.
    pub fn newest_holder(&self) -> Option<&Arc<str>> {
        self.newest_holder.as_ref()
    }

    /// Whether `holder` may act on a subject at `now_ms`.
    pub fn may_act(&self, holder: &str, subject: &str, now_ms: u64) -> bool {
        let has_passed = |seen_at_ms: u64| now_ms >= seen_at_ms + self.takeover_delay_ms;
        match self.last_actions.get(subject) {
            Some(last) => &*last.holder == holder || has_passed(last.seen_at_ms),
            // No announcement for this subject is known. The author of the newest announcement relies on the subjects
            // that it listed there, also after a restart; any other daemon may have missed an earlier action.
            None => {
                let is_own = self.newest_holder.as_deref() == Some(holder);
                let is_held_by_others = self
                    .newest_held_by_others
                    .iter()
                    .any(|other| **other == *subject);
                (is_own && !is_held_by_others) || has_passed(self.opened_at_ms)
            }
        }
    }

    /// The subjects that `holder` may not act on at `now_ms`, sorted, for its next announcement.
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

    /// Clears the table after announcements were missed, as if opened at `now_ms`.
    pub fn reset(&mut self, now_ms: u64) {
        *self = Self::open(now_ms, self.takeover_delay_ms);
    }
}
