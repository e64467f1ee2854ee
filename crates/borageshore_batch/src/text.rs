//! The text of an item, assembled from the events of one or more runs.

use bytes::Bytes;

/// Why an event cannot be appended to a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextError {
    /// Events between the end of the text and this one are missing.
    Gap,
    /// The version of the weights that generated the event is unknown.
    NoVersion,
}

/// The events of a text generated so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Text {
    events: Vec<Bytes>,
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
        self.events.extend(events.into_iter().skip(known));
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

    /// The data of all events, separated by line feeds.
    pub fn output(&self) -> String {
        let text = |event| String::from_utf8_lossy(event);
        let parts: Vec<_> = self.events.iter().map(|event| text(event)).collect();
        parts.join("\n")
    }
}
