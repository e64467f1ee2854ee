//! A cache of unfinished texts, so that a later submission of the same item resumes them.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_batch::Text;

/// The maximum number of cached items: those of two steps of three trainers, with about 9 kB of text each.
const MAX_ITEMS: usize = 1_000;

/// The cached texts of an item.
#[derive(Debug)]
struct CachedItem {
    /// Increases with each insertion; the item with the lowest number is evicted first.
    sequence: u64,
    /// Texts of different runs, which may have been generated under different versions.
    texts: Vec<Text>,
}

/// Unfinished texts by item.
///
/// A trainer ends a step when enough groups are complete and submits the other groups again in a later step. Their
/// texts then continue from the cache instead of restarting.
#[derive(Debug)]
pub(crate) struct TextCache {
    items: RefCell<SortedMap<Arc<str>, CachedItem>>,
    last_sequence: RefCell<u64>,
    /// Whether texts are cached when their run is cancelled.
    is_enabled: bool,
}

impl TextCache {
    pub(crate) fn open(is_enabled: bool) -> Self {
        Self {
            items: RefCell::default(),
            last_sequence: RefCell::default(),
            is_enabled,
        }
    }

    /// Takes the longest text of an item that was generated under `min_version` or newer, or an empty one. The
    /// item's other texts are dropped.
    pub(crate) fn take(self: &Rc<Self>, item: &Arc<str>, min_version: u64) -> CachedText {
        let cached = self.items.borrow_mut().remove(item);
        let texts = cached.into_iter().flat_map(|cached| cached.texts);
        let usable = texts.filter(|text| text.meets_min_version(min_version));
        CachedText {
            cache: self.clone(),
            item: item.clone(),
            text: usable.max_by_key(Text::last_event),
        }
    }

    /// Inserts unfinished texts of another daemon, or of an earlier incarnation of this one.
    pub(crate) fn restore(&self, texts: Vec<(Arc<str>, Text)>) {
        for (item, text) in texts {
            self.put(item, text);
        }
    }

    /// Removes the texts of an item.
    pub(crate) fn remove(&self, item: &str) {
        self.items.borrow_mut().remove(item);
    }

    fn put(&self, item: Arc<str>, text: Text) {
        let mut last_sequence = self.last_sequence.borrow_mut();
        *last_sequence += 1;
        let sequence = *last_sequence;
        let mut items = self.items.borrow_mut();
        let cached = items.get_or_insert_with(item, || CachedItem {
            sequence,
            texts: Vec::new(),
        });
        cached.sequence = sequence;
        cached.texts.push(text);
        if items.len() > MAX_ITEMS {
            let oldest = items.iter().min_by_key(|(_, cached)| cached.sequence);
            let oldest = oldest.map(|(item, _)| item.clone());
            if let Some(oldest) = oldest {
                items.remove(&oldest);
            }
        }
    }
}

/// A text taken from the cache, which returns to it when dropped.
#[derive(Debug)]
pub(crate) struct CachedText {
    cache: Rc<TextCache>,
    item: Arc<str>,
    text: Option<Text>,
}

impl CachedText {
    /// The text, empty if none was cached.
    pub(crate) fn text(&mut self) -> &mut Text {
        self.text.get_or_insert_default()
    }

    /// Returns the text without putting it back into the cache.
    pub(crate) fn remove(mut self) -> Text {
        self.text.take().unwrap_or_default()
    }
}

impl Drop for CachedText {
    fn drop(&mut self) {
        let is_enabled = self.cache.is_enabled;
        if let Some(text) = self
            .text
            .take()
            .filter(|text| is_enabled && !text.is_empty())
        {
            self.cache.put(self.item.clone(), text);
        }
    }
}
