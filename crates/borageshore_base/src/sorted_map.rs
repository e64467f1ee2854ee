//! A map in a sorted vector.

use std::borrow::Borrow;

use serde::{Deserialize, Serialize};

/// A map over a sorted vector with binary search.
///
/// Lookups are `O(log n)`, inserts and removals `O(n)`. Iteration is in key order, so maps with equal
/// entries serialize to the same bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SortedMap<Key, Value> {
    entries: Vec<(Key, Value)>,
}

impl<Key, Value> Default for SortedMap<Key, Value> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<Key, Value> SortedMap<Key, Value>
where
    Key: Ord,
{
    fn position<Query>(&self, key: &Query) -> Result<usize, usize>
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        self.entries.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns the value of `key`.
    pub fn get<Query>(&self, key: &Query) -> Option<&Value>
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        self.position(key).ok().map(|at| &self.entries[at].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut<Query>(&mut self, key: &Query) -> Option<&mut Value>
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        self.position(key).ok().map(|at| &mut self.entries[at].1)
    }

    /// Returns whether `key` is present.
    pub fn contains_key<Query>(&self, key: &Query) -> bool
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        self.position(key).is_ok()
    }

    /// Sets `key` to `value` and returns the value it replaced.
    pub fn insert(&mut self, key: Key, value: Value) -> Option<Value> {
        match self.position(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.entries[at].1, value)),
            Err(at) => {
                self.entries.insert(at, (key, value));
                None
            }
        }
    }

    /// Returns the value of `key`, inserting `make()` first if there is none.
    pub fn get_or_insert_with<Make>(&mut self, key: Key, make: Make) -> &mut Value
    where
        Make: FnOnce() -> Value,
    {
        let at = match self.position(&key) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, (key, make()));
                at
            }
        };
        &mut self.entries[at].1
    }

    /// Removes `key` and returns its value.
    pub fn remove<Query>(&mut self, key: &Query) -> Option<Value>
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        self.position(key).ok().map(|at| self.entries.remove(at).1)
    }

    /// Keeps the entries for which `keep` holds.
    pub fn retain<Keep>(&mut self, mut keep: Keep)
    where
        Keep: FnMut(&Key, &mut Value) -> bool,
    {
        self.entries.retain_mut(|(k, v)| keep(k, v));
    }

    /// Iterates in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&Key, &Value)> {
        self.entries.iter().map(|(k, v)| (k, v))
    }

    /// Iterates in key order with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&Key, &mut Value)> {
        self.entries.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &Key> {
        self.entries.iter().map(|(k, _)| k)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &Value> {
        self.entries.iter().map(|(_, v)| v)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl<Key, Value> FromIterator<(Key, Value)> for SortedMap<Key, Value>
where
    Key: Ord,
{
    fn from_iter<Entries>(entries: Entries) -> Self
    where
        Entries: IntoIterator<Item = (Key, Value)>,
    {
        let mut map = Self::default();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}
