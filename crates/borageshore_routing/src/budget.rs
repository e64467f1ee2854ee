//! A budget of retries.

/// What one request earns or a retry costs, in hundredths, so that a percentage is exact.
const RETRY_COST: u64 = 100;
/// The most that can be saved up.
const MAX_BALANCE: u64 = 10 * RETRY_COST;

/// Allows retries as a share of requests.
///
/// Guards against a retry storm: when endpoints fail together, a fixed number of retries a request
/// multiplies the load just when it can least be carried; a share of requests cannot.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    balance: u64,
}

impl RetryBudget {
    /// Opens a budget with a full reserve.
    pub fn open(percent: u64) -> Self {
        Self {
            percent,
            balance: MAX_BALANCE,
        }
    }

    /// Follows a change of settings.
    pub fn set_percent(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Earns a request's share.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.percent).min(MAX_BALANCE);
    }

    /// Spends a retry if there is one.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
