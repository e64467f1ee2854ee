//! What most of several intervals agree on.

/// A value with its inaccuracy: it lies between two bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interval {
    /// The least that it can be.
    pub low: i64,
    /// The most that it can be.
    pub high: i64,
}

/// The part that more than half of the intervals have in common, where there is one.
///
/// Clocks that were stepped lie seconds away from the others and agree with nobody, or with fewer.
pub fn majority_intersection(intervals: &[Interval]) -> Option<Interval> {
    let mut best: Option<(usize, Interval)> = None;
    for candidate in intervals {
        let low = candidate.low;
        let overlapping = intervals
            .iter()
            .filter(|other| other.low <= low && low <= other.high);
        let high = overlapping.clone().map(|other| other.high).min()?;
        let count = overlapping.count();
        if best.is_none_or(|(best_count, _)| count > best_count) {
            best = Some((count, Interval { low, high }));
        }
    }
    let (count, common) = best?;
    (count * 2 > intervals.len()).then_some(common)
}
