//! The ledger must show the same results at every daemon, whenever the daemon began to read.

use std::sync::Arc;

use borageshore_batch::{
    Item, ItemResult, ItemState, Ledger, LedgerEntry, LedgerRecord, PackedItem, RewardCall,
    Submission, VersionRule,
};

fn item(id: &str, group: &str) -> Item<'static> {
    Item {
        id: id.to_owned().into(),
        group: group.to_owned().into(),
        path: "/p/".into(),
        headers: Vec::new(),
        body_base64: "".into(),
        length_hint_tokens: None,
        reward: Some(RewardCall {
            id: format!("reward-{id}").into(),
            host: "h".into(),
            path: "/r/".into(),
            body_base64: "".into(),
        }),
    }
}

fn submission(id: &str, items: &[&str]) -> Submission {
    Submission {
        id: id.into(),
        organisation: None,
        host: "h".into(),
        path: "/p/".into(),
        model: Some("m".into()),
        min_version: 1,
        target_groups: None,
        items: items
            .iter()
            .map(|id| PackedItem::pack(&item(id, id)))
            .collect(),
    }
}

fn result(item: &str, output: &str) -> LedgerRecord {
    LedgerRecord::Result {
        submission: "s1".into(),
        result: Arc::new(ItemResult {
            item: item.into(),
            state: ItemState::Done,
            output: output.into(),
            versions: vec![3],
            score: Some("stamp".into()),
        }),
    }
}

fn accept(items: &[&str]) -> LedgerRecord {
    LedgerRecord::Accept(Arc::new(submission("s1", items)))
}

fn end() -> LedgerRecord {
    LedgerRecord::End {
        submission: "s1".into(),
    }
}

/// A partition of the store: appended records with their offsets.
#[derive(Debug, Default)]
struct Partition {
    entries: Vec<LedgerEntry>,
}

impl Partition {
    fn append(&mut self, record: &LedgerRecord, attempt: &str) {
        for (key, value) in record.encode(attempt) {
            self.entries.push((self.entries.len() as u64, key, value));
        }
    }

    fn end(&self) -> u64 {
        self.entries.len() as u64
    }

    fn newest(&self) -> Vec<LedgerEntry> {
        let is_newest = |(offset, key, _): &&LedgerEntry| {
            !self
                .entries
                .iter()
                .any(|other| other.1 == *key && other.0 > *offset)
        };
        self.entries.iter().filter(is_newest).cloned().collect()
    }
}

fn follow(ledger: &mut Ledger, entries: &[LedgerEntry]) {
    for entry in entries {
        ledger.apply(entry.clone());
    }
}

/// A ledger that has followed the partition from its first record.
fn followed(partition: &Partition) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.track(&"s1".into(), 0);
    ledger.load("s1", Vec::new(), 0);
    follow(&mut ledger, &partition.entries);
    ledger
}

/// A ledger that has loaded the newest record of each key.
fn loaded(partition: &Partition) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.track(&"s1".into(), 0);
    ledger.load("s1", partition.newest(), partition.end());
    ledger
}

fn outputs(ledger: &Ledger) -> Vec<String> {
    let state = ledger.get("s1").unwrap();
    assert!(state.is_loaded());
    state
        .results()
        .iter()
        .map(|result| result.output.clone())
        .collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against readers that see different results at one position after two daemons ran the same item.
    the_first_result_of_an_item_counts => {
        let mut partition = Partition::default();
        for (record, attempt) in [(accept(&["a", "b"]), ""), (result("a", "first"), "x.1"),
            (result("b", "b"), "x.2"), (result("a", "second"), "y.1")]
        {
            partition.append(&record, attempt);
        }
        let ledger = followed(&partition);
        assert_eq!(outputs(&ledger), ["first", "b"]);
    }

    // Guards against results that change position when an unacknowledged append is retried: under the same key the
    // retry would replace the first record for daemons that load the newest record of each key.
    a_repeated_append_does_not_move_a_result => {
        let mut partition = Partition::default();
        partition.append(&accept(&["a", "b"]), "");
        partition.append(&result("a", "a"), "x.1");
        partition.append(&result("b", "b"), "x.2");
        partition.append(&result("a", "a"), "x.3");
        assert_eq!(outputs(&followed(&partition)), ["a", "b"]);
        assert_eq!(outputs(&loaded(&partition)), ["a", "b"]);
    }

    // Guards against a wrong order of results after a paged read that returned the record at offset 3 and missed the
    // one at 2: records after the end taken before the first page must come from the follower.
    records_after_the_end_of_a_load_are_left_to_the_follower => {
        let mut partition = Partition::default();
        partition.append(&accept(&["a", "b", "c"]), "");
        partition.append(&result("c", "c"), "x.1");
        let end = partition.end();
        partition.append(&result("a", "a"), "x.2");
        partition.append(&result("b", "b"), "y.1");
        let mut incomplete = partition.newest();
        incomplete.remove(2);
        let mut ledger = Ledger::default();
        ledger.track(&"s1".into(), 0);
        follow(&mut ledger, &partition.entries[2..]);
        assert!(!ledger.get("s1").unwrap().is_loaded());
        ledger.load("s1", incomplete, end);
        assert_eq!(outputs(&ledger), ["c", "a", "b"]);
    }

    // Guards against losing a record that the follower delivers while the older ones are still being read.
    records_that_come_while_older_ones_are_read_are_kept => {
        let mut partition = Partition::default();
        partition.append(&accept(&["a", "b"]), "");
        let (newest, end) = (partition.newest(), partition.end());
        let mut ledger = Ledger::default();
        ledger.track(&"s1".into(), 0);
        partition.append(&result("a", "a"), "x.1");
        follow(&mut ledger, &partition.entries[1..]);
        ledger.load("s1", newest, end);
        partition.append(&result("b", "b"), "x.2");
        follow(&mut ledger, &partition.entries[2..]);
        assert_eq!(outputs(&ledger), ["a", "b"]);
    }

    records_of_other_submissions_are_not_kept => {
        let mut partition = Partition::default();
        partition.append(&accept(&["a"]), "");
        let mut ledger = Ledger::default();
        follow(&mut ledger, &partition.entries);
        assert!(ledger.get("s1").is_none());
    }

    after_a_gap_a_submission_is_read_again => {
        let mut partition = Partition::default();
        partition.append(&accept(&["a", "b"]), "");
        let mut ledger = followed(&partition);
        partition.append(&result("a", "missed"), "x.1");
        ledger.remove_if(|id| id == "s1");
        assert!(ledger.get("s1").is_none());
        assert_eq!(outputs(&loaded(&partition)), ["missed"]);
    }

    a_submission_larger_than_a_record_comes_back_whole => {
        let ids: Vec<String> = (0..3_000).map(|number| format!("item-{number:0200}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut partition = Partition::default();
        partition.append(&accept(&ids), "");
        assert!(partition.entries.len() > 2);
        assert!(partition.entries.iter().all(|(.., value)| value.len() <= 250_000));
        let ledger = followed(&partition);
        assert_eq!(ledger.get("s1").unwrap().submission().unwrap().items.len(), 3_000);
    }

    a_submission_is_open_until_all_items_have_results_or_it_is_ended => {
        let mut partition = Partition::default();
        partition.append(&accept(&["a", "b"]), "");
        partition.append(&result("a", "a"), "x.1");
        let mut ledger = followed(&partition);
        assert!(ledger.get("s1").unwrap().is_open());
        let mut ended = Partition::default();
        ended.append(&end(), "");
        follow(&mut ledger, &ended.entries);
        assert!(!ledger.get("s1").unwrap().is_open());
    }

    a_text_of_an_earlier_step_is_used_if_its_versions_fit => {
        let mut partition = Partition::default();
        partition.append(&accept(&["a"]), "");
        partition.append(&result("a", "a"), "x.1");
        let ledger = followed(&partition);
        let again = PackedItem::pack(&item("a", "a"));
        let later = submission("s2", &["a"]);
        let since = |min_version| VersionRule { min_version, is_single: false };
        assert!(ledger.earlier_result(&later, &again, since(3)).is_some());
        assert!(ledger.earlier_result(&later, &again, since(4)).is_none(), "made under an older version");
        let other_reward = PackedItem::pack(&Item { reward: None, ..again.unpack() });
        assert!(ledger.earlier_result(&later, &other_reward, since(3)).is_none(), "its score is of another call");
    }

    // Guards against handing out the text of another organisation's item with the same id.
    a_text_of_another_organisation_is_never_used => {
        let mut partition = Partition::default();
        let mill = Submission { organisation: Some("mill".into()), ..submission("s1", &["a"]) };
        partition.append(&LedgerRecord::Accept(Arc::new(mill.clone())), "");
        partition.append(&result("a", "a"), "x.1");
        let ledger = followed(&partition);
        let again = PackedItem::pack(&item("a", "a"));
        let farm = Submission { organisation: Some("farm".into()), ..mill.clone() };
        let any = VersionRule { min_version: 0, is_single: false };
        assert!(ledger.earlier_result(&mill, &again, any).is_some());
        assert!(ledger.earlier_result(&farm, &again, any).is_none());
        assert!(ledger.earlier_result(&submission("s2", &["a"]), &again, any).is_none());
        assert_ne!(mill.scoped_item_id(again.id()), farm.scoped_item_id(again.id()));
    }
}
