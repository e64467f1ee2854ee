//! Checks that the capacity page matches the measured tables.

use borageshore_bench::{Sweep, render};

macro_rules! sweeps {
    ($($deployment:literal),* $(,)?) => {
        [$(Sweep::parse($deployment, include_str!(concat!("../../../docs/measured/sweep-", $deployment, ".txt")))),*]
    };
}

#[test]
fn page_matches_the_measurements() {
    let sweeps = sweeps![
        "navua-feedlog-large",
        "navua-feedlog-grown",
        "navua-feedlog-now-grown",
        "lsgm-rollout-grown",
        "cmaa-cobranca-grown",
        "utitars-hq-grown",
        "teranga-rollouts-grown",
        "cca-cores-grown",
        "rcs-quotehub-grown",
    ];
    for sweep in &sweeps {
        assert!(
            sweep.plays.len() >= 3,
            "{}: three sizes or more",
            sweep.deployment
        );
        assert!(
            sweep.rows.len() >= 6,
            "{}: the table is there",
            sweep.deployment
        );
    }
    let page = include_str!("../../../docs/CAPACITY.md");
    assert!(
        page == render(&sweeps),
        "run `cargo run -p borageshore_bench --bin capacity`"
    );
}

#[test]
fn a_sweep_is_read_as_it_is_printed() {
    let sweep = Sweep::parse(
        "d",
        "sweep-30    28/300   0.78  0.776  1.000   0.000  0.000  whole day 1.00\n\
         sweep-100  101/1000  0.00 -0.068  0.036   0.000  0.566  worst class 0.00  BROKEN: CONFIG 3, LOST 8 (else 0.00)\n\
         middle / busiest or longest, by own machines\n\
         daemon: memory MB            5.1 / 50.5      4.3 / 53.3  0.5  -\n",
    );
    assert_eq!(sweep.plays[1].broken, "CONFIG 3, LOST 8");
    let row = sweep.row("daemon: memory MB").unwrap();
    assert_eq!(
        (&row.middle[..], &row.most[..]),
        (&[5.1, 4.3][..], &[50.5, 53.3][..])
    );
    assert_eq!(
        sweep.points(&row.most),
        [(28.0, 50.5)],
        "a size that broke a promise does not count"
    );
}
