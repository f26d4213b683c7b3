//! Shared operators, records and an in-memory log.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use base::ids::{BundleSequence, Offset};
use bundle::hash::Hash;
use bundle::record::{Header, content_operators, operators_hash};
use bundle::{Acceptor, Content, Operators, Payload, Record, SecretKey, SignedHeader, Verdict};
use serde_json::json;

/// The operators of most tests.
pub(crate) fn awa() -> SecretKey {
    SecretKey::from_secret("awa", &[1; 32])
}

pub(crate) fn luz() -> SecretKey {
    SecretKey::from_secret("luz", &[2; 32])
}

pub(crate) fn mallory() -> SecretKey {
    SecretKey::from_secret("mallory", &[3; 32])
}

pub(crate) fn operators(keys: &[SecretKey]) -> Operators {
    let pair = |k: &SecretKey| (k.operator.clone(), k.public_key.clone());
    keys.iter().map(pair).collect()
}

pub(crate) fn trust() -> Operators {
    operators(&[awa(), luz()])
}

/// Content with one model named `model`.
pub(crate) fn content(model: &str, operators: &Operators) -> Content {
    let json = json!({
        "operators": operators,
        "workspaces": { "mairie": { "tokens": [], "classes": ["counter"], "weight": 1 } },
        "models": { model: { "version": model } },
    });
    Content::from_json(&json).expect("valid test content")
}

/// Signs the header of the version after `reader`'s, with content `to`.
pub(crate) fn next_header(reader: &Acceptor, key: &SecretKey, to: &Content) -> SignedHeader {
    let parent = reader.head().map(|h| h.signed.id());
    let header = Header {
        sequence: BundleSequence(reader.sequence().0 + 1),
        parent: parent.unwrap_or_default(),
        digest: to.digest(),
        operators: operators_hash(&content_operators(to)),
        operator: key.operator.clone(),
        restores: None,
    };
    SignedHeader::new(header, key).expect("valid test key")
}

pub(crate) fn change(reader: &Acceptor, key: &SecretKey, to: &Content) -> Record {
    Record::Change {
        signed: next_header(reader, key, to),
        payload: Payload::Delta(reader.content().patch_to(to)),
    }
}

/// An in-memory log whose oldest records can expire.
#[derive(Debug, Default)]
pub(crate) struct MemoryLog {
    pub(crate) first: u64,
    pub(crate) records: Vec<Vec<u8>>,
}

impl MemoryLog {
    pub(crate) fn end(&self) -> u64 {
        self.records.len() as u64
    }

    pub(crate) fn append(&mut self, record: &Record) -> Offset {
        self.records.push(record.bytes());
        Offset(self.end() - 1)
    }

    /// Lets `reader` process up to `limit` records and returns the verdicts.
    pub(crate) fn read(&self, reader: &mut Acceptor, limit: usize) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        while verdicts.len() < limit {
            reader.skip_expired(Offset(self.first));
            let at = reader.next_offset().0;
            let Some(bytes) = self.records.get(at as usize) else {
                break;
            };
            verdicts.push(reader.apply(Offset(at), bytes));
        }
        verdicts
    }

    pub(crate) fn read_all(&self, reader: &mut Acceptor) -> Vec<Verdict> {
        self.read(reader, usize::MAX)
    }
}

pub(crate) fn id(reader: &Acceptor) -> Option<Hash> {
    reader.head().map(|h| h.signed.id())
}
