//! Namespaces for names that callers choose, one for each organisation.

use std::sync::Arc;

/// Separates the organisation's prefix from the caller's name, which must not contain it.
const SEPARATOR: char = '~';
/// Longer organisation names are replaced by their digest, because keys of the store are short.
const MAX_PLAIN_BYTES: usize = 40;

/// Prefixes a caller's name with its organisation; `None` if the name contains the separator.
///
/// The same name in another organisation is a different object, which looks to the caller as if it did not exist.
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
        // A plain name contains no full stop, so a digest cannot collide with one.
        false => format!(".{}", blake3::hash(organisation.as_bytes()).to_hex()),
    }
}
