//! The one loop on the one thread of a process.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to its end on an epoll loop.
///
/// The legacy driver is named outright: `monoio::main` and the fusion driver would pick io_uring,
/// which the users' machines do not allow; the crate is built without it as well.
pub fn run_event_loop<Main>(main: Main) -> Main::Output
where
    Main: Future,
{
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("an epoll instance can be made");
    runtime.block_on(main)
}

/// Sleeps.
pub async fn sleep_ms(duration_ms: u64) {
    monoio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Waits for a future for so long at the most.
pub async fn within_ms<Work>(duration_ms: u64, work: Work) -> Option<Work::Output>
where
    Work: Future,
{
    monoio::time::timeout(Duration::from_millis(duration_ms), work)
        .await
        .ok()
}

/// A monotonic clock that starts at 0 with the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The time since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The time since the start, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

/// A point in time by which an answer is wanted.
///
/// Guards the time that is handed on with a request. Taken as a number of milliseconds before a wait, it is
/// too long after it by that wait: a second endpoint, asked 0.55 s later, worked 0.55 s longer than the
/// caller waited. What is left is worked out at the moment of sending instead.
#[derive(Debug, Clone, Copy)]
pub struct Deadline {
    clock: Clock,
    at_ms: u64,
}

impl Deadline {
    /// A time on a clock.
    pub fn at(clock: Clock, at_ms: u64) -> Self {
        Self { clock, at_ms }
    }

    /// So long from now.
    pub fn after(clock: Clock, duration_ms: u64) -> Self {
        Self::at(clock, clock.now_ms() + duration_ms)
    }

    /// The time until then; 0 once it is over.
    pub fn remaining_ms(self) -> u64 {
        self.at_ms.saturating_sub(self.clock.now_ms())
    }

    /// Says whether the time is over.
    pub fn has_passed(self) -> bool {
        self.remaining_ms() == 0
    }
}

/// The time since the VM was started, suspensions included.
///
/// Leases and anything else that others may take over while this process stands still are checked
/// against this clock: the monotonic clock does not count the time for which a VM is suspended.
pub fn boot_time_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
