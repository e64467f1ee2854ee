//! Types shared by the workspace: result codes, a sorted map and rendezvous hashing.
//!
//! ```
//! use borageshore_base::SortedMap;
//!
//! let mut ages_ms = SortedMap::default();
//! ages_ms.insert("b", 2);
//! ages_ms.insert("a", 1);
//! assert_eq!(ages_ms.keys().collect::<Vec<_>>(), [&"a", &"b"]);
//! ```

mod code;
mod rendezvous;
mod sorted_map;

pub use self::{
    code::{Fault, ResultCode},
    rendezvous::{first_by_rendezvous, rank_by_rendezvous, rank_within, rendezvous_weight},
    sorted_map::SortedMap,
};
