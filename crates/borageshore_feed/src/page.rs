//! Checks of what a peer passes on.

/// Why what a peer passed on is refused as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidPage {
    /// The topic has no such number, or was not asked for.
    UnknownTopic,
    /// An offset is negative, not ascending, or outside the page.
    Offsets,
    /// An age or a duration is negative or out of range.
    Age,
}

/// Checks the offsets of records that were requested from `from` on; returns where the next read continues.
pub fn check_offsets<Offsets>(
    from: u64,
    offsets: Offsets,
    next_offset: i64,
) -> Result<u64, InvalidPage>
where
    Offsets: IntoIterator<Item = i64>,
{
    let next_offset = u64::try_from(next_offset).map_err(|_| InvalidPage::Offsets)?;
    let mut expected = from;
    for offset in offsets {
        let offset = u64::try_from(offset).map_err(|_| InvalidPage::Offsets)?;
        if offset < expected || offset >= next_offset {
            return Err(InvalidPage::Offsets);
        }
        expected = offset + 1;
    }
    match next_offset >= from {
        true => Ok(next_offset),
        false => Err(InvalidPage::Offsets),
    }
}

/// When records were known to reach the end of the log, on the clock of a reader that sent its request at
/// `requested_at_ms`; `None` if that was before the clock began. The peer held the request for `held_ms`, and its records
/// were `age_ms` old when it answered.
///
/// The time never is too late, however long the answer was on its way: the peer answered `held_ms` after the request at the
/// soonest. The clock must count time spent suspended.
pub fn current_at_ms(
    requested_at_ms: u64,
    held_ms: i64,
    age_ms: i64,
) -> Result<Option<u64>, InvalidPage> {
    let held_ms = u64::try_from(held_ms).map_err(|_| InvalidPage::Age)?;
    let age_ms = u64::try_from(age_ms).map_err(|_| InvalidPage::Age)?;
    let answered_at_ms = requested_at_ms.checked_add(held_ms);
    let answered_at_ms = answered_at_ms.ok_or(InvalidPage::Age)?;
    Ok(answered_at_ms.checked_sub(age_ms))
}
