//! Writes `docs/CAPACITY.md` from the measured files.

use std::{fs, io};

use borageshore_bench::{ControlCost, Slopes, render};

const DOCS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");

fn main() -> io::Result<()> {
    let slopes = Slopes::parse(&fs::read_to_string(format!("{DOCS}/measured/slopes.csv"))?);
    let control = ControlCost::parse(&fs::read_to_string(format!("{DOCS}/measured/control.csv"))?);
    fs::write(format!("{DOCS}/CAPACITY.md"), render(&slopes, &control))
}
