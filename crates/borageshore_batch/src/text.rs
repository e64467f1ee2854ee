//! The text of an item, assembled from the events of one or more runs.

use bytes::Bytes;

/// The maximum size of a text in a stored result, which has to fit into one append to the store.
const MAX_ENCODED_BYTES: usize = 1_000_000;

/// Why an event cannot be appended to a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextError {
    /// Events between the end of the text and this one are missing.
    Gap,
    /// The version of the weights that generated the event is unknown.
    NoVersion,
    /// The text would not fit into a result.
    TooLong,
}

/// The events of a text generated so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Text {
    events: Vec<Bytes>,
    /// The size of the events as JSON.
    encoded_bytes: usize,
    versions: Vec<u64>,
    is_complete: bool,
}

impl Text {
    /// Appends an event, given its number and the version that generated it. An event that the text already has is
    /// ignored: a resumed run may repeat the one at which it was interrupted.
    pub fn push(&mut self, id: u64, data: Bytes, version: Option<u64>) -> Result<(), TextError> {
        if id <= self.last_event() {
            return Ok(());
        }
        if id != self.last_event() + 1 {
            return Err(TextError::Gap);
        }
        let version = version.ok_or(TextError::NoVersion)?;
        let encoded_bytes = self.encoded_bytes + encoded_bytes(&data);
        if encoded_bytes > MAX_ENCODED_BYTES {
            return Err(TextError::TooLong);
        }
        self.encoded_bytes = encoded_bytes;
        self.events.push(data);
        if let Err(at) = self.versions.binary_search(&version) {
            self.versions.insert(at, version);
        }
        Ok(())
    }

    /// Appends stored events of the same run and the versions that generated any of them. Events that the text already
    /// has are skipped; if there is a gap before `first_event`, nothing is appended.
    pub fn extend<Events>(&mut self, first_event: u64, events: Events, versions: &[u64])
    where
        Events: IntoIterator<Item = Bytes>,
    {
        let last_event = self.last_event();
        if first_event == 0 || first_event > last_event + 1 {
            return;
        }
        let known = (last_event + 1 - first_event) as usize;
        for event in events.into_iter().skip(known) {
            self.encoded_bytes += encoded_bytes(&event);
            self.events.push(event);
        }
        if self.last_event() > last_event {
            self.versions.extend_from_slice(versions);
            self.versions.sort_unstable();
            self.versions.dedup();
        }
    }

    /// The data of each event.
    pub fn events(&self) -> &[Bytes] {
        &self.events
    }

    /// Marks the text as complete.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns whether the text is complete.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether the text has no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// The number of the last event, counted from 1; 0 if there is none.
    pub fn last_event(&self) -> u64 {
        self.events.len() as u64
    }

    /// The versions of the weights that generated any event, ascending.
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// About the memory that the text takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        let events_bytes: usize = self.events.iter().map(Bytes::len).sum();
        size_of::<Self>() + size_of_val(&*self.events) + events_bytes
    }

    /// The data of all events, separated by line feeds.
    pub fn output(&self) -> String {
        let text = |event| String::from_utf8_lossy(event);
        let parts: Vec<_> = self.events.iter().map(|event| text(event)).collect();
        parts.join("\n")
    }
}

/// The size of an event in a JSON string, with the line feed that separates it from the next one.
fn encoded_bytes(event: &[u8]) -> usize {
    let escaped_line_feed_bytes = 2;
    let sizes = String::from_utf8_lossy(event);
    let sizes = sizes.chars().map(|char| match char {
        '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
        char if char < ' ' => 6,
        char => char.len_utf8(),
    });
    sizes.sum::<usize>() + escaped_line_feed_bytes
}
