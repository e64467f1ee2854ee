//! The tables of a sweep: the same day at several sizes of a deployment.

/// The results of the day at one size.
#[derive(Debug, Clone, PartialEq)]
pub struct Play {
    /// The number of daemons.
    pub daemons: f64,
    /// The number of endpoints.
    pub endpoints: f64,
    /// The share of the requests that were served.
    pub served: f64,
    /// The worth of the day, as rated by the bench.
    pub worth: f64,
    /// The violations; empty if there were none.
    pub broken: String,
}

/// A metric at each size.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The name of the metric.
    pub name: String,
    /// The value of the middle daemon, or the middle time, at each size.
    pub middle: Vec<f64>,
    /// The value of the busiest daemon, or the longest time, at each size.
    pub most: Vec<f64>,
}

/// The results of a sweep.
#[derive(Debug, Default)]
pub struct Sweep {
    /// The deployment.
    pub deployment: String,
    /// The results at each size, smallest first.
    pub plays: Vec<Play>,
    /// The metrics.
    pub rows: Vec<Row>,
}

impl Sweep {
    /// Parses the printed tables of a sweep; other lines are ignored.
    pub fn parse(deployment: &str, text: &str) -> Self {
        let plays: Vec<Play> = text.lines().filter_map(play).collect();
        let row = |line| row(line, plays.len());
        Self {
            deployment: deployment.into(),
            rows: text.lines().filter_map(row).collect(),
            plays,
        }
    }

    /// Returns the metric of a name.
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.name == name)
    }

    /// Pairs of size and value at the sizes without violations: at others daemons do not do all their work,
    /// so their values are not comparable.
    pub fn points<'s>(&'s self, values: &'s [f64]) -> Vec<(f64, f64)> {
        let valid = self.plays.iter().zip(values);
        let valid = valid.filter(|(play, _)| play.broken.is_empty());
        valid.map(|(play, value)| (play.daemons, *value)).collect()
    }
}

/// Parses a line such as `sweep-30  28/300  0.78  0.776  1.000 ...`.
fn play(line: &str) -> Option<Play> {
    let mut fields = line.strip_prefix("sweep-")?.split_whitespace().skip(1);
    let (daemons, endpoints) = fields.next()?.split_once('/')?;
    let mut number = || fields.next()?.parse().ok();
    let (_score, worth, served): (f64, f64, f64) = (number()?, number()?, number()?);
    let broken = line.split_once("BROKEN: ").map_or("", |(_, broken)| broken);
    Some(Play {
        daemons: daemons.parse().ok()?,
        endpoints: endpoints.parse().ok()?,
        served,
        worth,
        broken: broken.split(" (").next().unwrap_or_default().trim().into(),
    })
}

/// Parses a line such as `daemon: memory MB   5.1 / 50.5   4.3 / 53.3 ...`, with one pair a size.
fn row(line: &str, sizes: usize) -> Option<Row> {
    let (name, values) = line.split_once("  ")?;
    let mut numbers = values
        .split_whitespace()
        .filter(|word| *word != "/")
        .map_while(|word| word.parse::<f64>().ok());
    let mut row = Row {
        name: name.into(),
        middle: Vec::new(),
        most: Vec::new(),
    };
    for _ in 0..sizes {
        row.middle.push(numbers.next()?);
        row.most.push(numbers.next()?);
    }
    (sizes > 0 && values.contains(" / ")).then_some(row)
}
