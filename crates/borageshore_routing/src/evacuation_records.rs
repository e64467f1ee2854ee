//! The operator's records of evacuations, of which the newest one of each zone counts.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// How many zones are remembered; ends of evacuations are forgotten first, the oldest one before others.
const MAX_ZONES: usize = 256;

/// What the newest known record of a zone says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ZoneRecord {
    offset: u64,
    is_evacuated: bool,
}

/// The newest record of each zone, by offset.
///
/// Records may come again after newer ones, and some may be missing: after a gap, the newest record of each key comes,
/// and a removed key is not among them.
#[derive(Debug, Clone, Default)]
pub struct EvacuationRecords {
    zones: SortedMap<Arc<str>, ZoneRecord>,
    /// The zones with a record since the last gap, until all newest records are loaded; sorted.
    loaded: Option<Vec<Arc<str>>>,
}

impl EvacuationRecords {
    /// Applies a record of a zone; returns whether it starts or ends the zone's evacuation.
    pub fn on_record(&mut self, zone: &Arc<str>, offset: u64, is_evacuated: bool) -> bool {
        if let Some(loaded) = &mut self.loaded
            && let Err(at) = loaded.binary_search(zone)
        {
            loaded.insert(at, zone.clone());
        }
        let known = self.zones.get(zone).copied();
        if known.is_some_and(|known| known.offset >= offset) {
            return false;
        }
        let record = ZoneRecord {
            offset,
            is_evacuated,
        };
        self.zones.insert(zone.clone(), record);
        self.forget_oldest_end();
        known.is_some_and(|known| known.is_evacuated) != is_evacuated
    }

    /// Notes that records may have been missed. Evacuations stand until [`Self::on_loaded`].
    pub fn on_gap(&mut self) {
        self.loaded = Some(Vec::new());
    }

    /// Notes that the newest record of each key up to `next_offset` has been applied; returns the zones whose evacuation
    /// ended in a gap, as they have no record any more.
    ///
    /// Records at `next_offset` and beyond are newer than what was loaded, which can be stale, and still count.
    pub fn on_loaded(&mut self, next_offset: u64) -> Vec<Arc<str>> {
        let Some(loaded) = self.loaded.take() else {
            return Vec::new();
        };
        let mut ended = Vec::new();
        for (zone, record) in self.zones.iter_mut() {
            let is_missing = loaded.binary_search(zone).is_err();
            if record.is_evacuated && is_missing && record.offset < next_offset {
                *record = ZoneRecord {
                    offset: next_offset - 1,
                    is_evacuated: false,
                };
                ended.push(zone.clone());
            }
        }
        ended
    }

    /// The number of zones that are remembered.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    fn forget_oldest_end(&mut self) {
        if self.zones.len() <= MAX_ZONES {
            return;
        }
        let ends = self.zones.iter().filter(|(_, record)| !record.is_evacuated);
        let oldest = ends.min_by_key(|(_, record)| record.offset);
        if let Some(zone) = oldest.map(|(zone, _)| zone.clone()) {
            self.zones.remove(&zone);
        }
    }
}
