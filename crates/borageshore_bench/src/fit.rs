//! Linear regression through measured points.

/// A fitted line.
#[derive(Debug, Clone, Copy)]
pub struct Fit {
    /// The value at size 0.
    pub intercept: f64,
    /// The growth per unit of size.
    pub slope: f64,
    /// The largest distance of a point from the line, relative to the largest value.
    pub worst_miss: f64,
}

impl Fit {
    /// The least-squares line through points of size and value.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let variance: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        let slope = match variance > 0.0 {
            true => covariance / variance,
            false => 0.0,
        };
        let intercept = mean_value - slope * mean_size;
        let largest = points
            .iter()
            .map(|(_, value)| *value)
            .fold(f64::MIN_POSITIVE, f64::max);
        let miss = |(size, value): &(f64, f64)| (intercept + slope * size - value).abs() / largest;
        Self {
            intercept,
            slope,
            worst_miss: points.iter().map(miss).fold(0.0, f64::max),
        }
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
