//! Selection of the daemon that performs a duty.

use std::sync::Arc;

use borageshore_base::first_by_rendezvous;

/// Selects the holder of a duty among `candidates`, the daemons that accept work.
///
/// The previous holder stays while it is a candidate, so that the duty does not move back and forth when a daemon
/// returns; otherwise rendezvous hashing selects.
pub fn choose_holder<'a>(
    duty: &str,
    previous: Option<&'a Arc<str>>,
    candidates: &'a [Arc<str>],
) -> Option<&'a str> {
    match previous {
        Some(previous) if candidates.contains(previous) => Some(previous),
        _ => {
            let names = candidates.iter().map(|name| &**name);
            first_by_rendezvous(duty, names)
        }
    }
}
