//! Generates `docs/CAPACITY.md` from sweeps over deployments of several sizes.
//!
//! `tools/run-sweep` saves the tables of sweeps under `docs/measured/`, and
//! `cargo run -p borageshore_bench --bin capacity` writes the page from them. A test checks that the page matches
//! the tables.
//!
//! ```
//! use borageshore_bench::Fit;
//!
//! let fit = Fit::through(&[(1.0, 10.0), (2.0, 20.0), (3.0, 30.0)]);
//! assert_eq!(fit.at(6.0).round(), 60.0);
//! ```

mod fit;
mod page;
mod sweep;

pub use self::{
    fit::Fit,
    page::render,
    sweep::{Play, Row, Sweep},
};
