//! The settings tree: schema, inheritance, compare-and-set changes and the audit trail.
//!
//! Operators change settings only through [`SettingsChange`] records in the log. Every daemon
//! applies them with [`SettingsFold`], which accepts a change only if no edited key has changed
//! since the revision that the change is based on and the resulting tree is valid.
//!
//! ```
//! use borageshore_settings::{SettingsFold, SettingValue};
//!
//! let fold = SettingsFold::default();
//! let found = fold.tree().effective("root", "log_level").unwrap();
//! assert_eq!(found.value, SettingValue::Text("info".into()));
//! ```

mod audit;
mod change;
mod file;
mod fold;
mod schema;
mod tree;
mod validate;
mod value;

pub use self::{
    audit::{AuditEntry, AuditedEdit, Verdict},
    change::{Edit, SettingsChange, SettingsRecord},
    file::{
        FileFault, FileSetting, check_settings_file, edits_to_apply, malformed_file,
        parse_settings_file,
    },
    fold::{SettingsFold, SettingsSnapshot},
    schema::{Inheritance, KeySpec, NodeKind, SCHEMA, ValueSpec, key_spec},
    tree::{EffectiveSetting, Entry, Node, ROOT, SettingsTree},
    value::SettingValue,
};
