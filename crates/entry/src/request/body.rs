//! The fields of a completion's body that matter for routing. The body itself is
//! forwarded unchanged.

use base::reason::Refusal;
use serde::Deserialize;

use crate::error::RequestError;

/// Approximate number of bytes per prompt token. The latency estimates correct
/// the error with the token counts that engines report.
const TOKEN_BYTES: usize = 4;

/// Length of the prompt prefix that determines cache affinity, in bytes.
const PREFIX_BYTES: usize = 1024;

/// Body of a chat completion or completion request, in the OpenAI format.
#[derive(Debug, Default, Deserialize)]
pub struct Body {
    /// The requested model or class.
    pub model: Option<String>,
    /// Whether the caller wants the answer streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens of the answer.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Number of answers; only 1 is supported.
    n: Option<u32>,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
}

/// Prompt of a completion.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

/// Message of a chat completion. An assistant message that only calls tools has
/// no content.
#[derive(Debug, Deserialize)]
struct Message {
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

/// A part of a message; only text parts have `text`.
#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

impl Body {
    /// Parses a body and checks its required fields.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller.
    pub fn parse(raw: &[u8], chat: bool) -> Result<Self, RequestError> {
        let bad = |hint: &str| RequestError::not_run(Refusal::BadRequest, hint);
        let body: Self = serde_json::from_slice(raw)
            .map_err(|e| bad(&format!("the body is not a completion: {e}")))?;

        if chat && body.messages.as_ref().is_none_or(Vec::is_empty) {
            return Err(bad("messages: expected a list with at least one message"));
        }
        if !chat && body.prompt.is_none() {
            return Err(bad("prompt: expected a string or a list of strings"));
        }
        if body.n.is_some_and(|n| n != 1) {
            return Err(bad(
                "n: only one answer can be given, send 1 or leave it out",
            ));
        }
        if body.max_tokens == Some(0) {
            return Err(bad("max_tokens: expected a number above 0"));
        }
        Ok(body)
    }

    /// Estimated size of the prompt, in tokens.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        let bytes: usize = self.texts().map(str::len).sum();
        u32::try_from(bytes / TOKEN_BYTES)
            .unwrap_or(u32::MAX)
            .max(1)
    }

    /// Hash of the prompt's prefix, for cache affinity.
    #[must_use]
    pub fn prefix_hash(&self) -> u64 {
        let mut prefix = Vec::with_capacity(PREFIX_BYTES);
        for text in self.texts() {
            let left = PREFIX_BYTES - prefix.len();
            prefix.extend_from_slice(&text.as_bytes()[..text.len().min(left)]);
        }
        rapidhash::v3::rapidhash_v3(&prefix)
    }

    /// The texts of the prompt, in order.
    fn texts(&self) -> impl Iterator<Item = &str> {
        let prompts = self.prompt.iter().flat_map(|prompt| match prompt {
            Prompt::One(text) => std::slice::from_ref(text).iter(),
            Prompt::Many(texts) => texts.iter(),
        });
        let contents = self
            .messages
            .iter()
            .flatten()
            .filter_map(|m| m.content.as_ref());
        let texts = contents.flat_map(|content| match content {
            Content::Text(text) => vec![text.as_str()],
            Content::Parts(parts) => parts.iter().map(|p| p.text.as_str()).collect(),
        });
        prompts.map(String::as_str).chain(texts)
    }
}
