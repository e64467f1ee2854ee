//! Which entry of each endpoint holds, as entries come from writers that may be late or strangers.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// The ids whose last start is remembered after their entry is gone: some days of 4,400 restarts.
const MAX_REMEMBERED_STARTS: usize = 20_000;

/// What an endpoint's entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryEffect {
    /// It holds from now on; an earlier one of the same incarnation may have held.
    Accepted,
    /// It holds, and the endpoint has started again since the entry before.
    Restarted,
    /// It is of an earlier incarnation than one that was heard of, and changes nothing.
    Stale,
    /// It names no start, though the endpoint has named one: another writer's.
    Foreign,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct CurrentEntry<Entry> {
    started_at_ms: Option<u64>,
    entry: Entry,
}

/// The entries of endpoints by id.
///
/// Guards against two kinds of entry. A late one, written before the endpoint started again under its id:
/// requests would go by the load and the weights of an incarnation that is gone. And one that another
/// writer left, which cannot be read or lacks fields: the endpoint would get calls at an address that
/// nobody vouches for. From that moment the id names no endpoint, whatever it named before.
#[derive(Debug)]
pub struct EndpointRegistry<Entry> {
    current: SortedMap<Arc<str>, CurrentEntry<Entry>>,
    /// The newest start of each endpoint; one that never named any has none.
    starts: SortedMap<Arc<str>, u64>,
    /// The ids whose newest entry is a foreign one.
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
    /// Takes over an entry that was read; `started_at_ms` is when the endpoint says it started.
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

    /// Takes over an entry that names no endpoint; says whether that is news.
    pub fn on_foreign(&mut self, id: &Arc<str>) -> bool {
        let is_new = self.foreign.insert(id.clone(), ()).is_none();
        self.current.remove(id).is_some() || is_new
    }

    /// Takes an entry out; says whether there was one.
    pub fn remove(&mut self, id: &Arc<str>) -> bool {
        self.foreign.remove(id);
        self.current.remove(id).is_some()
    }

    /// The entry that holds for an id.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.current.get(id).map(|current| &current.entry)
    }

    /// The ids with an entry that holds.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.current.keys()
    }

    /// The entries that hold, by id.
    pub fn values(&self) -> impl Iterator<Item = &Entry> {
        self.current.values().map(|current| &current.entry)
    }

    /// Says whether no entry holds.
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
