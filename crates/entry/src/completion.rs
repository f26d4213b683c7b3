//! Serializes answers in the OpenAI format of chat completions and completions.

use base::ids::RequestId;
use serde::Serialize;
use wire::Chunk;

use crate::error::RequestError;

/// The event that ends a complete event stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Serializes the answer to one request.
#[derive(Debug, Clone)]
pub struct CompletionWriter {
    id: String,
    model: String,
    chat: bool,
    prompt_tokens: u32,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Content<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Content<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl CompletionWriter {
    /// Creates the writer for one request.
    #[must_use]
    pub fn new(ticket: RequestId, model: &str, chat: bool, prompt_tokens: u32) -> Self {
        Self {
            id: ticket.to_string(),
            model: model.to_owned(),
            chat,
            prompt_tokens,
        }
    }

    /// A complete answer of `tokens` tokens, as JSON.
    #[must_use]
    pub fn full_body(&self, text: &[u8], finish_reason: &str, tokens: u32) -> Vec<u8> {
        let text = String::from_utf8_lossy(text);
        let usage = Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens.saturating_add(tokens),
        };
        let content = Content {
            role: "assistant",
            content: &text,
        };
        let choice = Choice {
            index: 0,
            text: (!self.chat).then_some(&*text),
            delta: None,
            message: self.chat.then_some(content),
            finish_reason: Some(finish_reason),
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let mut out = Vec::with_capacity(text.len() + 256);
        self.write(&mut out, object, choice, Some(usage));
        out
    }

    /// Appends an event for each chunk.
    pub fn write_chunks(&self, out: &mut Vec<u8>, chunks: &[Chunk]) {
        for chunk in chunks {
            let text = String::from_utf8_lossy(&chunk.data);
            self.event(out, &text, None);
        }
    }

    /// Appends the events that end a complete answer.
    pub fn write_end(&self, out: &mut Vec<u8>, finish_reason: &str) {
        self.event(out, "", Some(finish_reason));
        out.extend_from_slice(DONE_EVENT);
    }

    /// Appends the error event that ends an interrupted answer. No `[DONE]`
    /// follows, so that no client treats the answer as complete.
    pub fn write_error(&self, out: &mut Vec<u8>, error: &RequestError) {
        out.extend_from_slice(b"data: ");
        // Writing to memory cannot fail.
        let _ = serde_json::to_writer(&mut *out, &error.body());
        out.extend_from_slice(b"\n\n");
    }

    fn event(&self, out: &mut Vec<u8>, text: &str, finish_reason: Option<&str>) {
        let choice = Choice {
            index: 0,
            text: (!self.chat).then_some(text),
            delta: self.chat.then_some(Content {
                role: "assistant",
                content: text,
            }),
            message: None,
            finish_reason,
        };
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        out.extend_from_slice(b"data: ");
        self.write(out, object, choice, None);
        out.extend_from_slice(b"\n\n");
    }

    fn write(&self, out: &mut Vec<u8>, object: &str, choice: Choice<'_>, usage: Option<Usage>) {
        let completion = Completion {
            id: &self.id,
            object,
            model: &self.model,
            choices: [choice],
            usage,
        };
        // Writing to memory cannot fail.
        let _ = serde_json::to_writer(out, &completion);
    }
}
