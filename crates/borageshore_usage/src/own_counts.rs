//! What one daemon has counted.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::{Counts, window::Window};

#[derive(Debug, Default)]
struct WindowCounts {
    counts: Counts,
    is_dirty: bool,
}

/// The requests that one life of a daemon sent, by window.
#[derive(Debug, Default)]
pub struct OwnCounts {
    windows: SortedMap<Window, WindowCounts>,
}

impl OwnCounts {
    /// Counts requests of an organisation.
    pub fn add(&mut self, window: Window, organisation: &Arc<str>, count: u64) {
        let entry = self
            .windows
            .get_or_insert_with(window, WindowCounts::default);
        *entry.counts.get_or_insert_with(organisation.clone(), || 0) += count;
        entry.is_dirty = true;
    }

    /// Says whether something is yet to be told.
    pub fn is_dirty(&self) -> bool {
        self.windows.values().any(|entry| entry.is_dirty)
    }

    /// Takes the totals of all windows that have something untold.
    pub fn take_dirty(&mut self) -> Vec<(Window, Counts)> {
        let mut dirty = Vec::new();
        for (window, entry) in self.windows.iter_mut() {
            if std::mem::take(&mut entry.is_dirty) {
                dirty.push((*window, entry.counts.clone()));
            }
        }
        dirty
    }

    /// Notes windows that could not be told.
    pub fn mark_dirty<Windows>(&mut self, windows: Windows)
    where
        Windows: IntoIterator<Item = Window>,
    {
        for window in windows {
            if let Some(entry) = self.windows.get_mut(&window) {
                entry.is_dirty = true;
            }
        }
    }

    /// Forgets windows before one.
    pub fn forget_before(&mut self, first: Window) {
        self.windows.retain(|window, _| *window >= first);
    }
}
