//! Measured points and straight lines through them.

#[derive(Debug, Clone)]
struct Point {
    part: String,
    metric: String,
    size: f64,
    value: f64,
}

/// A straight line.
#[derive(Debug, Clone, Copy)]
pub struct Fit {
    /// The value at size 0.
    pub intercept: f64,
    /// The growth for one more.
    pub slope: f64,
    /// The largest distance of a point from the line, as a share of the largest value.
    pub worst_miss: f64,
}

/// All points of `slopes.csv`.
#[derive(Debug)]
pub struct Slopes {
    points: Vec<Point>,
}

impl Slopes {
    /// Reads the file; lines of another shape are passed over.
    pub fn parse(csv: &str) -> Self {
        let point = |line: &str| {
            let mut fields = line.split(',');
            Some(Point {
                part: fields.next()?.into(),
                metric: fields.next()?.into(),
                size: fields.next()?.parse().ok()?,
                value: fields.next()?.parse().ok()?,
            })
        };
        Self {
            points: csv.lines().filter_map(point).collect(),
        }
    }

    fn of<'s>(&'s self, part: &'s str, metric: &'s str) -> impl Iterator<Item = &'s Point> {
        self.points
            .iter()
            .filter(move |point| point.part == part && point.metric == metric)
    }

    /// The parts and metrics in the order of the file.
    pub fn names(&self) -> Vec<(&str, &str)> {
        let mut names: Vec<(&str, &str)> = Vec::new();
        for point in &self.points {
            let name = (&*point.part, &*point.metric);
            if !names.contains(&name) {
                names.push(name);
            }
        }
        names
    }

    /// The least-squares line.
    pub fn fit(&self, part: &str, metric: &str) -> Fit {
        let points: Vec<&Point> = self.of(part, metric).collect();
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let variance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = mean_value - slope * mean_size;
        let largest = points
            .iter()
            .map(|point| point.value)
            .fold(f64::MIN_POSITIVE, f64::max);
        let miss = |point: &&Point| (intercept + slope * point.size - point.value).abs() / largest;
        let worst_miss = points.iter().map(miss).fold(0.0, f64::max);
        Fit {
            intercept,
            slope,
            worst_miss,
        }
    }

    /// The largest size measured.
    pub fn largest_size(&self, part: &str, metric: &str) -> f64 {
        self.of(part, metric)
            .map(|point| point.size)
            .fold(0.0, f64::max)
    }

    /// The value at a size: as measured where it was, on the line elsewhere.
    pub fn at(&self, part: &str, metric: &str, size: u64) -> f64 {
        let size = size as f64;
        let measured = self
            .of(part, metric)
            .find(|point| (point.size - size).abs() < 0.5);
        let fit = self.fit(part, metric);
        measured.map_or(fit.intercept + fit.slope * size, |point| point.value)
    }
}

/// One line of `control.csv`: what control cost a real process.
#[derive(Debug, Clone, Copy)]
pub struct ControlCost {
    /// Daemons on the machine.
    pub daemons: u64,
    /// Share of a core.
    pub processor_percent: f64,
    /// Control bytes sent a second.
    pub sent: f64,
    /// Control bytes received a second.
    pub received: f64,
    /// Resident memory.
    pub resident_mb: f64,
    /// Median time from the log to in force.
    pub in_force_ms_median: f64,
    /// Largest time from the log to in force.
    pub in_force_ms_largest: f64,
}

impl ControlCost {
    /// Reads the file.
    pub fn parse(csv: &str) -> Vec<Self> {
        let cost = |line: &str| {
            let fields: Vec<f64> = line
                .split(',')
                .filter_map(|field| field.parse().ok())
                .collect();
            let [
                daemons,
                processor_percent,
                sent,
                received,
                resident_mb,
                median,
                largest,
            ] = fields[..]
            else {
                return None;
            };
            Some(Self {
                daemons: daemons as u64,
                processor_percent,
                sent,
                received,
                resident_mb,
                in_force_ms_median: median,
                in_force_ms_largest: largest,
            })
        };
        csv.lines().filter_map(cost).collect()
    }
}
