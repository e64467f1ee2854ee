//! The text of an item, joined from the events of one or more runs.

use bytes::Bytes;

/// Why an event does not belong at the end of a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextError {
    /// Events before it are missing.
    Gap,
    /// Nobody said which version of the weights made it.
    NoVersion,
}

/// A text as far as it is made.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Text {
    events: Vec<Bytes>,
    versions: Vec<u64>,
    is_complete: bool,
}

impl Text {
    /// Adds an event with its number and the version that made it. An event that is there already is
    /// left out: a run that goes on may repeat the one that it was cut in.
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

    /// Adds stored events of the run that made this text, and the versions that made any of them. Events
    /// that are there already are left out; after a gap nothing is added.
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

    /// The data of the events so far.
    pub fn events(&self) -> &[Bytes] {
        &self.events
    }

    /// Notes that the last event was made.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Says whether the last event was made.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Says whether nothing was made yet.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// The number of the last event; events count from 1.
    pub fn last_event(&self) -> u64 {
        self.events.len() as u64
    }

    /// The versions that made an event, ascending.
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Says whether every event was made under `min_version` or a newer one.
    pub fn meets_min_version(&self, min_version: u64) -> bool {
        self.versions.iter().all(|version| *version >= min_version)
    }

    /// The data of all events, separated by line feeds.
    pub fn output(&self) -> String {
        let text = |event| String::from_utf8_lossy(event);
        let parts: Vec<_> = self.events.iter().map(|event| text(event)).collect();
        parts.join("\n")
    }
}
