//! Prints the tables of result codes and settings keys that the documentation contains.
//!
//! `cargo run --example reference_tables codes` or `... settings`.

use borageshore::{
    base::ResultCode,
    settings::{Inheritance, SCHEMA, ValueSpec},
};

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("codes") => codes(),
        Some("settings") => settings(),
        _ => eprintln!("expected one argument: codes or settings"),
    }
}

fn codes() {
    println!("| code | HTTP | meaning |\n|---|---|---|");
    for code in ResultCode::ALL {
        println!("| {code} | {} | {} |", code.http_status(), code.meaning());
    }
}

fn settings() {
    println!("| key | values | default | where | meaning |\n|---|---|---|---|---|");
    for spec in SCHEMA {
        let values = match spec.values {
            ValueSpec::Integer {
                minimum,
                maximum: u64::MAX,
            } => format!("{minimum} or more"),
            ValueSpec::Integer { minimum, maximum } => format!("{minimum} to {maximum}"),
            ValueSpec::Choice(words) => words.join(", "),
            ValueSpec::Text { max_bytes } => format!("text, up to {max_bytes} bytes"),
            ValueSpec::NodeName => "a node".into(),
            ValueSpec::ServiceName => "a service node".into(),
        };
        let place = match spec.inheritance {
            Inheritance::Inherited => "any node, inherited",
            Inheritance::NodeOnly => "its own node",
            Inheritance::RootOnly => "root only",
        };
        println!(
            "| `{}` | {values} | {} | {place} | {} |",
            spec.name,
            spec.default.unwrap_or("none"),
            spec.meaning
        );
    }
}
