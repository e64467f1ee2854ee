//! The tables of a sweep: one day at several sizes of a deployment.

/// The day at one size.
#[derive(Debug, Clone, PartialEq)]
pub struct Play {
    /// Daemons.
    pub daemons: f64,
    /// Endpoints.
    pub endpoints: f64,
    /// The share of the requests that were served.
    pub served: f64,
    /// What the users say the day was worth.
    pub worth: f64,
    /// The promises that were broken; empty if none was.
    pub broken: String,
}

/// A figure at each size.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// What it measures.
    pub name: String,
    /// Of the daemon, or the time, in the middle.
    pub middle: Vec<f64>,
    /// Of the busiest daemon, or the longest time.
    pub most: Vec<f64>,
}

/// A sweep.
#[derive(Debug, Default)]
pub struct Sweep {
    /// The deployment.
    pub deployment: String,
    /// The sizes, smallest first.
    pub plays: Vec<Play>,
    /// The figures.
    pub rows: Vec<Row>,
}

impl Sweep {
    /// Reads the text of a sweep; lines of another shape are passed over.
    pub fn parse(deployment: &str, text: &str) -> Self {
        let plays: Vec<Play> = text.lines().filter_map(play).collect();
        let row = |line| row(line, plays.len());
        Self {
            deployment: deployment.into(),
            rows: text.lines().filter_map(row).collect(),
            plays,
        }
    }

    /// A figure by its name.
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.name == name)
    }

    /// Sizes and values of a row, of those sizes at which no promise was broken: beyond them a daemon does not
    /// do its work, and its figures say nothing.
    pub fn points<'s>(&'s self, values: &'s [f64]) -> Vec<(f64, f64)> {
        let sound = self.plays.iter().zip(values);
        let sound = sound.filter(|(play, _)| play.broken.is_empty());
        sound.map(|(play, value)| (play.daemons, *value)).collect()
    }
}

/// A line such as `sweep-30  28/300  0.78  0.776  1.000 ...`.
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

/// A line such as `daemon: memory MB   5.1 / 50.5   4.3 / 53.3 ...`, with one pair a size.
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
