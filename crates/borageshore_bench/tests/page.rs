//! The page is what the measured files say.

use borageshore_bench::{ControlCost, Slopes, render};

#[test]
fn page_matches_the_measurements() {
    let slopes = Slopes::parse(include_str!("../../../docs/measured/slopes.csv"));
    let control = ControlCost::parse(include_str!("../../../docs/measured/control.csv"));
    assert!(
        control.len() >= 5,
        "the real processes were measured at five counts or more"
    );
    let page = include_str!("../../../docs/CAPACITY.md");
    assert!(
        page == render(&slopes, &control),
        "run `cargo run -p borageshore_bench --bin capacity`"
    );
}
