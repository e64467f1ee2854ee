//! Loads Navua's settings into a tree and prints each effective value of the node `clerks` with its origin.
//!
//! `cargo run --example explain_settings`

use borageshore::{
    log::{Envelope, Fold},
    settings::{
        SCHEMA, SettingsChange, SettingsFold, SettingsRecord, SettingsTree, check_settings_file,
        edits_to_apply,
    },
};

fn main() {
    let text = include_str!("navua/settings.yaml");
    let settings = check_settings_file("navua/settings.yaml", text).expect("the example is valid");
    let change = SettingsChange {
        actor: "example".into(),
        reason: "show inheritance".into(),
        edits: edits_to_apply(&SettingsTree::default(), &settings),
    };
    let mut fold = SettingsFold::default();
    let body = SettingsRecord::Change(change);
    fold.apply(
        0,
        0,
        &Envelope {
            writer: "example".into(),
            sequence: 1,
            body,
        },
    );
    for spec in SCHEMA {
        if let Some(found) = fold.tree().effective("clerks", spec.name) {
            let origin = found.from_node.as_deref().unwrap_or("the schema");
            println!(
                "{:28} {:20} from {origin}",
                spec.name,
                found.value.to_string()
            );
        }
    }
}
