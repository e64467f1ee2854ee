//! Parsing of training steps from daemons' logs.

use borageshore_cli::{LastItem, parse_steps};

/// Log lines of daemons, one of which took over the step; a log collector added a host to one line.
const LOGS: &str = r#"
{"at":"2026-07-21T15:10:54.100Z","level":"INFO","daemon":"a","message":"submission accepted","submission":"s1","items":3}
host-1 {"at":"2026-07-21T15:10:54.120Z","level":"INFO","daemon":"a","message":"submission taken over","submission":"s1"}
{"at":"2026-07-21T15:10:56.000Z","level":"INFO","daemon":"b","message":"submission taken over","submission":"s1"}
{"at":"2026-07-21T15:10:58.000Z","level":"INFO","daemon":"b","message":"item finished","submission":"s1","item":"i2","group":"g2","placed_ms":900,"generated_ms":3800,"waited_ms":3880,"stays":2,"events":60}
{"at":"2026-07-21T15:10:57.000Z","level":"INFO","daemon":"b","message":"item finished","submission":"s1","item":"i1","group":"g1","placed_ms":10,"generated_ms":2800,"waited_ms":2900,"stays":1,"events":40}
{"at":"2026-07-21T15:10:58.600Z","level":"INFO","daemon":"c","message":"submission ended","submission":"s1"}
{"at":"2026-07-21T15:10:59.000Z","level":"INFO","daemon":"b","message":"item finished","submission":"s1","item":"i3","group":"g3","placed_ms":10,"generated_ms":4800,"waited_ms":4900,"stays":1,"events":90}
not a line of a log
{"at":"2026-07-21T15:11:00.000Z","level":"INFO","daemon":"a","message":"submission accepted","submission":"s2","items":1}
"#;

#[test]
fn a_step_names_the_item_that_it_waited_for() {
    let steps = parse_steps(LOGS);
    let step = &steps[0];
    assert_eq!(step.took_ms, Some(4_500));
    assert_eq!(step.daemons.join(" "), "a b");
    assert_eq!(step.groups, 2);
    assert_eq!(step.after_last_ms, Some(600));
    let last = LastItem {
        item: "i2".into(),
        events: 60,
        stays: 2,
        placing_ms: 900,
        generating_ms: 2_900,
        scoring_ms: 80,
    };
    assert_eq!(step.last, Some(last));
}

#[test]
fn a_step_under_way_has_no_end() {
    let steps = parse_steps(LOGS);
    assert_eq!(steps.len(), 2);
    assert_eq!((steps[1].took_ms, &steps[1].last), (None, &None));
}
