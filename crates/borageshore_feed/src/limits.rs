//! How many daemons may read the log directly, by what the log service gives to all of them together.

/// The state that each daemon adds to what a starting daemon loads: its record, and the entries of the endpoints that
/// a deployment has for each daemon.
const STATE_BYTES_PER_DAEMON: u64 = 3_300;
/// All direct readers together may take this long to load the whole state.
const LOAD_TIME_MS: u64 = 1_000;
/// The reads that a direct reader makes while nothing changes: two a second of each of five partitions.
const READS_PER_READER: u64 = 10;
/// The share of the log's read calls that direct readers and their retries may use, in percent.
const READ_SHARE_PERCENT: u64 = 25;
/// The least number of direct readers in a zone, so that the loss of one leaves another.
const MIN_READERS_PER_ZONE: usize = 2;
/// The share of the bytes that the log returns which direct readers may use to load it, in percent.
const LOAD_SHARE_PERCENT: u64 = 80;
/// The same while their reads fail. Less, as one that cannot read a topic begins with the next one after some time.
const RETRY_SHARE_PERCENT: u64 = 60;
/// The share of the bytes and of the read calls that all other daemons may use together, in percent.
const FALLBACK_SHARE_PERCENT: u64 = 20;
/// The state of [`STATE_BYTES_PER_DAEMON`] as the log returns it, in base64.
const LOADED_BYTES_PER_DAEMON: u64 = encoded_bytes(STATE_BYTES_PER_DAEMON as usize);
/// The record of a daemon as the log returns it.
const MEMBER_BYTES_PER_DAEMON: u64 = 600;
/// The log returns at most this much at once.
const MAX_PAGE_BYTES: u64 = 1_000_000;
/// The log returns at most this many records at once.
const MAX_PAGE_RECORDS: u64 = 500;
/// The limit of the doublings of a reader's pause after a failed read.
const MAX_DOUBLINGS: u32 = 4;
/// The partitions that a load reads at the most.
const PARTITIONS: u64 = 5;
/// The least size of a record as the log returns it.
const MIN_RECORD_BYTES: u64 = 100;

/// The size of records of this many bytes as the log returns them while they are loaded.
pub const fn encoded_bytes(bytes: usize) -> u64 {
    bytes as u64 * 4 / 3
}

/// What the log service gives to all daemons together; `None` where no limit is stated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedLimits {
    /// Bytes that all reads may return in a second.
    pub read_bytes_per_s: Option<u64>,
    /// Read calls in a second.
    pub reads_per_s: Option<u64>,
}

impl FeedLimits {
    fn shared_reads_per_s(self) -> Option<u64> {
        Some(self.reads_per_s? * READ_SHARE_PERCENT / 100)
    }

    /// The pause between pages of `page_bytes` while `readers` load the log, so that all of them together stay within
    /// their share of the bytes that it returns.
    pub fn page_interval_ms(self, readers: usize, page_bytes: u64) -> u64 {
        self.shared_interval_ms(readers as u64 * page_bytes, LOAD_SHARE_PERCENT)
    }

    /// The time in which a share of what the log returns is `bytes`.
    fn shared_interval_ms(self, bytes: u64, share_percent: u64) -> u64 {
        let bytes_per_s = self.read_bytes_per_s.map(|rate| rate * share_percent);
        interval_ms(bytes * 100, bytes_per_s)
    }
}

/// The number of daemons that read the log directly, of `daemons` in `zones`.
///
/// As many as can load the whole state within a second. The state grows with the fleet, so all daemons of a
/// small fleet read directly, and the larger a fleet is, the fewer do.
pub fn direct_readers(daemons: usize, zones: usize, limits: FeedLimits) -> usize {
    let state_bytes = (daemons as u64 * STATE_BYTES_PER_DAEMON).max(1);
    let by_bytes = limits
        .read_bytes_per_s
        .map(|bytes_per_s| bytes_per_s * LOAD_TIME_MS / 1_000 / state_bytes);
    let by_calls = limits
        .shared_reads_per_s()
        .map(|reads_per_s| reads_per_s / READS_PER_READER);
    let stated = [by_bytes, by_calls].into_iter().flatten().min();
    let most = stated.map_or(daemons, |readers| readers as usize);
    most.max(zones * MIN_READERS_PER_ZONE).min(daemons)
}

/// The pause between reads, at least `min_ms`: long enough that those of `readers` on `partitions` stay within their share
/// of the log's read calls, so that neither records that come fast nor retries can keep it overloaded.
pub fn read_interval_ms(readers: usize, partitions: usize, limits: FeedLimits, min_ms: u64) -> u64 {
    let reads = (readers * partitions) as u64;
    match limits.shared_reads_per_s() {
        Some(reads_per_s) => min_ms.max(reads * 1_000 / reads_per_s.max(1)),
        None => min_ms,
    }
}

/// The daemons that read the log for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readers {
    /// Their number.
    pub readers: usize,
    /// The number of all daemons.
    pub daemons: usize,
    /// The partitions that each of them reads.
    pub partitions: usize,
    /// What the log gives.
    pub limits: FeedLimits,
}

impl Readers {
    /// The pause before a failed read is repeated, at least `min_ms`. It varies, and doubles with each failure.
    ///
    /// Guards against retries that keep an overload going: the log completes a read that was given up, so each counts as
    /// a page that was returned if the reader `is_loading`.
    pub fn retry_ms(self, min_ms: u64, is_loading: bool, failures: u32, random: u64) -> u64 {
        let state_bytes = self.daemons as u64 * LOADED_BYTES_PER_DAEMON;
        let page_bytes = match is_loading {
            true => state_bytes.min(MAX_PAGE_BYTES),
            false => 0,
        };
        let page_bytes = self.readers as u64 * page_bytes;
        let by_bytes = self
            .limits
            .shared_interval_ms(page_bytes, RETRY_SHARE_PERCENT);
        let pause_ms = read_interval_ms(self.readers, self.partitions, self.limits, min_ms);
        let pause_ms = pause_ms.max(by_bytes) << failures.min(MAX_DOUBLINGS);
        pause_ms / 2 + random % pause_ms.max(1)
    }
}

/// What a daemon that is no reader loads from the log when its peers bring nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FallbackLoad {
    /// The members, which tell who the other peers are.
    Members,
    /// The whole state.
    All,
}

/// The reads of the log that all daemons which are no readers may make together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FallbackBudget {
    /// The daemons that live, or were last known to.
    pub daemons: usize,
    /// What the log gives.
    pub limits: FeedLimits,
}

impl FallbackBudget {
    /// The time over which the daemons spread one load each; 0 where no limit is stated.
    ///
    /// Guards against an overload that keeps itself going: the state grows with the fleet, and so do those that ask for
    /// it, so what they ask for together in a second only stays below what the log gives if this grows with both.
    pub fn window_ms(self, load: FallbackLoad) -> u64 {
        self.daemons as u64 * self.load_interval_ms(load)
    }

    /// The time between the loads of two daemons.
    pub fn load_interval_ms(self, load: FallbackLoad) -> u64 {
        let daemons = self.daemons as u64;
        let load_bytes = match load {
            FallbackLoad::Members => daemons * MEMBER_BYTES_PER_DAEMON,
            FallbackLoad::All => daemons * LOADED_BYTES_PER_DAEMON,
        };
        let pages = PARTITIONS + load_bytes / (MAX_PAGE_RECORDS * MIN_RECORD_BYTES);
        let share = |rate: u64| rate * FALLBACK_SHARE_PERCENT;
        let by_bytes = interval_ms(load_bytes * 100, self.limits.read_bytes_per_s.map(share));
        let by_calls = interval_ms(pages * 100, self.limits.reads_per_s.map(share));
        by_bytes.max(by_calls)
    }
}

/// The time in which a rate gives `amount`, rounded up; 0 without a rate.
fn interval_ms(amount: u64, per_s: Option<u64>) -> u64 {
    per_s.map_or(0, |per_s| (amount * 1_000).div_ceil(per_s.max(1)))
}
