//! From measured slopes to `docs/CAPACITY.md`.
//!
//! `cargo bench -p borageshore_bench` writes `docs/measured/slopes.csv`, `tools/run-control-cost`
//! writes `docs/measured/control.csv`, and `cargo run -p borageshore_bench --bin capacity` writes the
//! page from both. A test checks that the page is what the files say.
//!
//! ```
//! use borageshore_bench::Slopes;
//!
//! let slopes = Slopes::parse("part,metric,size,value\np,m,1,10\np,m,2,20\np,m,3,30\n");
//! assert_eq!(slopes.at("p", "m", 6).round(), 60.0);
//! ```

mod page;
mod plan;
mod slopes;

pub use self::{
    page::render,
    plan::Plan,
    slopes::{ControlCost, Fit, Slopes},
};
