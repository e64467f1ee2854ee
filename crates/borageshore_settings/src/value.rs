//! Settings values.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// A settings value as written in YAML.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum SettingValue {
    /// `true` or `false`.
    Boolean(bool),
    /// An integer, in the unit of the key's suffix.
    Integer(u64),
    /// Text, a choice or a node name.
    Text(Arc<str>),
}

impl SettingValue {
    /// Parses command-line text as a boolean, else as an integer, else as text.
    pub fn from_text(text: &str) -> Self {
        if let Ok(flag) = text.parse() {
            return SettingValue::Boolean(flag);
        }
        match text.parse() {
            Ok(number) => SettingValue::Integer(number),
            Err(_) => SettingValue::Text(text.into()),
        }
    }

    /// Returns the integer, if the value is one.
    pub fn as_integer(&self) -> Option<u64> {
        match self {
            SettingValue::Integer(number) => Some(*number),
            _ => None,
        }
    }

    /// Returns the text, if the value is one.
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
