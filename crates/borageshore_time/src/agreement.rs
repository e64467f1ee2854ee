//! Intersection of clock readings, as in Marzullo's algorithm.

/// A closed interval that contains an unknown value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interval {
    /// The lower bound.
    pub low: i64,
    /// The upper bound.
    pub high: i64,
}

/// The intersection of the largest group of overlapping intervals, if that is more than half of all intervals.
///
/// Clocks that were stepped are seconds away from the others and overlap with a minority or none.
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
