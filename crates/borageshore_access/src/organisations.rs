//! The organisations that the operator names, by their keys.

use std::sync::Arc;

use crate::key::KeyDigest;

/// Who callers belong to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, 0 first; goes before the rank of a route.
    pub priority: Option<u64>,
}

/// The organisations in force, by the digests of their keys.
#[derive(Debug, Clone, Default)]
pub struct Organisations {
    by_key: Vec<(KeyDigest, Arc<Organisation>)>,
    by_name: Vec<Arc<Organisation>>,
}

impl Organisations {
    /// Builds the table. A key that two organisations have belongs to neither: which of them asks cannot be told.
    pub fn open(organisations: Vec<(Organisation, Vec<KeyDigest>)>) -> Self {
        let mut table = Self::default();
        for (organisation, keys) in organisations {
            let organisation = Arc::new(organisation);
            let owned = keys.into_iter().map(|key| (key, organisation.clone()));
            table.by_key.extend(owned);
            table.by_name.push(organisation);
        }
        table.by_key.sort_by_key(|(key, _)| *key);
        table.by_key.dedup_by(|one, other| *one == *other);
        table.drop_shared_keys();
        table
            .by_name
            .sort_by(|one, other| one.name.cmp(&other.name));
        table
    }

    fn drop_shared_keys(&mut self) {
        let keys: Vec<KeyDigest> = self.by_key.iter().map(|(key, _)| *key).collect();
        let is_shared = |key: &KeyDigest| {
            let from = keys.partition_point(|known| known < key);
            keys.get(from + 1) == Some(key)
        };
        self.by_key.retain(|(key, _)| !is_shared(key));
    }

    /// Says whether the operator names any; without, callers need no key.
    pub fn are_configured(&self) -> bool {
        !self.by_name.is_empty()
    }

    /// The organisation that holds a key.
    pub fn owner_of(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        let index = self.by_key.binary_search_by_key(key, |(known, _)| *known);
        index.ok().map(|index| &self.by_key[index].1)
    }

    /// An organisation by its name.
    pub fn named(&self, name: &str) -> Option<&Arc<Organisation>> {
        let index = self
            .by_name
            .binary_search_by(|known| (*known.name).cmp(name));
        index.ok().map(|index| &self.by_name[index])
    }
}
