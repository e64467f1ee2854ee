//! The sorted map behaves like a plain ordered map, at any size.

use std::collections::BTreeMap;

use borageshore_base::SortedMap;

/// A sequence of numbers without a pattern.
fn numbers(count: u64) -> impl Iterator<Item = u64> {
    (0..count).map(|number| number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40)
}

/// Guards against entries that are lost, doubled or out of order where a chunk of the map is split or becomes empty.
#[test]
fn it_equals_an_ordered_map_after_any_changes() {
    let mut map = SortedMap::default();
    let mut model = BTreeMap::new();
    for (step, number) in numbers(6_000).enumerate() {
        let key = number % 3_000;
        if step % 3 == 2 || (step > 4_000 && step % 4 != 0) {
            assert_eq!(map.remove(&key), model.remove(&key));
        } else {
            assert_eq!(map.insert(key, step), model.insert(key, step));
        }
        assert_eq!(map.len(), model.len());
        assert_eq!(map.get(&key), model.get(&key));
    }
    assert!(map.iter().eq(model.iter()));
    map.retain(|key, _| key % 5 == 0);
    model.retain(|key, _| key % 5 == 0);
    assert!(map.iter().rev().eq(model.iter().rev()));
    let copied: SortedMap<u64, usize> = model.into_iter().collect();
    assert_eq!(map, copied, "equal entries make equal maps");
}

/// Guards against snapshots that other versions of the program cannot read: the serialized form is one list of pairs.
#[test]
fn the_serialized_form_does_not_depend_on_the_size() {
    let map: SortedMap<u64, u64> = (0..1_000).map(|key| (key, key)).collect();
    let text = serde_json::to_string(&map).unwrap();
    assert!(text.starts_with(r#"{"entries":[[0,0],[1,1],"#));
    let read: SortedMap<u64, u64> = serde_json::from_str(&text).unwrap();
    assert_eq!(read, map);
    assert_eq!(read.get(&999), Some(&999));
}
