//! A fake trainer that pulls samples, verifies them and publishes new weights.

use std::{collections::HashSet, sync::Arc};

use borageshore_net::{Clock, HttpClient, Timeouts, sleep_ms};
use borageshore_rollout::{Delivery, Sample};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Serialize;

use crate::engine::expected_token;

/// Upper bound of the histograms; larger values saturate.
const MAX_RECORDABLE_MS: u64 = 3_600_000;
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 8_000,
};
const PULL_WAIT_MS: u64 = 2_000;

/// Configuration of a trainer.
#[derive(Debug, Clone)]
pub struct TrainerOptions {
    /// Addresses of daemons; a failed call moves on to the next one.
    pub daemons: Vec<Arc<str>>,
    /// The trainer's bearer token.
    pub token: Arc<str>,
    /// The job.
    pub job: Arc<str>,
    /// Samples per training step.
    pub samples_per_step: u64,
    /// Compute time of a step.
    pub step_ms: u64,
    /// Training steps to run.
    pub steps: u64,
    /// Maximum versions that a delivered sample may be behind.
    pub staleness_bound_versions: u64,
    /// Time limit of the run.
    pub limit_ms: u64,
}

/// Results of a trainer.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TrainerSummary {
    /// The job.
    pub job: Arc<str>,
    /// Completed steps.
    pub steps: u64,
    /// Samples received.
    pub samples: u64,
    /// Samples that were delivered again; each is a violation.
    pub repeated: u64,
    /// Samples with wrong tokens or attribution; each is a violation.
    pub misattributed: u64,
    /// Samples over the staleness bound; each is a violation.
    pub stale: u64,
    /// Sample numbers that were skipped and never delivered.
    pub given_up: u64,
    /// Time spent waiting for samples.
    pub idle_ms: u64,
    /// Time spent computing.
    pub busy_ms: u64,
    /// Share of the time spent waiting.
    pub idle_percent: f64,
    /// Median number of versions that samples were behind.
    pub staleness_versions_p50: u64,
    /// 99th percentile of the number of versions behind.
    pub staleness_versions_p99: u64,
    /// Median age of samples at delivery.
    pub age_ms_p50: u64,
    /// 99th percentile of the age at delivery.
    pub age_ms_p99: u64,
}

impl TrainerSummary {
    /// The number of violations.
    pub fn violation_count(&self) -> u64 {
        self.repeated + self.misattributed + self.stale
    }
}

/// A running trainer.
#[derive(Debug)]
pub struct Trainer {
    options: TrainerOptions,
    http: HttpClient,
    clock: Clock,
    daemon_index: usize,
    cursor: u64,
    epoch: u64,
    version: u64,
    seen_ids: HashSet<Arc<str>>,
    staleness_versions: Histogram<u64>,
    ages_ms: Histogram<u64>,
    summary: TrainerSummary,
}

impl Trainer {
    /// Creates a trainer that has no samples yet.
    pub fn open(options: TrainerOptions) -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_RECORDABLE_MS, 3).expect("three digits are supported");
        let summary = TrainerSummary {
            job: options.job.clone(),
            ..TrainerSummary::default()
        };
        Self {
            options,
            http: HttpClient::open(),
            clock: Clock::start(),
            daemon_index: 0,
            cursor: 0,
            epoch: 0,
            version: 0,
            seen_ids: HashSet::new(),
            staleness_versions: histogram(),
            ages_ms: histogram(),
            summary,
        }
    }

    /// Runs until all steps are completed or the time limit is reached.
    pub async fn run(mut self) -> TrainerSummary {
        while self.summary.steps < self.options.steps && self.has_time_left() {
            let started_at_ms = self.clock.now_ms();
            let is_complete = self.collect_step().await;
            self.summary.idle_ms += self.clock.now_ms() - started_at_ms;
            if !is_complete {
                break;
            }
            sleep_ms(self.options.step_ms).await;
            self.summary.busy_ms += self.options.step_ms;
            self.summary.steps += 1;
            self.publish().await;
        }
        self.summarize()
    }

    fn has_time_left(&self) -> bool {
        self.clock.now_ms() < self.options.limit_ms
    }

    async fn collect_step(&mut self) -> bool {
        let wanted = (self.summary.steps + 1) * self.options.samples_per_step;
        while self.summary.samples < wanted {
            if !self.has_time_left() {
                return false;
            }
            let missing = wanted - self.summary.samples;
            match self.pull(missing).await {
                Some(delivery) => self.accept(delivery),
                None => {
                    self.daemon_index += 1;
                    sleep_ms(100).await;
                }
            }
        }
        true
    }

    async fn pull(&self, missing: u64) -> Option<Delivery> {
        let path = format!(
            "/v1/jobs/{}/samples?cursor={}&epoch={}&max={missing}&wait_ms={PULL_WAIT_MS}",
            self.options.job, self.cursor, self.epoch
        );
        let body = self.call("GET", &path, "").await?;
        serde_json::from_slice(&body).ok()
    }

    async fn call(&self, method: &str, path: &str, body: &str) -> Option<Bytes> {
        let daemon = &self.options.daemons[self.daemon_index % self.options.daemons.len()];
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {}", self.options.token))
            .body(Full::new(Bytes::from(body.to_owned())))
            .ok()?;
        match self.http.call(daemon, request, TIMEOUTS).await {
            Ok((StatusCode::OK, body)) => Some(body),
            _ => None,
        }
    }

    fn accept(&mut self, delivery: Delivery) {
        if delivery.epoch < self.epoch || delivery.through < self.cursor {
            // A delayed response, for example of a previous owner.
            return;
        }
        let number_count = delivery.through - self.cursor;
        self.summary.given_up += number_count - delivery.samples.len() as u64;
        for (number, sample) in &delivery.samples {
            self.check(*number, sample, delivery.target_version);
        }
        self.summary.samples += delivery.samples.len() as u64;
        self.epoch = delivery.epoch;
        self.cursor = delivery.through;
    }

    fn check(&mut self, number: u64, sample: &Sample, target_version: u64) {
        let is_new = number > self.cursor && self.seen_ids.insert(sample.id.clone());
        self.summary.repeated += u64::from(!is_new);
        let attributed_tokens: u64 = sample
            .segments
            .iter()
            .map(|segment| segment.token_count)
            .sum();
        let is_fully_attributed =
            attributed_tokens == sample.tokens.len() as u64 && attributed_tokens > 0;
        let mut tokens = sample.tokens.iter().enumerate();
        let has_expected_tokens =
            tokens.all(|(at, token)| *token == expected_token(&sample.prompt, at as u64));
        self.summary.misattributed += u64::from(!is_fully_attributed || !has_expected_tokens);
        let oldest_version = sample
            .segments
            .iter()
            .map(|segment| segment.version)
            .min()
            .unwrap_or(0);
        let versions_behind = target_version.saturating_sub(oldest_version);
        self.summary.stale += u64::from(versions_behind > self.options.staleness_bound_versions);
        self.staleness_versions
            .saturating_record(self.version.saturating_sub(oldest_version));
        self.ages_ms.saturating_record(sample.age_ms);
    }

    async fn publish(&mut self) {
        self.version += 1;
        let path = format!("/v1/jobs/{}/weights", self.options.job);
        let body = format!("{{\"version\":{}}}", self.version);
        while self.has_time_left() && self.call("POST", &path, &body).await.is_none() {
            self.daemon_index += 1;
            sleep_ms(100).await;
        }
    }

    fn summarize(mut self) -> TrainerSummary {
        let total_ms = (self.summary.idle_ms + self.summary.busy_ms).max(1);
        self.summary.idle_percent = self.summary.idle_ms as f64 * 100.0 / total_ms as f64;
        self.summary.staleness_versions_p50 = self.staleness_versions.value_at_quantile(0.5);
        self.summary.staleness_versions_p99 = self.staleness_versions.value_at_quantile(0.99);
        self.summary.age_ms_p50 = self.ages_ms.value_at_quantile(0.5);
        self.summary.age_ms_p99 = self.ages_ms.value_at_quantile(0.99);
        self.summary
    }
}
