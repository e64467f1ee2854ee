//! Names that callers choose, kept apart by organisation.

use std::sync::Arc;

/// Ends the organisation's part of a name; no caller's own name may have it.
const SEPARATOR: char = '~';
/// Longer names of organisations stand under their digest: keys of the store are short.
const MAX_PLAIN_BYTES: usize = 40;

/// The name under which a caller's own name is kept; `None` if no caller may choose that name.
///
/// What another organisation named the same is another thing, and cannot be told from what does not exist.
pub fn scoped(organisation: Option<&str>, name: &str) -> Option<Arc<str>> {
    if name.contains(SEPARATOR) {
        return None;
    }
    Some(match organisation {
        Some(organisation) => format!("{}{SEPARATOR}{name}", prefix_of(organisation)).into(),
        None => name.into(),
    })
}

fn prefix_of(organisation: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let is_short = !organisation.is_empty() && organisation.len() <= MAX_PLAIN_BYTES;
    match is_short && organisation.chars().all(is_plain) {
        true => organisation.to_owned(),
        // A plain name has no full stop.
        false => format!(".{}", blake3::hash(organisation.as_bytes()).to_hex()),
    }
}
