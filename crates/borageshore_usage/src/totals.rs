//! The totals of all daemons.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::{Counts, window::Window};

/// The totals of all daemon incarnations, by window.
///
/// The largest total that an incarnation published for a window counts, so an older total that is stored after a newer
/// one has no effect.
#[derive(Debug, Default)]
pub struct Totals {
    windows: SortedMap<Window, SortedMap<Arc<str>, Counts>>,
}

impl Totals {
    /// Merges the total that a daemon incarnation published for a window.
    pub fn merge(&mut self, window: Window, incarnation: &Arc<str>, counts: &Counts) {
        let incarnations = self.windows.get_or_insert_with(window, SortedMap::default);
        let known = incarnations.get_or_insert_with(incarnation.clone(), Counts::default);
        for (organisation, count) in counts.iter() {
            let largest = known.get_or_insert_with(organisation.clone(), || 0);
            *largest = (*largest).max(*count);
        }
    }

    /// The sum over all daemons for a window.
    pub fn window_total(&self, window: Window) -> Counts {
        let mut all = Counts::default();
        let incarnations = self.windows.get(&window).into_iter();
        for counts in incarnations.flat_map(SortedMap::values) {
            for (organisation, count) in counts.iter() {
                *all.get_or_insert_with(organisation.clone(), || 0) += count;
            }
        }
        all
    }

    /// Removes the windows before `first`.
    pub fn expire_before(&mut self, first: Window) {
        self.windows.retain(|window, _| *window >= first);
    }
}
