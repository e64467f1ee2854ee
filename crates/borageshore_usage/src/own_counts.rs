//! The counts of this daemon.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::{Counts, window::Window};

#[derive(Debug, Default)]
struct WindowCounts {
    counts: Counts,
    is_dirty: bool,
}

/// The requests that one daemon incarnation sent, by window.
#[derive(Debug, Default)]
pub struct OwnCounts {
    windows: SortedMap<Window, WindowCounts>,
}

impl OwnCounts {
    /// Adds `count` requests of an organisation.
    pub fn add(&mut self, window: Window, organisation: &Arc<str>, count: u64) {
        let entry = self
            .windows
            .get_or_insert_with(window, WindowCounts::default);
        *entry.counts.get_or_insert_with(organisation.clone(), || 0) += count;
        entry.is_dirty = true;
    }

    /// Whether any window has counts that are not published yet.
    pub fn is_dirty(&self) -> bool {
        self.windows.values().any(|entry| entry.is_dirty)
    }

    /// Returns the totals of all windows that changed since the last call and marks them as published.
    pub fn take_dirty(&mut self) -> Vec<(Window, Counts)> {
        let mut dirty = Vec::new();
        for (window, entry) in self.windows.iter_mut() {
            if std::mem::take(&mut entry.is_dirty) {
                dirty.push((*window, entry.counts.clone()));
            }
        }
        dirty
    }

    /// Marks windows as unpublished again after a failed write; expired windows are ignored.
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

    /// Removes the windows before `first`.
    pub fn expire_before(&mut self, first: Window) {
        self.windows.retain(|window, _| *window >= first);
    }
}
