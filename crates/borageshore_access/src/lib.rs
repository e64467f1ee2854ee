//! Authorization of callers: organisations, their keys, and the permitted age of the view of them.
//!
//! Pure functions of data that is read elsewhere: no I/O, no clock.
//!
//! ```
//! use borageshore_access::{KeyDigest, Organisation, Organisations};
//! use borageshore_topology::Residency;
//!
//! let organisation = Organisation { name: "mill".into(), priority: None, residency: Residency::anywhere() };
//! let organisations = Organisations::open(vec![(organisation, vec![KeyDigest::of(b"k-1")])]);
//! let owner = organisations.owner_of(&KeyDigest::of(b"k-1")).unwrap();
//! assert_eq!(&*owner.name, "mill");
//! assert!(organisations.owner_of(&KeyDigest::of(b"k-2")).is_none());
//! ```

mod decision;
mod key;
mod organisations;
mod scope;

pub use self::{
    decision::{Access, Credentials, KeyView, authorize},
    key::KeyDigest,
    organisations::{Organisation, Organisations},
    scope::scoped,
};
