//! Fuzzes the joining of stored pieces: whatever is lost, duplicated, late or foreign in the store, a joined text is a
//! prefix of the text of one run, with its versions.
//!
//! Guards against training on a text that no engine generated.

use std::sync::Arc;

use bolero::{TypeGenerator, check, produce};
use borageshore_batch::{PieceBatch, PieceJoiner, Text, TextPiece};
use bytes::Bytes;

const RUNS: usize = 4;
const ITERATIONS: usize = 3_000;

/// One step of two daemons that each run the same item twice.
#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    /// A run generates an event with the current version.
    Generate(#[generator(0..RUNS)] usize),
    /// New weights are loaded.
    LoadWeights,
    /// A run appends its events that are not stored yet.
    Store {
        #[generator(0..RUNS)]
        run: usize,
        outcome: Outcome,
    },
    /// A delayed append reaches the store.
    DeliverLate,
    /// The store drops its oldest record.
    DropOldest,
    /// Another writer appends a record that is not a batch.
    Foreign(u8),
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Outcome {
    Done,
    DoneUnacknowledged,
    LateUnacknowledged,
    Lost,
}

#[derive(Debug, Default)]
struct Run {
    events: Vec<(String, u64)>,
    stored: usize,
}

#[derive(Debug, Default)]
struct Simulation {
    version: u64,
    runs: [Run; RUNS],
    log: Vec<Bytes>,
    late: Vec<Bytes>,
}

impl Simulation {
    fn piece(&self, run: usize) -> Bytes {
        let made = &self.runs[run];
        let new = &made.events[made.stored..];
        let mut versions: Vec<u64> = made.events.iter().map(|(_, version)| *version).collect();
        versions.dedup();
        let piece = TextPiece {
            item: "item".into(),
            run: run as u64,
            first_event: made.stored as u64 + 1,
            events: new.iter().map(|(data, _)| data.clone()).collect(),
            versions,
        };
        let author = Arc::from(if run < RUNS / 2 { "vm-1" } else { "vm-2" });
        let batch = PieceBatch {
            author,
            needed_from: 0,
            pieces: vec![piece],
            engines: None,
        };
        batch.encode()
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Generate(run) => {
                let event = self.runs[*run].events.len() + 1;
                let made = (format!("event {event} of run {run}"), self.version);
                self.runs[*run].events.push(made);
            }
            Step::LoadWeights => self.version += 1,
            Step::Store { run, outcome } => self.store(*run, *outcome),
            Step::DeliverLate => self.log.extend(self.late.pop()),
            Step::DropOldest => {
                if !self.log.is_empty() {
                    self.log.remove(0);
                }
            }
            Step::Foreign(byte) => self.log.push(vec![*byte; 3].into()),
        }
    }

    fn store(&mut self, run: usize, outcome: Outcome) {
        let record = self.piece(run);
        match outcome {
            Outcome::Done => {
                self.log.push(record);
                self.runs[run].stored = self.runs[run].events.len();
            }
            Outcome::DoneUnacknowledged => self.log.push(record),
            Outcome::LateUnacknowledged => self.late.push(record),
            Outcome::Lost => {}
        }
    }

    fn joined(&self) -> Vec<(Arc<str>, Text)> {
        let mut joiner = PieceJoiner::default();
        for batch in self
            .log
            .iter()
            .filter_map(|record| PieceBatch::decode(record))
        {
            joiner.push(batch);
        }
        joiner.texts()
    }

    /// Returns whether a text is a prefix of a run's text, with exactly the versions of these events.
    fn is_run_prefix(&self, text: &Text) -> bool {
        self.runs.iter().any(|run| {
            let prefix = run.events.get(..text.events().len()).unwrap_or_default();
            let data = prefix.iter().map(|(data, _)| data.as_bytes());
            let mut versions: Vec<u64> = prefix.iter().map(|(_, version)| *version).collect();
            versions.dedup();
            data.eq(text.events().iter().map(|event| &event[..])) && versions == text.versions()
        })
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    a_joined_text_is_a_prefix_of_a_run => {
        check!()
            .with_iterations(ITERATIONS)
            .with_generator(produce::<Vec<Step>>())
            .for_each(|steps| {
                let mut simulation = Simulation::default();
                for step in steps {
                    simulation.apply(step);
                }
                for (_, text) in simulation.joined() {
                    assert!(text.is_empty() || simulation.is_run_prefix(&text), "{text:?}\n{simulation:?}");
                }
            });
    }

    all_stored_events_are_joined => {
        let mut simulation = Simulation::default();
        for _ in 0..3 {
            simulation.apply(&Step::Generate(0));
            simulation.apply(&Step::Store { run: 0, outcome: Outcome::Done });
        }
        let texts = simulation.joined();
        assert_eq!(texts[0].1.last_event(), 3);
    }

    // Guards against a lost first append that makes all later pieces of the run useless.
    an_unacknowledged_piece_is_stored_again_with_the_next => {
        let mut simulation = Simulation::default();
        simulation.apply(&Step::Generate(0));
        simulation.apply(&Step::Store { run: 0, outcome: Outcome::Lost });
        simulation.apply(&Step::Generate(0));
        simulation.apply(&Step::Store { run: 0, outcome: Outcome::Done });
        assert_eq!(simulation.joined()[0].1.last_event(), 2);
    }

    the_longest_text_of_an_item_comes_first => {
        let mut simulation = Simulation::default();
        for run in [0, 3, 3] {
            simulation.apply(&Step::Generate(run));
            simulation.apply(&Step::Store { run, outcome: Outcome::Done });
        }
        let lengths: Vec<u64> = simulation.joined().iter().map(|(_, text)| text.last_event()).collect();
        assert_eq!(lengths, [2, 1]);
    }
}
