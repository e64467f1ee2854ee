//! Where VMs and endpoints are, and where requests may be served: availability zones, regions, distances and residency.
//!
//! Pure functions of the settings and the routes: no I/O, no clock.
//!
//! ```
//! use borageshore_topology::{Distance, Residency, Topology};
//!
//! let zones = vec![("a1".into(), "north".into()), ("a2".into(), "north".into()), ("b1".into(), "south".into())];
//! let topology = Topology::open("a1".into(), zones);
//! assert_eq!(topology.distance_to("a2"), Distance::SameRegion);
//! assert_eq!(topology.distance_to("b1"), Distance::OtherRegion);
//!
//! let residency = Residency::within(vec!["north".into()]);
//! assert!(topology.allows(&residency, "a2"));
//! assert!(!topology.allows(&residency, "b1"));
//! ```

mod directory;
mod residency;
mod topology;

pub use self::{
    directory::directory_regions,
    residency::Residency,
    topology::{Distance, Topology},
};
