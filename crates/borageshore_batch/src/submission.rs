//! Submissions, their items and their results.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Many requests for tokens that were handed in at once and run later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Its id, chosen by the trainer, within its organisation.
    pub id: Arc<str>,
    /// Whose it is; nobody's where callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<Arc<str>>,
    /// The host of its route.
    pub host: Arc<str>,
    /// The path that it came under; with the host it selects the route.
    pub path: Arc<str>,
    /// The model that a trainer trains with it.
    pub model: Option<Arc<str>>,
    /// The oldest version of the weights that may make its tokens.
    pub min_version: u64,
    /// How many complete groups the trainer waits for; all of them if it does not say.
    pub target_groups: Option<usize>,
    /// The items, in the order of the submission.
    pub items: Vec<Item>,
}

impl Submission {
    /// Who trains with it, as far as it says; a submission without a model stands for itself.
    pub fn trainer(&self) -> &Arc<str> {
        self.model.as_ref().unwrap_or(&self.id)
    }

    /// The name under which what was made of an item is kept: another organisation's item of the same name is
    /// another one.
    pub fn scoped_item_id(&self, item: &Item) -> Arc<str> {
        match &self.organisation {
            Some(organisation) => format!("{organisation}/{}", item.id).into(),
            None => item.id.clone(),
        }
    }

    /// The tokens that its items are expected to make; an item without a hint counts as one.
    pub fn expected_tokens(&self) -> u64 {
        let hints = self.items.iter().map(|item| item.length_hint_tokens);
        hints.map(|hint| hint.unwrap_or(1)).sum()
    }
}

/// One request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its id.
    pub id: Arc<str>,
    /// Items of a group share their prompt.
    pub group: Arc<str>,
    /// Path and query at the engine.
    pub path: Arc<str>,
    /// Headers for the engine.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The body, encoded as it came.
    pub body_base64: Arc<str>,
    /// The trainer's estimate of the tokens that it will make; often far off.
    pub length_hint_tokens: Option<u64>,
    /// The call that scores its finished text.
    pub reward: Option<RewardCall>,
}

/// A call that scores a finished text; it may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardCall {
    /// Its request id.
    pub id: Arc<str>,
    /// The host of its route.
    pub host: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// The body, encoded as it came.
    pub body_base64: Arc<str>,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// Its whole text is there, and its score if it asked for one.
    Done,
    /// It will not be done.
    GivenUp,
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub item: Arc<str>,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events, separated by line feeds.
    pub output: String,
    /// The versions of the weights that made an event of the text, ascending.
    pub versions: Vec<u64>,
    /// The signature of the endpoint that scored it.
    pub score: Option<Arc<str>>,
}

/// A version of a model's weights that its trainer has named.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
}
