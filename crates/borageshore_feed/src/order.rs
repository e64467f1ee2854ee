//! The order in which a daemon loads what it reads from the log.

/// A topic holds no other one up once this many reads of it have failed in a row.
const FAILING_AFTER: u32 = 3;

/// How far a daemon has loaded a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// It has all of it.
    Whole,
    /// Parts of it are missing.
    Loading,
    /// Parts of it are missing, and several reads of it failed.
    Failing,
}

impl LoadState {
    /// The state of a topic of which all records are there or not, and the last `failures` reads failed.
    pub fn of(is_whole: bool, failures: u32) -> Self {
        match is_whole {
            true => LoadState::Whole,
            false if failures >= FAILING_AFTER => LoadState::Failing,
            false => LoadState::Loading,
        }
    }
}

/// Whether a topic may be loaded now, by the states of those that are loaded before it.
///
/// Guards against readers that load all topics at once after a stop of all daemons: none of them has the first one, which
/// all others wait for, before it has nearly all of them. A topic that cannot be read holds no other one up.
pub fn may_load<States>(earlier: States) -> bool
where
    States: IntoIterator<Item = LoadState>,
{
    let mut earlier = earlier.into_iter();
    earlier.all(|state| state != LoadState::Loading)
}
