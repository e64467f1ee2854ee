//! Whether a request may go on, from its key and the age of what is known of keys.

use std::sync::Arc;

use crate::{
    key::KeyDigest,
    organisations::{Organisation, Organisations},
};

/// A denial is said from a view that was asked for within this time, so that a key which was just added is not
/// refused by a daemon that has not heard of it.
const MAX_DENIAL_AGE_MS: u64 = 300;

/// What a request says of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Credentials {
    /// Its key, if it has one.
    pub key: Option<KeyDigest>,
    /// Whether its route takes callers without a key.
    pub is_public: bool,
}

/// How old what is known of keys is, and may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyView {
    /// The time since it was asked for, suspensions included; `None` if nothing was read yet.
    pub age_ms: Option<u64>,
    /// A key is good within this age; `None` where a key that was taken away may be good for longer.
    pub max_age_ms: Option<u64>,
}

impl KeyView {
    /// Says whether a key that it has is good.
    ///
    /// Guards against a VM that is cut off or was suspended: it serves a key that was taken away meanwhile. The age
    /// counts from the question, as an answer may be read long after it was given.
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

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// It may go on, in the name of an organisation if it has one.
    Granted(Option<Arc<Organisation>>),
    /// Its key is not known, or it has none and needs one.
    Denied,
    /// The view must be confirmed before it is denied.
    Unconfirmed,
    /// Its key cannot be relied on: the view is too old.
    ViewTooOld,
}

/// Decides about a request.
pub fn authorize(organisations: &Organisations, credentials: Credentials, view: KeyView) -> Access {
    if !organisations.are_configured() {
        return Access::Granted(None);
    }
    let owner = credentials.key.and_then(|key| organisations.owner_of(&key));
    match owner {
        // Without a key it would run as well.
        owner if credentials.is_public => Access::Granted(owner.cloned()),
        Some(owner) if view.is_fresh() => Access::Granted(Some(owner.clone())),
        Some(_) => Access::ViewTooOld,
        None if view.may_deny() => Access::Denied,
        None => Access::Unconfirmed,
    }
}
