//! The subjects that a holder may act on.

use std::sync::Arc;

use borageshore_base::SortedMap;

#[derive(Debug, Clone, PartialEq, Eq)]
struct LastAction {
    holder: Arc<str>,
    seen_at_ms: u64,
}

/// A load of the stored announcements.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Load {
    at_ms: u64,
    /// The author of the newest announcement at that time.
    newest_holder: Option<Arc<str>>,
    /// The subjects that this announcement lists as held by others than its author. Later announcements replace the list,
    /// and do not name what their own authors hold.
    held_by_others: Vec<Arc<str>>,
}

/// The last announced action on each subject.
///
/// Actions of two holders on one subject must be a lease apart. Every action is announced before it is sent, so a
/// daemon that has read all announcements knows each subject that another holder may be about to act on, and a time by
/// which that was announced. A new holder waits only for these subjects and can act on all others at once.
///
/// A load returns only some announcements: newer ones replace others under the same key. A missing one may be as new as
/// the load, so a daemon waits from the load on, however long ago its process started, before it acts on anything.
/// The author of the newest announcement need not wait: that one lists what other holders may be acting on.
#[derive(Debug)]
pub struct DutyLeases {
    takeover_delay_ms: u64,
    /// `None` before the announcements are loaded.
    load: Option<Load>,
    newest_holder: Option<Arc<str>>,
    /// Subjects that the newest announcement lists as held by other holders.
    newest_held_by_others: Vec<Arc<str>>,
    last_actions: SortedMap<Arc<str>, LastAction>,
}

impl DutyLeases {
    /// Creates a table without announcements, which permits no action before [`Self::on_loaded`]; a successor waits for
    /// `takeover_delay_ms`.
    pub fn open(takeover_delay_ms: u64) -> Self {
        Self {
            takeover_delay_ms,
            load: None,
            newest_holder: None,
            newest_held_by_others: Vec::new(),
            last_actions: SortedMap::default(),
        }
    }

    /// Records that the stored announcements were loaded at `now_ms`, after all that the load returned were applied.
    pub fn on_loaded(&mut self, now_ms: u64) {
        self.load = Some(Load {
            at_ms: now_ms,
            newest_holder: self.newest_holder.clone(),
            held_by_others: self.newest_held_by_others.clone(),
        });
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

    /// The number of subjects whose last action is known.
    pub fn known_subjects(&self) -> usize {
        self.last_actions.len()
    }

    /// The author of the newest announcement.
    pub fn newest_holder(&self) -> Option<&Arc<str>> {
        self.newest_holder.as_ref()
    }

    /// Whether `holder` may act on a subject at `now_ms`.
    pub fn may_act(&self, holder: &str, subject: &str, now_ms: u64) -> bool {
        let Some(load) = &self.load else {
            return false;
        };
        let has_passed = |since_ms: u64| now_ms >= since_ms + self.takeover_delay_ms;
        let has_missed_none = load.newest_holder.as_deref() == Some(holder);
        if !has_missed_none && !has_passed(load.at_ms) {
            return false;
        }
        match self.last_actions.get(subject) {
            Some(last) => &*last.holder == holder || has_passed(last.seen_at_ms),
            None => {
                let mut held_by_others = load.held_by_others.iter();
                !held_by_others.any(|held| **held == *subject) || has_passed(load.at_ms)
            }
        }
    }

    /// The subjects that `holder` may not act on at `now_ms`, sorted, for its next announcement.
    pub fn held_by_others(&self, holder: &str, now_ms: u64) -> Vec<Arc<str>> {
        let loaded = self.load.iter().flat_map(|load| &load.held_by_others);
        let known = self.last_actions.keys().chain(loaded);
        let mut subjects: Vec<Arc<str>> = known
            .filter(|subject| !self.may_act(holder, subject, now_ms))
            .cloned()
            .collect();
        subjects.sort_unstable();
        subjects.dedup();
        subjects
    }

    /// Clears the table after announcements were missed; they have to be loaded again.
    pub fn reset(&mut self) {
        *self = Self::open(self.takeover_delay_ms);
    }
}
