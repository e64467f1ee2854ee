//! Authorization of a request, from its key and the age of the view of keys.

use std::sync::Arc;

use crate::{
    key::KeyDigest,
    organisations::{Organisation, Organisations},
};

/// Requests are denied only by a view that was requested within this time, so that a daemon with an older view does
/// not refuse a key that was just added.
const MAX_DENIAL_AGE_MS: u64 = 300;

/// The credentials of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Credentials {
    /// The digest of the caller's key, if the request has one.
    pub key: Option<KeyDigest>,
    /// Whether the route accepts callers without a key.
    pub is_public: bool,
}

/// The age of the view of keys, and its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyView {
    /// The time since the view was requested, including suspension; `None` if nothing was read yet.
    pub age_ms: Option<u64>,
    /// A known key is accepted up to this age; `None` for no limit, so that a revoked key may be accepted for longer.
    pub max_age_ms: Option<u64>,
}

impl KeyView {
    /// Whether the view is recent enough to accept a key that it contains.
    ///
    /// Guards against a partitioned or suspended VM that accepts a key revoked in the meantime. The age counts from the
    /// read request, because a response may be processed long after it was sent.
    pub fn is_fresh(&self) -> bool {
        match (self.age_ms, self.max_age_ms) {
            (Some(age_ms), Some(max_ms)) => age_ms <= max_ms,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    fn may_deny(&self) -> bool {
        self.age_ms
            .is_some_and(|age_ms| age_ms <= MAX_DENIAL_AGE_MS)
    }
}

/// The outcome of authorization.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The request may proceed, on behalf of an organisation if its key has one.
    Granted(Option<Arc<Organisation>>),
    /// The key is unknown, or missing where one is required.
    Denied,
    /// The request would be denied, but the view must be refreshed first.
    Unconfirmed,
    /// The key is known, but the view is too old to accept it.
    ViewTooOld,
}

/// Authorizes a request from its credentials and the current view of keys.
pub fn authorize(organisations: &Organisations, credentials: Credentials, view: KeyView) -> Access {
    if !organisations.are_configured() {
        return Access::Granted(None);
    }
    let owner = credentials.key.and_then(|key| organisations.owner_of(&key));
    match owner {
        // A public route needs no key, so the age of the view does not matter.
        owner if credentials.is_public => Access::Granted(owner.cloned()),
        Some(owner) if view.is_fresh() => Access::Granted(Some(owner.clone())),
        Some(_) => Access::ViewTooOld,
        None if view.may_deny() => Access::Denied,
        None => Access::Unconfirmed,
    }
}
