//! Writes `docs/CAPACITY.md` from the saved tables of sweeps.

use std::{fs, io};

use borageshore_bench::{Sweep, render};

const DOCS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");
/// The deployments of `tools/run-sweep`, the largest first.
const DEPLOYMENTS: [&str; 9] = [
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

fn main() -> io::Result<()> {
    let mut sweeps = Vec::new();
    for deployment in DEPLOYMENTS {
        let text = fs::read_to_string(format!("{DOCS}/measured/sweep-{deployment}.txt"))?;
        sweeps.push(Sweep::parse(deployment, &text));
    }
    fs::write(format!("{DOCS}/CAPACITY.md"), render(&sweeps))
}
