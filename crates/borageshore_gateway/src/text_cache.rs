//! Texts that were cut off unfinished, for the next submission that asks for the same item.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_batch::Text;

/// The most items whose texts are kept: those of two steps of three trainers. A text has 9 kB in the mean.
const MAX_ITEMS: usize = 1_000;

/// What is kept of an item.
#[derive(Debug)]
struct CachedItem {
    /// Items in the order in which they were last kept.
    sequence: u64,
    /// Texts of different runs, which may have been made under different versions.
    texts: Vec<Text>,
}

/// Texts by item.
///
/// A trainer ends a step when enough groups are complete and sends the other groups again with a
/// later step. What was made of their texts goes on then instead of beginning anew.
#[derive(Debug)]
pub(crate) struct TextCache {
    items: RefCell<SortedMap<Arc<str>, CachedItem>>,
    last_sequence: RefCell<u64>,
    /// Whether texts outlive their run.
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

    /// Takes the longest text of an item that was made under `min_version` or newer ones, empty if there
    /// is none; all others are too old for good.
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

    /// Takes over texts that another daemon, or an earlier life of this one, had under way.
    pub(crate) fn restore(&self, texts: Vec<(Arc<str>, Text)>) {
        for (item, text) in texts {
            self.put(item, text);
        }
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

/// A text that goes back among the kept ones when it is dropped.
#[derive(Debug)]
pub(crate) struct CachedText {
    cache: Rc<TextCache>,
    item: Arc<str>,
    text: Option<Text>,
}

impl CachedText {
    /// The text.
    pub(crate) fn text(&mut self) -> &mut Text {
        self.text.get_or_insert_default()
    }

    /// Takes the text out for good.
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
