//! The `steps` command: reads from daemons' logs what each training step waited for.

use std::{fmt::Write, sync::Arc};

use borageshore_base::SortedMap;
use jiff::Timestamp;
use serde::{Deserialize, Serialize};

/// The fields of a log line that the analysis uses.
#[derive(Debug, Deserialize)]
struct LogLine {
    at: Timestamp,
    daemon: Arc<str>,
    message: String,
    submission: Option<Arc<str>>,
    item: Option<Arc<str>>,
    group: Option<Arc<str>>,
    #[serde(default)]
    events: u64,
    #[serde(default)]
    stays: u64,
    #[serde(default)]
    placed_ms: u64,
    #[serde(default)]
    generated_ms: u64,
    #[serde(default)]
    waited_ms: u64,
}

/// The last item of a step to finish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LastItem {
    /// The item.
    pub item: Arc<str>,
    /// The number of events of its text.
    pub events: u64,
    /// The number of engines it ran at, one after the other.
    pub stays: u64,
    /// The wait for its first slot.
    pub placing_ms: u64,
    /// The time from its first slot to its last event.
    pub generating_ms: u64,
    /// The time from its last event to its score.
    pub scoring_ms: u64,
}

/// The timing of a training step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Step {
    /// The submission that requested it.
    pub submission: Arc<str>,
    /// When the submission was accepted.
    pub accepted_at: Timestamp,
    /// The time from acceptance to end; `None` if the logs have no end.
    pub took_ms: Option<u64>,
    /// The daemons that ran it, in order.
    pub daemons: Vec<Arc<str>>,
    /// The number of groups with an item that finished before the end.
    pub groups: usize,
    /// The last item to finish before the end.
    pub last: Option<LastItem>,
    /// The time from that item's result to the end: the store, the trainer's reads and the trainer.
    pub after_last_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct StepEvents {
    accepted_at: Option<Timestamp>,
    ended_at: Option<Timestamp>,
    daemons: Vec<Arc<str>>,
    finished: Vec<LogLine>,
}

impl StepEvents {
    fn on_line(&mut self, line: LogLine) {
        match line.message.as_str() {
            "submission accepted" => {
                self.accepted_at.get_or_insert(line.at);
            }
            "submission ended" => {
                self.ended_at.get_or_insert(line.at);
            }
            "submission taken over" => self.daemons.push(line.daemon),
            "item finished" => self.finished.push(line),
            _ => {}
        }
    }

    fn to_step(&self, submission: Arc<str>) -> Option<Step> {
        let accepted_at = self.accepted_at?;
        let is_in_time = |line: &&LogLine| self.ended_at.is_none_or(|ended| line.at <= ended);
        let in_time = || self.finished.iter().filter(is_in_time);
        let last = in_time().max_by_key(|line| line.at);
        let mut groups: Vec<&Arc<str>> = in_time().filter_map(|line| line.group.as_ref()).collect();
        groups.sort_unstable();
        groups.dedup();
        let since = |from: Timestamp| self.ended_at.map(|ended| between_ms(from, ended));
        Some(Step {
            submission,
            accepted_at,
            took_ms: since(accepted_at),
            daemons: self.daemons.clone(),
            groups: groups.len(),
            last: last.map(last_item),
            after_last_ms: last.and_then(|line| since(line.at)),
        })
    }
}

fn last_item(line: &LogLine) -> LastItem {
    LastItem {
        item: line.item.clone().unwrap_or_default(),
        events: line.events,
        stays: line.stays,
        placing_ms: line.placed_ms,
        generating_ms: line.generated_ms.saturating_sub(line.placed_ms),
        scoring_ms: line.waited_ms.saturating_sub(line.generated_ms),
    }
}

fn between_ms(from: Timestamp, to: Timestamp) -> u64 {
    to.as_millisecond().abs_diff(from.as_millisecond())
}

/// Returns the steps whose acceptance is in the logs, ordered by its time.
///
/// Lines may be in any order and may have a prefix from a log collector; other lines are skipped.
pub fn parse_steps(logs: &str) -> Vec<Step> {
    let mut steps_by_submission: SortedMap<Arc<str>, StepEvents> = SortedMap::default();
    for text in logs.lines() {
        let text = text.find('{').map_or("", |start| &text[start..]);
        let Ok(line) = serde_json::from_str::<LogLine>(text) else {
            continue;
        };
        if let Some(submission) = line.submission.clone() {
            let events = steps_by_submission.get_or_insert_with(submission, StepEvents::default);
            events.on_line(line);
        }
    }
    let steps = steps_by_submission
        .iter()
        .filter_map(|(submission, events)| events.to_step(submission.clone()));
    let mut steps: Vec<Step> = steps.collect();
    steps.sort_by_key(|step| step.accepted_at);
    steps
}

/// Renders a table of steps, with times in ms.
pub(crate) fn table(steps: &Vec<Step>) -> String {
    let mut text = String::from(
        "accepted                  submission        took  groups  placing  generating  events  stays  scoring  after  daemons\n",
    );
    for step in steps {
        let took = step.took_ms.map_or("-".into(), |took| took.to_string());
        let after = step.after_last_ms.map_or("-".into(), |ms| ms.to_string());
        let (placing, generating, events, stays, scoring) =
            step.last.as_ref().map_or_else(Default::default, |last| {
                (
                    last.placing_ms,
                    last.generating_ms,
                    last.events,
                    last.stays,
                    last.scoring_ms,
                )
            });
        let _ = writeln!(
            text,
            "{:.3}  {:16}  {took:>5}  {:>6}  {placing:>7}  {generating:>10}  {events:>6}  {stays:>5}  {scoring:>7}  {after:>5}  {}",
            step.accepted_at,
            step.submission,
            step.groups,
            step.daemons.join(" "),
        );
    }
    text
}
