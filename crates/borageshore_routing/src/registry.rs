//! The registry of endpoints, which ignores entries of earlier instances and of other writers.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// How many start times are kept, also after the entry of an id is removed. Sized for several days at 4,400
/// restarts a day.
const MAX_REMEMBERED_STARTS: usize = 20_000;

/// The effect of an entry on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryEffect {
    /// It is the current entry now, as the first one or in place of one of the same instance.
    Accepted,
    /// It is the current entry now, and the endpoint has restarted since the previous one.
    Restarted,
    /// It belongs to an earlier instance than a known one and is ignored.
    Stale,
    /// It has no start time although earlier entries of the endpoint had one, so another writer wrote it. It
    /// is ignored.
    Foreign,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct CurrentEntry<Entry> {
    started_at_ms: Option<u64>,
    entry: Entry,
}

/// The current entries of endpoints, by id.
///
/// Guards against two kinds of entries: a late one, written before the endpoint restarted under its id, whose
/// load and weights are outdated; and one of another writer, unreadable or incomplete, whose address cannot
/// be trusted. The id of the latter has no entry until a valid one arrives.
#[derive(Debug)]
pub struct EndpointRegistry<Entry> {
    current: SortedMap<Arc<str>, CurrentEntry<Entry>>,
    /// The newest start time of each endpoint that reports one.
    starts: SortedMap<Arc<str>, u64>,
    /// The ids whose newest entry was written by another writer.
    foreign: SortedMap<Arc<str>, ()>,
}

impl<Entry> Default for EndpointRegistry<Entry> {
    fn default() -> Self {
        Self {
            current: SortedMap::default(),
            starts: SortedMap::default(),
            foreign: SortedMap::default(),
        }
    }
}

impl<Entry> EndpointRegistry<Entry> {
    /// Applies an entry; `started_at_ms` is the start time that the endpoint reports.
    pub fn on_entry(
        &mut self,
        id: &Arc<str>,
        started_at_ms: Option<u64>,
        entry: Entry,
    ) -> EntryEffect {
        let newest_start = self.starts.get(id).copied();
        if newest_start.is_some() && started_at_ms.is_none() {
            return EntryEffect::Foreign;
        }
        if started_at_ms < newest_start {
            return EntryEffect::Stale;
        }
        if let Some(started_at_ms) = started_at_ms {
            self.record_start(id, started_at_ms);
        }
        self.foreign.remove(id);
        let before = self.current.insert(
            id.clone(),
            CurrentEntry {
                started_at_ms,
                entry,
            },
        );
        match before {
            Some(before) if before.started_at_ms != started_at_ms => EntryEffect::Restarted,
            _ => EntryEffect::Accepted,
        }
    }

    /// Removes the current entry of an id whose newest entry is invalid or another writer's; returns whether
    /// this changed anything.
    pub fn on_foreign(&mut self, id: &Arc<str>) -> bool {
        let is_new = self.foreign.insert(id.clone(), ()).is_none();
        self.current.remove(id).is_some() || is_new
    }

    /// Removes an entry; returns whether there was one.
    pub fn remove(&mut self, id: &Arc<str>) -> bool {
        self.foreign.remove(id);
        self.current.remove(id).is_some()
    }

    /// The current entry of an id.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.current.get(id).map(|current| &current.entry)
    }

    /// The ids that have a current entry.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.current.keys()
    }

    /// The current entries, by id.
    pub fn values(&self) -> impl Iterator<Item = &Entry> {
        self.current.values().map(|current| &current.entry)
    }

    /// Returns whether there is no current entry.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    fn record_start(&mut self, id: &Arc<str>, started_at_ms: u64) {
        self.starts.insert(id.clone(), started_at_ms);
        if self.starts.len() > MAX_REMEMBERED_STARTS {
            let oldest = self.starts.iter().min_by_key(|(_, start)| **start);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.starts.remove(&oldest);
            }
        }
    }
}
