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
