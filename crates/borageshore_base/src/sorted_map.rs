//! A map in sorted vectors.

use std::borrow::Borrow;

use serde::{Deserialize, Serialize, Serializer, ser::SerializeStruct};

/// The maximum number of entries in a chunk, which bounds what an insert moves.
const MAX_CHUNK_LEN: usize = 256;

/// A map over sorted vectors with binary search.
///
/// The entries are in chunks of bounded length, so that filling a map does not take time quadratic in its size. Lookups
/// are `O(log n)`. Iteration is in key order, so maps with equal entries serialize to the same bytes.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "Entries<Key, Value>")]
pub struct SortedMap<Key, Value> {
    /// Each chunk has entries, and all keys of a chunk are less than those of the next one.
    chunks: Vec<Vec<(Key, Value)>>,
    len: usize,
}

/// The serialized form.
#[derive(Debug, Deserialize)]
struct Entries<Key, Value> {
    entries: Vec<(Key, Value)>,
}

impl<Key, Value> From<Entries<Key, Value>> for SortedMap<Key, Value> {
    fn from(serialized: Entries<Key, Value>) -> Self {
        let len = serialized.entries.len();
        let mut chunks: Vec<Vec<(Key, Value)>> = Vec::new();
        for entry in serialized.entries {
            match chunks.last_mut() {
                Some(chunk) if chunk.len() < MAX_CHUNK_LEN => chunk.push(entry),
                _ => chunks.push(vec![entry]),
            }
        }
        Self { chunks, len }
    }
}

/// Serializes entries as a sequence of pairs.
struct Pairs<'m, Key, Value>(&'m SortedMap<Key, Value>);

impl<Key, Value> Serialize for Pairs<'_, Key, Value>
where
    Key: Serialize,
    Value: Serialize,
{
    fn serialize<Format>(&self, serializer: Format) -> Result<Format::Ok, Format::Error>
    where
        Format: Serializer,
    {
        serializer.collect_seq(self.0.chunks.iter().flatten())
    }
}

impl<Key, Value> Serialize for SortedMap<Key, Value>
where
    Key: Serialize,
    Value: Serialize,
{
    fn serialize<Format>(&self, serializer: Format) -> Result<Format::Ok, Format::Error>
    where
        Format: Serializer,
    {
        let mut fields = serializer.serialize_struct("SortedMap", 1)?;
        fields.serialize_field("entries", &Pairs(self))?;
        fields.end()
    }
}

impl<Key, Value> Default for SortedMap<Key, Value> {
    fn default() -> Self {
        Self {
            chunks: Vec::new(),
            len: 0,
        }
    }
}

impl<Key, Value> PartialEq for SortedMap<Key, Value>
where
    Key: PartialEq,
    Value: PartialEq,
{
    fn eq(&self, other: &Self) -> bool {
        let entries = self.chunks.iter().flatten();
        entries.eq(other.chunks.iter().flatten())
    }
}

impl<Key, Value> Eq for SortedMap<Key, Value>
where
    Key: Eq,
    Value: Eq,
{
}

/// Where an entry is: its chunk, and its index there.
type Position = (usize, usize);

impl<Key, Value> SortedMap<Key, Value>
where
    Key: Ord,
{
    fn position<Query>(&self, key: &Query) -> Result<Position, Position>
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        let is_before = |chunk: &Vec<(Key, Value)>| {
            let last = chunk.last();
            last.is_some_and(|(last, _)| last.borrow() < key)
        };
        let chunk = self.chunks.partition_point(is_before);
        match self.chunks.get(chunk) {
            Some(entries) => entries
                .binary_search_by(|(k, _)| k.borrow().cmp(key))
                .map(|at| (chunk, at))
                .map_err(|at| (chunk, at)),
            // A key behind all others goes to the end of the last chunk.
            None => {
                let last = self.chunks.len().saturating_sub(1);
                Err((last, self.chunks.last().map_or(0, Vec::len)))
            }
        }
    }

    fn entry_at(&mut self, (chunk, at): Position) -> &mut Value {
        &mut self.chunks[chunk][at].1
    }

    fn insert_at(&mut self, (chunk, at): Position, entry: (Key, Value)) -> Position {
        self.len += 1;
        if self.chunks.is_empty() {
            self.chunks.push(Vec::new());
        }
        let entries = &mut self.chunks[chunk];
        entries.insert(at, entry);
        if entries.len() <= MAX_CHUNK_LEN {
            return (chunk, at);
        }
        let half = entries.len() / 2;
        let upper = entries.split_off(half);
        self.chunks.insert(chunk + 1, upper);
        if at < half {
            (chunk, at)
        } else {
            (chunk + 1, at - half)
        }
    }

    /// Returns the value of `key`.
    pub fn get<Query>(&self, key: &Query) -> Option<&Value>
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        let (chunk, at) = self.position(key).ok()?;
        Some(&self.chunks[chunk][at].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut<Query>(&mut self, key: &Query) -> Option<&mut Value>
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        let position = self.position(key).ok()?;
        Some(self.entry_at(position))
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
            Ok(position) => Some(std::mem::replace(self.entry_at(position), value)),
            Err(position) => {
                self.insert_at(position, (key, value));
                None
            }
        }
    }

    /// Returns the value of `key`, inserting `make()` first if there is none.
    pub fn get_or_insert_with<Make>(&mut self, key: Key, make: Make) -> &mut Value
    where
        Make: FnOnce() -> Value,
    {
        let position = match self.position(&key) {
            Ok(position) => position,
            Err(position) => self.insert_at(position, (key, make())),
        };
        self.entry_at(position)
    }

    /// Removes `key` and returns its value.
    pub fn remove<Query>(&mut self, key: &Query) -> Option<Value>
    where
        Key: Borrow<Query>,
        Query: Ord + ?Sized,
    {
        let (chunk, at) = self.position(key).ok()?;
        let (_, value) = self.chunks[chunk].remove(at);
        self.len -= 1;
        if self.chunks[chunk].is_empty() {
            self.chunks.remove(chunk);
        }
        Some(value)
    }

    /// Keeps the entries for which `keep` holds.
    pub fn retain<Keep>(&mut self, mut keep: Keep)
    where
        Keep: FnMut(&Key, &mut Value) -> bool,
    {
        for chunk in &mut self.chunks {
            chunk.retain_mut(|(k, v)| keep(k, v));
        }
        self.chunks.retain(|chunk| !chunk.is_empty());
        self.len = self.chunks.iter().map(Vec::len).sum();
    }

    /// Iterates in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&Key, &Value)> {
        self.chunks.iter().flatten().map(|(k, v)| (k, v))
    }

    /// Iterates in key order with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&Key, &mut Value)> {
        self.chunks.iter_mut().flatten().map(|(k, v)| (&*k, v))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &Key> {
        self.chunks.iter().flatten().map(|(k, _)| k)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &Value> {
        self.chunks.iter().flatten().map(|(_, v)| v)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
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
