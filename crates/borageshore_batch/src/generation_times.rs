//! How long the texts of a service take, learned from finished ones.

/// Number of recent samples in a median: about half a step, so that the median follows a change of speed.
const SAMPLES: usize = 64;
/// Shorter texts are no samples: their time is mostly that until the first event, and their length is rounded to
/// whole events.
const MIN_SAMPLE_EVENTS: u64 = 4;
/// Weight of a new sample in the mean, in percent.
const NEW_SAMPLE_WEIGHT_PERCENT: u64 = 5;
/// A text that has outgrown its hint is expected to continue for this share of what it has so far.
const OUTGROWN_SHARE_PERCENT: u64 = 25;

/// A text that one engine generated from start to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedText {
    /// The trainer's estimate of its length in tokens.
    pub hint_tokens: Option<u64>,
    /// Its length in events, each of which holds one or more tokens.
    pub events: u64,
    /// How long it took.
    pub generation_ms: u64,
}

/// The median of the newest samples.
#[derive(Debug, Default)]
struct RecentMedian {
    samples: Vec<u64>,
    next: usize,
    median: Option<u64>,
}

impl RecentMedian {
    fn record(&mut self, sample: u64) {
        if self.samples.len() < SAMPLES {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
            self.next = (self.next + 1) % SAMPLES;
        }
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        self.median = sorted.get(sorted.len() / 2).copied();
    }
}

/// Times of a service's finished texts. Hints count in tokens and streams in events, so the time per token is that per
/// token of the hint: hints are right in the median.
#[derive(Debug, Default)]
pub struct GenerationTimes {
    us_per_token: RecentMedian,
    us_per_event: RecentMedian,
    /// Moving average over all texts, for submissions without any hint.
    mean_text_us: Option<u64>,
}

impl GenerationTimes {
    /// Adds a finished text.
    pub fn record(&mut self, text: FinishedText) {
        let us = text.generation_ms * 1_000;
        let mean = self.mean_text_us.unwrap_or(us);
        let kept = mean * (100 - NEW_SAMPLE_WEIGHT_PERCENT);
        self.mean_text_us = Some((kept + us * NEW_SAMPLE_WEIGHT_PERCENT) / 100);
        if text.events < MIN_SAMPLE_EVENTS {
            return;
        }
        self.us_per_event.record(us / text.events);
        if let Some(tokens) = text.hint_tokens.filter(|tokens| *tokens > 0) {
            self.us_per_token.record(us / tokens);
        }
    }

    /// The expected time to generate the rest of a text of which `events` are there; `None` before anything is known.
    pub fn remaining_ms(&self, hint_tokens: Option<u64>, events: u64) -> Option<u64> {
        let hinted = hint_tokens.zip(self.us_per_token.median);
        let whole_us = hinted.map(|(tokens, us)| tokens.saturating_mul(us));
        let whole_us = whole_us.or(self.mean_text_us)?;
        let done_us = events * self.us_per_event.median.unwrap_or(0);
        let outgrown_us = done_us * OUTGROWN_SHARE_PERCENT / 100;
        Some(whole_us.saturating_sub(done_us).max(outgrown_us) / 1_000)
    }
}
