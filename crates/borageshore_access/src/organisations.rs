//! The organisations that the operator configured, by key.

use std::sync::Arc;

use borageshore_topology::Residency;

use crate::key::KeyDigest;

/// A tenant, which callers belong to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// The name that the operator configured.
    pub name: Arc<str>,
    /// The priority of its requests, 0 first; overrides the priority of a route.
    pub priority: Option<u64>,
    /// The regions in which its requests may be served, cached and stored.
    pub residency: Residency,
}

/// The current organisations, by key digest and by name.
#[derive(Debug, Clone, Default)]
pub struct Organisations {
    by_key: Vec<(KeyDigest, Arc<Organisation>)>,
    by_name: Vec<Arc<Organisation>>,
}

impl Organisations {
    /// Builds the table. A key that several organisations have is dropped, because its owner would be ambiguous.
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
        table.remove_shared_keys();
        table
            .by_name
            .sort_by(|one, other| one.name.cmp(&other.name));
        table
    }

    fn remove_shared_keys(&mut self) {
        let keys: Vec<KeyDigest> = self.by_key.iter().map(|(key, _)| *key).collect();
        let is_shared = |key: &KeyDigest| {
            let from = keys.partition_point(|known| known < key);
            keys.get(from + 1) == Some(key)
        };
        self.by_key.retain(|(key, _)| !is_shared(key));
    }

    /// Whether any organisation is configured; if not, callers need no key.
    pub fn are_configured(&self) -> bool {
        !self.by_name.is_empty()
    }

    /// The organisation that a key belongs to.
    pub fn owner_of(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        let index = self.by_key.binary_search_by_key(key, |(known, _)| *known);
        index.ok().map(|index| &self.by_key[index].1)
    }

    /// All organisations, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.iter()
    }

    /// Looks up an organisation by name.
    pub fn named(&self, name: &str) -> Option<&Arc<Organisation>> {
        let index = self
            .by_name
            .binary_search_by(|known| (*known.name).cmp(name));
        index.ok().map(|index| &self.by_name[index])
    }
}
