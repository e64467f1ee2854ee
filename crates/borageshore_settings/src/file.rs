//! Settings files in YAML.
//!
//! A file holds `nodes`, a map from node name to its own keys:
//!
//! ```yaml
//! nodes:
//!   navua: { parent: root, lease_ttl_ms: 4000 }
//! ```

use std::{collections::BTreeMap, fmt, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::{
    change::{Edit, SettingsChange},
    fold::SettingsFold,
    tree::SettingsTree,
    validate::check_value,
    value::SettingValue,
};

/// One setting of a file with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileSetting {
    /// The node.
    pub node: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: SettingValue,
    /// The line of the value, counted from 1.
    pub line: u64,
}

/// A fault with its position in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFault {
    /// The file name as given by the user.
    pub file: String,
    /// The line, counted from 1, if known.
    pub line: Option<u64>,
    /// What is wrong.
    pub fault: Fault,
}

impl fmt::Display for FileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file, self.fault),
            None => write!(f, "{}: {}", self.file, self.fault),
        }
    }
}

impl std::error::Error for FileFault {}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    nodes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Spanned<SettingValue>>>,
}

/// Parses a settings file and checks each key against the schema; returns all faults.
pub fn parse_settings_file(file: &str, text: &str) -> Result<Vec<FileSetting>, Vec<FileFault>> {
    let parsed: SettingsFile =
        serde_saphyr::from_str(text).map_err(|error| vec![malformed_file(file, &error)])?;
    let settings = flatten(parsed);
    let mut faults: Vec<FileFault> = Vec::new();
    for setting in &settings {
        if let Err(fault) = check_value(&setting.node, &setting.key, &setting.value) {
            let line = Some(setting.line);
            faults.push(FileFault {
                file: file.into(),
                line,
                fault,
            });
        }
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

/// Parses a settings file and validates it as a complete tree, without nodes that exist only in a
/// running deployment.
pub fn check_settings_file(file: &str, text: &str) -> Result<Vec<FileSetting>, Vec<FileFault>> {
    let settings = parse_settings_file(file, text)?;
    match check_as_tree(file, &settings) {
        Some(fault) => Err(vec![fault]),
        None => Ok(settings),
    }
}

/// Builds the fault of a file that is not valid YAML or not of the expected shape.
pub fn malformed_file(file: &str, error: &serde_saphyr::Error) -> FileFault {
    let line = error.location().map(|location| location.line());
    let message = error.to_string();
    // The following lines are an excerpt of the file.
    let first_line = message.lines().next().unwrap_or_default();
    let fault = Fault::new(ResultCode::MalformedFile, first_line);
    FileFault {
        file: file.into(),
        line,
        fault,
    }
}

fn flatten(parsed: SettingsFile) -> Vec<FileSetting> {
    let mut settings = Vec::new();
    for (node, keys) in parsed.nodes {
        for (key, value) in keys {
            let line = value.referenced.line();
            settings.push(FileSetting {
                node: node.clone(),
                key,
                value: value.value,
                line,
            });
        }
    }
    settings
}

fn check_as_tree(file: &str, settings: &[FileSetting]) -> Option<FileFault> {
    let edits = edits_to_apply(&SettingsTree::default(), settings);
    let change = SettingsChange {
        actor: "check".into(),
        reason: "check".into(),
        edits,
    };
    let fault = SettingsFold::default().check(&change).err()?;
    // The detail starts with `node.key` or the node's name, which gives the line.
    let is_named = |setting: &&FileSetting| {
        let path = format!("{}.{}", setting.node, setting.key);
        fault.detail.starts_with(&path)
    };
    let line = settings.iter().find(is_named).map(|setting| setting.line);
    Some(FileFault {
        file: file.into(),
        line,
        fault,
    })
}

/// Returns the edits that apply a file to a tree; keys missing from the file are left unchanged.
pub fn edits_to_apply(tree: &SettingsTree, settings: &[FileSetting]) -> Vec<Edit> {
    let differs =
        |setting: &&FileSetting| tree.own(&setting.node, &setting.key) != Some(&setting.value);
    let to_edit = |setting: &FileSetting| Edit {
        node: setting.node.clone(),
        key: setting.key.clone(),
        value: Some(setting.value.clone()),
        based_on: tree.revision(&setting.node, &setting.key),
    };
    settings.iter().filter(differs).map(to_edit).collect()
}
