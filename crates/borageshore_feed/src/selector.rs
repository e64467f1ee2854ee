//! The choice of the source that a daemon reads next.

use std::sync::Arc;

use crate::{
    fallback::Fallback,
    limits::{FallbackBudget, FallbackLoad},
    tree::FeedTree,
};

/// The age from which a view counts as stale, so that another source is tried. A direct reader's view is renewed twice
/// a second, and passing it on takes some ms a level.
pub const STALE_MS: u64 = 1_200;
/// How long a daemon stays with a source that keeps it current, before it returns to its parent.
const REHOME_INTERVAL_MS: u64 = 3_000;
/// After this many failures in a row a daemon also reads from other regions.
const REGION_FAILURES: u64 = 3;
/// A daemon becomes a reader of the log this long after the tree has made it a root.
const ROOT_DELAY_MS: u64 = 2_000;
/// A reader goes on for this long after the tree has another one in its place, which waits `ROOT_DELAY_MS`.
const RELEASE_DELAY_MS: u64 = 3_000;

/// Chooses the source of each read by the results of earlier ones.
///
/// Guards against a source that is dead, frozen, cut off from the log or in a loop with this daemon: all of them show
/// as a view that gets older, and the next read goes elsewhere.
#[derive(Debug, Default)]
pub struct SourceSelector {
    current: Option<Arc<str>>,
    chosen_at_ms: u64,
    failures: u64,
    fallback: Fallback,
    /// Since when the tree has this daemon as a root.
    root_since_ms: Option<u64>,
    /// When a daemon that is no reader any longer stops to read.
    released_at_ms: Option<u64>,
    is_appointed: bool,
}

impl SourceSelector {
    /// Creates a selector at `now_ms`.
    pub fn open(now_ms: u64) -> Self {
        Self {
            fallback: Fallback::open(now_ms),
            ..Self::default()
        }
    }

    /// Notes this daemon's place in the tree, each time that it is computed.
    pub fn on_tree(&mut self, tree: &FeedTree, now_ms: u64) {
        if tree.is_root() {
            self.root_since_ms.get_or_insert(now_ms);
        } else if let Some(since_ms) = self.root_since_ms.take()
            && now_ms >= since_ms + ROOT_DELAY_MS
        {
            self.released_at_ms = Some(now_ms + RELEASE_DELAY_MS);
        }
    }

    /// Makes this daemon a reader of the log until it is dismissed: others expect it to be one.
    pub fn appoint(&mut self) {
        self.is_appointed = true;
    }

    /// Leaves it to the tree whether this daemon is a reader.
    pub fn dismiss(&mut self, now_ms: u64) {
        if std::mem::take(&mut self.is_appointed) {
            self.released_at_ms = Some(now_ms + RELEASE_DELAY_MS);
        }
    }

    /// Whether this daemon reads the log for others, or all daemons read it.
    ///
    /// A new root waits, and one that is a root no longer goes on until its successor reads. Guards against a start at
    /// which each daemon knows a few others, and many count as roots, or for a while none.
    pub fn is_reader(&self, tree: &FeedTree, now_ms: u64) -> bool {
        let is_over = |since_ms: u64| now_ms >= since_ms + ROOT_DELAY_MS;
        tree.is_flat()
            || self.is_appointed
            || self.root_since_ms.is_some_and(is_over)
            || self.released_at_ms.is_some_and(|at_ms| now_ms < at_ms)
    }

    /// Whether this daemon reads the log directly now: as a reader, or because its peers have not kept it current.
    pub fn reads_directly(&self, tree: &FeedTree, now_ms: u64) -> bool {
        self.is_reader(tree, now_ms) || self.fallback.is_due(tree.fallback_turn_ms(), now_ms)
    }

    /// Whether a daemon that does not know the members yet reads them from the log now, because the peers that were
    /// announced bring nothing. `random` is the same with each call.
    pub fn reads_members_directly(&self, budget: FallbackBudget, random: u64, now_ms: u64) -> bool {
        let window_ms = budget.window_ms(FallbackLoad::Members).max(1);
        self.fallback.is_due(random % window_ms, now_ms)
    }

    /// Records a failed read of the log by a daemon that is no reader, which does not read it again before its next turn.
    pub fn on_direct_failure(
        &mut self,
        budget: FallbackBudget,
        load: FallbackLoad,
        random: u64,
        now_ms: u64,
    ) {
        self.fallback.on_failure(budget, load, random, now_ms);
    }

    /// The peer to read from next; `None` if all daemons read the log, and for a reader of the log whose view is current.
    /// `random` varies with each call.
    pub fn choose_peer(&mut self, tree: &FeedTree, random: u64, now_ms: u64) -> Option<Arc<str>> {
        let is_reader = self.is_reader(tree, now_ms);
        if tree.is_flat() || is_reader && now_ms < self.fallback.heard_at_ms() + STALE_MS {
            return None;
        }
        let is_settled = self.failures == 0 && now_ms < self.chosen_at_ms + REHOME_INTERVAL_MS;
        if is_settled && self.current.is_some() {
            return self.current.clone();
        }
        let chosen = match self.failures {
            0 if !is_reader => tree.parent().or(tree.zone_peer(random)),
            failures if failures % 2 == 1 && !is_reader => tree.zone_peer(random),
            // Bytes between regions are billed, but a region may be cut off from the log.
            failures if failures >= REGION_FAILURES => tree.remote_peer(random),
            _ => tree.region_peer(random),
        };
        self.chosen_at_ms = now_ms;
        self.current = chosen.or_else(|| tree.remote_peer(random)).cloned();
        self.current.clone()
    }

    /// The peer that was chosen last.
    pub fn current(&self) -> Option<&Arc<str>> {
        self.current.as_ref()
    }

    /// Records that a source brought new records, or confirmed a view that is not stale.
    pub fn on_progress(&mut self, now_ms: u64) {
        self.failures = 0;
        self.fallback.on_heard(now_ms);
    }

    /// Records that a source is loading what this daemon waits for, and last made progress at `progressed_at_ms`; returns
    /// whether it is worth to wait for.
    ///
    /// Guards against daemons that leave their sources together, as these load the state after a stop of all: what they
    /// ask the log for then would keep the sources from loading it.
    pub fn on_loading(&mut self, progressed_at_ms: u64, now_ms: u64) -> bool {
        let is_loading = self.fallback.on_loading(progressed_at_ms, now_ms);
        if is_loading {
            self.failures = 0;
        }
        is_loading
    }

    /// Records a source that did not answer, or whose view is stale.
    pub fn on_failure(&mut self) {
        self.failures += 1;
    }

    /// The failures since the last progress.
    pub fn failures(&self) -> u64 {
        self.failures
    }
}
