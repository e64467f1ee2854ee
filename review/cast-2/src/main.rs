//! Plays a case of the review: `review_cast_2 CASE FOLDER with|without` (the disruption). Exits with 1 if a rule was broken, with 0 if it held and
//! with 2 if the case could not be played.

mod base64;
mod daemons;
mod http;
mod memory;
mod record;
mod replicas;
mod stop;
mod store;
mod world;

use std::{path::PathBuf, process::ExitCode};

/// What a case showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotPlayed,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or(".".into()));
    let has_trouble = match arguments.next().as_deref() {
        Some("with") => true,
        Some("without") => false,
        _ => return ExitCode::from(2),
    };
    let verdict = match case.as_str() {
        "stop" => stop::play(&folder, has_trouble),
        "items" => memory::play(&folder, has_trouble, memory::MANY_ITEMS),
        "bodies" => memory::play(&folder, has_trouble, memory::LARGE_BODIES),
        _ => Verdict::NotPlayed,
    };
    match verdict {
        Verdict::Held => ExitCode::from(0),
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotPlayed => ExitCode::from(2),
    }
}
