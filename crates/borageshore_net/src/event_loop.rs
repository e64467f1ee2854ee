//! The single-threaded event loop, clocks and deadlines.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use monoio::{LegacyDriver, RuntimeBuilder};

/// The messages after which a loop that receives them pauses.
const MESSAGES_QUANTUM: usize = 64;

/// Runs a future to completion on an epoll event loop.
///
/// Selects monoio's legacy driver explicitly: `monoio::main` and the fusion driver prefer io_uring,
/// which the target machines do not permit.
pub fn run_event_loop<Main>(main: Main) -> Main::Output
where
    Main: Future,
{
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("an epoll instance can be created");
    runtime.block_on(main)
}

/// Suspends the task for a duration.
pub async fn sleep_ms(duration_ms: u64) {
    monoio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Pauses a loop that handles what others send: an operation that completes at once lets no other task run, and the event
/// loop checks no timer while any task can.
#[derive(Debug, Default)]
pub struct ReceivePace {
    received: usize,
}

impl ReceivePace {
    /// Counts a message, and pauses after a number of them.
    pub async fn on_message(&mut self) {
        self.received += 1;
        if self.received.is_multiple_of(MESSAGES_QUANTUM) {
            sleep_ms(1).await;
        }
    }
}

/// Waits for a future; returns `None` if it does not complete within the duration.
pub async fn within_ms<Work>(duration_ms: u64, work: Work) -> Option<Work::Output>
where
    Work: Future,
{
    monoio::time::timeout(Duration::from_millis(duration_ms), work)
        .await
        .ok()
}

/// A monotonic clock that starts at 0; it does not advance while the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the time since the start in microseconds.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

/// The point in time by which a response is needed.
///
/// The remaining time is computed when a request is sent: a duration computed before a wait would let
/// the endpoint work longer than the caller waits.
#[derive(Debug, Clone, Copy)]
pub struct Deadline {
    clock: Clock,
    at_ms: u64,
}

impl Deadline {
    /// Creates a deadline at a time of the clock.
    pub fn at(clock: Clock, at_ms: u64) -> Self {
        Self { clock, at_ms }
    }

    /// Creates a deadline after a duration from now.
    pub fn after(clock: Clock, duration_ms: u64) -> Self {
        Self::at(clock, clock.now_ms().saturating_add(duration_ms))
    }

    /// Returns the time until the deadline, or 0 once it has passed.
    pub fn remaining_ms(self) -> u64 {
        self.at_ms.saturating_sub(self.clock.now_ms())
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(self) -> bool {
        self.remaining_ms() == 0
    }
}

/// Returns the time since the VM was booted, including suspension.
///
/// Leases are checked against this clock, since another process may take them over during a
/// suspension, which the monotonic clock does not count.
pub fn boot_time_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
