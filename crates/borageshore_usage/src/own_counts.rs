//! What one daemon has counted.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::{Counts, window::Window};

#[derive(Debug, Default)]
struct Counted {
    counts: Counts,
    is_dirty: bool,
}

/// The requests that one life of a daemon sent, by window.
#[derive(Debug, Default)]
pub struct OwnCounts {
    windows: SortedMap<Window, Counted>,
}

impl OwnCounts {
    /// Counts requests of an organisation.
    pub fn add(&mut self, window: Window, organisation: &Arc<str>, count: u64) {
        let counted = self.windows.get_or_insert_with(window, Counted::default);
        *counted
            .counts
            .get_or_insert_with(organisation.clone(), || 0) += count;
        counted.is_dirty = true;
    }

    /// Says whether something is yet to be told.
    pub fn is_dirty(&self) -> bool {
        self.windows.values().any(|counted| counted.is_dirty)
    }

    /// Takes the totals of all windows that have something untold.
    pub fn take_dirty(&mut self) -> Vec<(Window, Counts)> {
        let mut untold = Vec::new();
        for (window, counted) in self.windows.iter_mut() {
            if std::mem::take(&mut counted.is_dirty) {
                untold.push((*window, counted.counts.clone()));
            }
        }
        untold
    }

    /// Notes windows that could not be told.
    pub fn mark_dirty<Windows>(&mut self, windows: Windows)
    where
        Windows: IntoIterator<Item = Window>,
    {
        for window in windows {
            if let Some(counted) = self.windows.get_mut(&window) {
                counted.is_dirty = true;
            }
        }
    }

    /// Forgets windows before one.
    pub fn forget_before(&mut self, first: Window) {
        self.windows.retain(|window, _| *window >= first);
    }
}
