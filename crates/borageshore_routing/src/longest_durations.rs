//! How long the requests of each route have taken of late at most.

use std::{mem, sync::Arc};

use borageshore_base::SortedMap;

/// A duration counts for one to two of these.
const PERIOD_MS: u64 = 30_000;

/// The longest durations of a route.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Longest {
    this_period_ms: u64,
    last_period_ms: u64,
}

/// The longest recent durations of requests, by route.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LongestDurations {
    routes: SortedMap<Arc<str>, Longest>,
    period: u64,
}

impl LongestDurations {
    /// Records a request that has ended.
    pub fn record(&mut self, route: &Arc<str>, took_ms: u64, now_ms: u64) {
        self.enter_period(now_ms / PERIOD_MS);
        let longest = self
            .routes
            .get_or_insert_with(route.clone(), Longest::default);
        longest.this_period_ms = longest.this_period_ms.max(took_ms);
    }

    /// The longest recent duration; `None` if no request of the route has ended of late.
    pub fn longest_ms(&self, route: &str, now_ms: u64) -> Option<u64> {
        let longest = self.routes.get(route)?;
        match now_ms / PERIOD_MS - self.period {
            0 => Some(longest.this_period_ms.max(longest.last_period_ms)),
            1 => Some(longest.this_period_ms),
            _ => None,
        }
    }

    fn enter_period(&mut self, period: u64) {
        match period - self.period {
            0 => return,
            1 => {}
            _ => self.routes.retain(|_, _| false),
        }
        self.period = period;
        self.routes.retain(|_, longest| {
            longest.last_period_ms = mem::take(&mut longest.this_period_ms);
            longest.last_period_ms > 0
        });
    }
}
