//! The value of one setting.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// A settings value as operators write it in YAML.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum SettingValue {
    /// `true` or `false`.
    Boolean(bool),
    /// A whole number, in the unit that the key's suffix names.
    Integer(u64),
    /// Text, a choice or the name of a node.
    Text(Arc<str>),
}

impl SettingValue {
    /// Reads command-line text: a boolean or whole number where it looks like one, text otherwise.
    pub fn from_text(text: &str) -> Self {
        if let Ok(flag) = text.parse() {
            return SettingValue::Boolean(flag);
        }
        match text.parse() {
            Ok(number) => SettingValue::Integer(number),
            Err(_) => SettingValue::Text(text.into()),
        }
    }

    /// The number, if it is one.
    pub fn as_integer(&self) -> Option<u64> {
        match self {
            SettingValue::Integer(number) => Some(*number),
            _ => None,
        }
    }

    /// The text, if it is one.
    pub fn as_text(&self) -> Option<&Arc<str>> {
        match self {
            SettingValue::Text(text) => Some(text),
            _ => None,
        }
    }
}

impl fmt::Display for SettingValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingValue::Boolean(flag) => write!(f, "{flag}"),
            SettingValue::Integer(number) => write!(f, "{number}"),
            SettingValue::Text(text) => write!(f, "{text}"),
        }
    }
}
