//! Log lines that say nothing new when they are repeated.

use std::{
    cell::RefCell,
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
};

/// The maximum number of subjects that are remembered; then all are forgotten.
const MAX_SUBJECTS: usize = 4_096;

/// Remembers which subjects were logged, so that a condition that lasts, or comes back with each read, takes one line. Its
/// clones share what they remember.
///
/// ```
/// use borageshore_diagnostics::LogOnce;
///
/// let unreadable = LogOnce::default();
/// assert!(unreadable.is_new(&("topic", "key")));
/// assert!(!unreadable.is_new(&("topic", "key")));
/// ```
#[derive(Debug, Clone, Default)]
pub struct LogOnce {
    /// The hashes of the subjects, sorted.
    logged: Rc<RefCell<Vec<u64>>>,
}

impl LogOnce {
    /// Returns whether a subject was not logged before, and remembers it.
    pub fn is_new<Subject>(&self, subject: &Subject) -> bool
    where
        Subject: Hash,
    {
        let mut hasher = DefaultHasher::new();
        subject.hash(&mut hasher);
        let subject = hasher.finish();
        let mut logged = self.logged.borrow_mut();
        let Err(position) = logged.binary_search(&subject) else {
            return false;
        };
        if logged.len() < MAX_SUBJECTS {
            logged.insert(position, subject);
        } else {
            *logged = vec![subject];
        }
        true
    }
}
