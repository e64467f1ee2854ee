//! Fixed-length time windows.

/// The number of a window, counted from the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Window(pub u64);

impl Window {
    /// The window that contains `unix_ms`.
    pub fn at(unix_ms: u64, window_ms: u64) -> Self {
        Self(unix_ms / window_ms.max(1))
    }

    /// The exclusive end of the window, in Unix milliseconds.
    pub fn end_ms(self, window_ms: u64) -> u64 {
        (self.0 + 1) * window_ms
    }
}
