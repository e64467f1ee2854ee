//! The record of an accepted submission, encoded item by item.

use std::sync::Arc;

use borageshore_batch::{
    AcceptedRecord, Item, ItemSizes, Ledger, LedgerRecord, PackedItem, Submission,
};

fn item(number: usize, body: &str) -> Item<'_> {
    Item {
        id: format!("i{number}").into(),
        group: format!("g{}", number / 2).into(),
        path: "/p/\"quoted\"".into(),
        headers: Vec::new(),
        body_base64: body.into(),
        length_hint_tokens: number.is_multiple_of(2).then_some(7),
        reward: None,
    }
}

fn head() -> Submission {
    Submission {
        id: "s1".into(),
        organisation: Some("mill".into()),
        host: "h".into(),
        path: "/p/".into(),
        model: None,
        min_version: 3,
        target_groups: Some(1),
        items: Vec::new(),
    }
}

/// The keys and values of a submission with items of a size, encoded item by item and as a whole.
fn encoded(items: usize, body_bytes: usize) -> [Vec<(Arc<str>, bytes::Bytes)>; 2] {
    let body = "x".repeat(body_bytes);
    let items: Vec<Item<'_>> = (0..items).map(|number| item(number, &body)).collect();
    let mut sizes = ItemSizes::default();
    items.iter().for_each(|item| sizes.add(item));
    let whole = Submission {
        items: items.iter().map(PackedItem::pack).collect(),
        ..head()
    };
    assert_eq!(sizes.expected_tokens, whole.expected_tokens());
    let by_item = AcceptedRecord::open(&head(), sizes, items.into_iter()).collect();
    [by_item, LedgerRecord::Accept(Arc::new(whole)).encode("")]
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against a submission that is sent again, or read by daemons of before, under other chunks.
    encoding_item_by_item_gives_the_same_chunks => {
        for (items, body_bytes) in [(1, 0), (3, 50), (7, 100_000), (2, 700_000), (4_000, 60)] {
            let [by_item, whole] = encoded(items, body_bytes);
            assert_eq!(by_item.len(), whole.len(), "{items} items of {body_bytes} bytes");
            assert!(by_item == whole, "{items} items of {body_bytes} bytes");
        }
    }

    // Guards against an item that another daemon decodes differently.
    a_stored_submission_has_the_items_that_were_accepted => {
        let [chunks, _] = encoded(5, 150_000);
        let mut ledger = Ledger::default();
        ledger.track(&"s1".into(), 0);
        let end = chunks.len() as u64;
        let entries = (0..end).zip(chunks).map(|(offset, (key, value))| (offset, key, value));
        ledger.load("s1", entries.collect(), end);
        let state = ledger.get("s1").unwrap();
        let body = "x".repeat(150_000);
        for number in 0..5 {
            let stored = state.item(&format!("i{number}")).unwrap();
            assert_eq!(stored.unpack(), item(number, &body));
        }
        assert!((750_000..800_000).contains(&state.held_bytes()), "{}", state.held_bytes());
    }
}
