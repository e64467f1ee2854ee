//! A retry budget: retries are limited to a share of the requests.

/// The cost of one retry. A request adds its percentage to the balance, so the unit is a hundredth of a retry.
const RETRY_COST: u64 = 100;
/// Limit of the balance: ten retries.
const MAX_BALANCE: u64 = 10 * RETRY_COST;

/// Allows retries as a share of the requests.
///
/// Guards against a retry storm: with a fixed number of retries for each request, endpoints that fail
/// together would get a multiple of the normal load.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a budget with a full balance.
    pub fn open(percent: u64) -> Self {
        Self {
            percent,
            balance: MAX_BALANCE,
        }
    }

    /// Changes the share of requests that may be retried.
    pub fn set_percent(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Adds the share of one request to the balance.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.percent).min(MAX_BALANCE);
    }

    /// Takes one retry from the balance; returns whether there was one.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
