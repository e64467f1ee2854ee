//! Fuzzes the ledger against an oracle: every reader sees the same positions, whenever it begins to read.
//!
//! Two writers append results and retry unacknowledged appends, and the submission is ended; readers begin at any
//! time, load from incomplete paged reads, and lose their state. The oracle replays the whole log.

use std::sync::Arc;

use bolero::{TypeGenerator, check, produce};
use borageshore_batch::{
    Item, ItemResult, ItemState, Ledger, LedgerEntry, LedgerRecord, PackedItem, Submission,
};

const ITEMS: u8 = 6;
const READERS: usize = 3;
const ITERATIONS: usize = 3_000;

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    /// A writer appends the result of its own run of an item.
    Append {
        #[generator(0..ITEMS)]
        item: u8,
        writer: bool,
    },
    /// The last append is retried after its response was lost.
    Repeat,
    End,
    /// A reader requests the submission's records from the store.
    Request(#[generator(0..READERS)] usize),
    /// The response arrives; a record after the requested end may be missing from it.
    Load {
        #[generator(0..READERS)]
        reader: usize,
        is_incomplete: bool,
    },
    /// A reader applies the new records of the log.
    Follow(#[generator(0..READERS)] usize),
    /// A reader loses its state.
    Forget(#[generator(0..READERS)] usize),
}

#[derive(Debug, Default)]
struct Store {
    log: Vec<LedgerEntry>,
    last: Option<LedgerRecord>,
    appends: u64,
}

impl Store {
    fn append(&mut self, record: LedgerRecord) {
        self.appends += 1;
        for (key, value) in record.encode(&format!("w.{}", self.appends)) {
            self.log.push((self.log.len() as u64, key, value));
        }
        self.last = Some(record);
    }

    fn newest(&self) -> Vec<LedgerEntry> {
        let is_newest = |entry: &&LedgerEntry| {
            let mut later = self.log.iter().skip(entry.0 as usize + 1);
            !later.any(|other| other.1 == entry.1)
        };
        self.log.iter().filter(is_newest).cloned().collect()
    }

    /// The expected outputs by position, from the first `until` records.
    fn positions(&self, until: usize) -> Vec<String> {
        let mut ledger = Ledger::default();
        ledger.track(&"s".into(), 0);
        ledger.load("s", Vec::new(), 0);
        for entry in &self.log[..until] {
            ledger.apply(entry.clone());
        }
        outputs(&ledger).unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct Reader {
    ledger: Ledger,
    next: usize,
    /// The end of the log at the time of the pending request.
    requested_end: Option<u64>,
}

fn outputs(ledger: &Ledger) -> Option<Vec<String>> {
    let state = ledger.get("s").filter(|state| state.is_loaded())?;
    let results = state.results().iter();
    Some(results.map(|result| result.output.clone()).collect())
}

fn submission() -> LedgerRecord {
    let item = |number| Item {
        id: format!("i{number}").into(),
        group: "g".into(),
        path: "/p/".into(),
        headers: Vec::new(),
        body_base64: "".into(),
        length_hint_tokens: None,
        reward: None,
    };
    LedgerRecord::Accept(Arc::new(Submission {
        id: "s".into(),
        organisation: None,
        host: "h".into(),
        path: "/p/".into(),
        model: None,
        min_version: 0,
        target_groups: None,
        items: (0..ITEMS)
            .map(|number| PackedItem::pack(&item(number)))
            .collect(),
    }))
}

fn result(item: u8, writer: bool) -> LedgerRecord {
    LedgerRecord::Result {
        submission: "s".into(),
        result: Arc::new(ItemResult {
            item: format!("i{item}").into(),
            state: ItemState::Done,
            output: format!("{item} by {writer}"),
            versions: vec![1],
            score: None,
        }),
    }
}

fn apply_step(store: &mut Store, readers: &mut [Reader], step: &Step) {
    match step {
        Step::Append { item, writer } => store.append(result(*item, *writer)),
        Step::Repeat => {
            if let Some(last) = store.last.clone() {
                store.append(last);
            }
        }
        Step::End => store.append(LedgerRecord::End {
            submission: "s".into(),
        }),
        Step::Request(reader) => {
            let reader = &mut readers[*reader];
            reader.ledger.track(&"s".into(), 0);
            reader.requested_end = Some(store.log.len() as u64);
        }
        Step::Load {
            reader,
            is_incomplete,
        } => {
            let reader = &mut readers[*reader];
            if let Some(end) = reader.requested_end.take() {
                let mut newest = store.newest();
                if *is_incomplete {
                    // Drops the first record after the end.
                    let after_end = newest.iter().position(|entry| entry.0 >= end);
                    after_end.map(|at| newest.remove(at));
                }
                reader.ledger.load("s", newest, end);
            }
        }
        Step::Follow(reader) => {
            let reader = &mut readers[*reader];
            for entry in &store.log[reader.next..] {
                reader.ledger.apply(entry.clone());
            }
            reader.next = store.log.len();
        }
        Step::Forget(reader) => {
            let reader = &mut readers[*reader];
            reader.ledger.remove_if(|_| true);
            // Following resumes at the end of the log.
            reader.next = store.log.len();
            reader.requested_end = None;
        }
    }
}

#[test]
fn every_reader_sees_the_same_positions() {
    check!()
        .with_iterations(ITERATIONS)
        .with_generator(produce::<Vec<Step>>().with().len(0..40_usize))
        .for_each(|steps| {
            let mut store = Store::default();
            store.append(submission());
            let mut readers: Vec<Reader> = (0..READERS).map(|_| Reader::default()).collect();
            for step in steps {
                apply_step(&mut store, &mut readers, step);
                let expected = store.positions(store.log.len());
                for reader in &readers {
                    let seen = outputs(&reader.ledger).unwrap_or_default();
                    assert!(expected.starts_with(&seen), "{seen:?} of {expected:?}");
                }
            }
            for reader in &mut readers {
                for entry in &store.log[reader.next..] {
                    reader.ledger.apply(entry.clone());
                }
                if let Some(seen) = outputs(&reader.ledger) {
                    assert_eq!(seen, store.positions(store.log.len()));
                }
            }
        });
}
