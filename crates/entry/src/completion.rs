//! How answers are written, in the usual shape of completions.

use base::ids::RequestId;
use serde::Serialize;
use wire::Chunk;

use crate::error::RequestError;

/// Ends a stream of events, by the usual protocol.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// How the answer to one request is written.
#[derive(Debug, Clone)]
pub struct CompletionWriter {
    id: String,
    model: String,
    chat: bool,
    prompt: u32,
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
    /// Prepares to write the answer to one request.
    #[must_use]
    pub fn new(ticket: RequestId, model: &str, chat: bool, prompt: u32) -> Self {
        Self {
            id: ticket.to_string(),
            model: model.to_owned(),
            chat,
            prompt,
        }
    }

    /// A whole answer of `tokens` tokens, as JSON.
    #[must_use]
    pub fn full_body(&self, text: &[u8], finish: &str, tokens: u32) -> Vec<u8> {
        let text = String::from_utf8_lossy(text);
        let usage = Usage {
            prompt_tokens: self.prompt,
            completion_tokens: tokens,
            total_tokens: self.prompt.saturating_add(tokens),
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
            finish_reason: Some(finish),
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

    /// Appends an event for each piece.
    pub fn write_chunks(&self, out: &mut Vec<u8>, write_chunks: &[Chunk]) {
        for piece in write_chunks {
            let text = String::from_utf8_lossy(&piece.data);
            self.event(out, &text, None);
        }
    }

    /// Appends the events that end a whole answer.
    pub fn write_end(&self, out: &mut Vec<u8>, finish: &str) {
        self.event(out, "", Some(finish));
        out.extend_from_slice(DONE);
    }

    /// Appends the event that ends an answer that broke off. No end mark
    /// follows, so that no client takes the answer for a whole one.
    pub fn write_error(&self, out: &mut Vec<u8>, refused: &RequestError) {
        out.extend_from_slice(b"data: ");
        // Writing to memory cannot fail.
        let _ = serde_json::to_writer(&mut *out, &refused.body());
        out.extend_from_slice(b"\n\n");
    }

    fn event(&self, out: &mut Vec<u8>, text: &str, finish: Option<&str>) {
        let choice = Choice {
            index: 0,
            text: (!self.chat).then_some(text),
            delta: self.chat.then_some(Content {
                role: "assistant",
                content: text,
            }),
            message: None,
            finish_reason: finish,
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
