//! Texts that were cut off unfinished, for the next submission that asks for the same item.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_batch::Text;

/// The most items whose texts are kept: those of two steps of three trainers. A text has 9 kB in the mean.
const KEPT_ITEMS: usize = 1_000;

/// What is kept of an item.
#[derive(Debug)]
struct Kept {
    /// Items in the order in which they were last kept.
    number: u64,
    /// Texts of different runs, which may have been made under different versions.
    texts: Vec<Text>,
}

/// Texts by item.
///
/// A trainer ends a step when enough groups are complete and sends the other groups again with a
/// later step. What was made of their texts goes on then instead of beginning anew.
#[derive(Debug)]
pub(crate) struct Texts {
    kept: RefCell<SortedMap<Arc<str>, Kept>>,
    counter: RefCell<u64>,
    /// Whether texts outlive their run.
    is_on: bool,
}

impl Texts {
    pub(crate) fn open(is_on: bool) -> Self {
        Self {
            kept: RefCell::default(),
            counter: RefCell::default(),
            is_on,
        }
    }

    /// Takes the longest text of an item that was made under `min_version` or newer ones, empty if there
    /// is none; all others are too old for good.
    pub(crate) fn take(self: &Rc<Self>, item: &Arc<str>, min_version: u64) -> KeptText {
        let kept = self.kept.borrow_mut().remove(item);
        let texts = kept.into_iter().flat_map(|kept| kept.texts);
        let fitting = texts.filter(|text| text.meets_min_version(min_version));
        KeptText {
            texts: self.clone(),
            item: item.clone(),
            text: fitting.max_by_key(Text::last_event),
        }
    }

    /// Takes over texts that another daemon, or an earlier life of this one, had under way.
    pub(crate) fn restore(&self, texts: Vec<(Arc<str>, Text)>) {
        for (item, text) in texts {
            self.put(item, text);
        }
    }

    fn put(&self, item: Arc<str>, text: Text) {
        let mut counter = self.counter.borrow_mut();
        *counter += 1;
        let number = *counter;
        let mut kept = self.kept.borrow_mut();
        let of_item = kept.get_or_insert_with(item, || Kept {
            number,
            texts: Vec::new(),
        });
        of_item.number = number;
        of_item.texts.push(text);
        if kept.len() > KEPT_ITEMS {
            let oldest = kept.iter().min_by_key(|(_, kept)| kept.number);
            let oldest = oldest.map(|(item, _)| item.clone());
            if let Some(oldest) = oldest {
                kept.remove(&oldest);
            }
        }
    }
}

/// A text that goes back among the kept ones when it is dropped.
#[derive(Debug)]
pub(crate) struct KeptText {
    texts: Rc<Texts>,
    item: Arc<str>,
    text: Option<Text>,
}

impl KeptText {
    /// The text.
    pub(crate) fn text(&mut self) -> &mut Text {
        self.text.get_or_insert_default()
    }

    /// Takes the text out for good.
    pub(crate) fn discard(mut self) -> Text {
        self.text.take().unwrap_or_default()
    }
}

impl Drop for KeptText {
    fn drop(&mut self) {
        let is_on = self.texts.is_on;
        if let Some(text) = self.text.take().filter(|text| is_on && !text.is_empty()) {
            self.texts.put(self.item.clone(), text);
        }
    }
}
