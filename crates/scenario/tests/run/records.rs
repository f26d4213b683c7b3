//! Bundles and claims in the log's order, as many readers see them.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;

use base::clock::{Clock, ManualClock};
use base::ids::{BundleSequence, Offset, RequestId};
use bundle::record::{Header, content_operators, operators_hash};
use bundle::{
    Acceptor, Content, Hash, Operators, Payload, Record, SecretKey, SignedHeader, Verdict,
};
use claims::record::{ClaimRequest, TicketText};
use claims::table::ClaimTable;
use serde_json::json;

use crate::Said;
use crate::words::Words;

/// How long a claim owns its key, in milliseconds.
const WINDOW_MS: u64 = 60_000;

/// The log with its readers.
#[derive(Default)]
pub(crate) struct Records {
    /// The offset of the oldest record that is left.
    first: u64,
    log: Vec<Vec<u8>>,
    /// Records that operators made and did not append yet.
    made: BTreeMap<String, Record>,
    readers: BTreeMap<String, Acceptor>,
    claims: Vec<(u64, String)>,
    tables: BTreeMap<String, ClaimTable>,
}

impl Records {
    pub(crate) fn run(&mut self, clock: &ManualClock, words: &Words) -> Said {
        match words.name.as_str() {
            "reader" => self.reader(words),
            "publish" => self.publish(words),
            "append" => self.append(words),
            "read" => self.read(words),
            "expire" => self.expire(words),
            "checkpoint" => self.checkpoint(words),
            "force" => self.force(words),
            "adopt" => self.adopt(words),
            _ => self.claim(clock, words),
        }
    }

    /// Adds fresh readers: `reader a b`.
    fn reader(&mut self, words: &Words) -> Said {
        for name in words.plain() {
            self.readers.insert(name.to_owned(), Acceptor::new(trust()));
        }
        Ok(String::new())
    }

    /// An operator makes the next version after what a reader holds, without
    /// appending it: `publish RECORD by=awa as=a mark=one`.
    fn publish(&mut self, words: &Words) -> Said {
        let key = key(words.key("by").unwrap_or("awa"));
        let reader = self
            .readers
            .get(words.key("as").unwrap_or("a"))
            .ok_or("no such reader")?;
        let content = content(words.key("mark").unwrap_or("one"))?;
        let parent = reader.head().map(|h| h.signed.id());
        let header = Header {
            sequence: BundleSequence(reader.sequence().0 + 1),
            parent: parent.unwrap_or_default(),
            digest: content.digest(),
            operators: operators_hash(&content_operators(&content)),
            operator: key.operator.clone(),
            restores: None,
        };
        let record = Record::Change {
            signed: SignedHeader::new(header, &key)?,
            payload: Payload::Delta(reader.content().patch_to(&content)),
        };
        self.made.insert(words.at(0)?.to_owned(), record);
        Ok(String::new())
    }

    /// Appends records in order: `append RECORD...`; the same one may be
    /// appended again.
    fn append(&mut self, words: &Words) -> Said {
        let mut out = String::new();
        for name in words.plain() {
            let record = self.made.get(name).ok_or("no such record")?;
            self.log.push(record.bytes());
            writeln!(out, "{name} at {}", self.log.len() - 1)?;
        }
        Ok(out)
    }

    /// Lets readers read to the end: `read a b`.
    fn read(&mut self, words: &Words) -> Said {
        let mut out = String::new();
        for name in words.plain() {
            let reader = self.readers.get_mut(name).ok_or("no such reader")?;
            loop {
                reader.skip_expired(Offset(self.first));
                let at = reader.next_offset();
                let Some(bytes) = self.log.get(at.0 as usize) else {
                    break;
                };
                let verdict = reader.apply(at, bytes);
                writeln!(out, "{name} {at} {}", shown(&verdict))?;
            }
        }
        Ok(out)
    }

    /// Lets the log forget everything before an offset: `expire 3`.
    fn expire(&mut self, words: &Words) -> Said {
        self.first = words.parse(0)?;
        Ok(String::new())
    }

    /// A reader appends a checkpoint: `checkpoint a`.
    fn checkpoint(&mut self, words: &Words) -> Said {
        let reader = self.readers.get(words.at(0)?).ok_or("no such reader")?;
        let records = reader.checkpoint_records();
        if records.is_empty() {
            return Ok("nothing to vouch for\n".to_owned());
        }
        self.log.extend(records.iter().map(Record::bytes));
        Ok(format!("at {}\n", self.log.len() - 1))
    }

    /// Says which version readers hold: `force a b`.
    fn force(&mut self, words: &Words) -> Said {
        let mut out = String::new();
        for name in words.plain() {
            let reader = self.readers.get(name).ok_or("no such reader")?;
            let mark = reader
                .content()
                .section("models")
                .next()
                .map_or("none", |(name, _)| name);
            writeln!(out, "{name} {} {mark}", reader.sequence())?;
        }
        Ok(out)
    }

    /// A reader takes over what another holds: `adopt b from=a`.
    fn adopt(&mut self, words: &Words) -> Said {
        let from = self
            .readers
            .get(words.key("from").unwrap_or("a"))
            .ok_or("no such reader")?;
        let Some(checkpoint) = from.snapshot() else {
            return Ok("nothing to take over\n".to_owned());
        };
        let to = self.readers.get_mut(words.at(0)?).ok_or("no such reader")?;
        match to.adopt(checkpoint) {
            Ok(true) => Ok("taken over\n".to_owned()),
            Ok(false) => Ok("not newer\n".to_owned()),
            Err(fault) => Ok(format!("refused {}\n", fault.as_str())),
        }
    }

    /// An entry claims a key: `claim e1 key=k body=b`. Says who owns it for
    /// every reader of the log up to there.
    fn claim(&mut self, clock: &ManualClock, words: &Words) -> Said {
        let entry = words.at(0)?;
        let (key, body) = (
            words.key("key").unwrap_or("k"),
            words.key("body").unwrap_or("b"),
        );
        let ticket = RequestId(self.claims.len() as u128 + 1);
        let record = claims::record::Record {
            entry: entry.to_owned(),
            claims: vec![ClaimRequest {
                key: Hash::of(&[key.as_bytes()]),
                body: Hash::of(&[body.as_bytes()]),
                ticket: TicketText(ticket),
            }],
            ..claims::record::Record::default()
        };
        self.claims
            .push((clock.wall_ms(), serde_json::to_string(&record)?));

        let table = self
            .tables
            .entry(entry.to_owned())
            .or_insert_with(|| ClaimTable::new(WINDOW_MS));
        for (at, (time_ms, text)) in self.claims.iter().enumerate() {
            table.apply(Offset(at as u64), *time_ms, text);
        }
        let owner = table
            .owner(&Hash::of(&[key.as_bytes()]))
            .ok_or("nobody owns the key")?;
        let same = if owner.body == Hash::of(&[body.as_bytes()]) {
            "same"
        } else {
            "another"
        };
        let own = if owner.ticket == ticket {
            "owns it"
        } else {
            "does not own it"
        };
        Ok(format!(
            "{entry} {own}: {} does, with {same} body\n",
            owner.entry
        ))
    }
}

fn shown(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(sequence) => format!("accepted as {sequence}"),
        Verdict::Conflict { winner, operator } => {
            format!("beaten by version {winner} of {operator}")
        }
        Verdict::Adopted(sequence) => format!("adopted {sequence}"),
        Verdict::Refused(fault) => format!("refused {}", fault.as_str()),
        other => other.as_str().to_owned(),
    }
}

/// The operators `awa` and `luz` may sign; anyone else may not.
fn key(name: &str) -> SecretKey {
    let secret = name.bytes().next().unwrap_or(0);
    SecretKey::from_secret(name, &[secret; 32])
}

fn trust() -> Operators {
    let pair = |name: &str| (name.to_owned(), key(name).public_key);
    ["awa", "luz"].into_iter().map(pair).collect()
}

/// Content that differs by `mark` alone.
fn content(mark: &str) -> Result<Content, Box<dyn Error>> {
    let json = json!({
        "operators": trust(),
        "workspaces": { "mairie": { "tokens": [], "classes": ["counter"], "weight": 1 } },
        "models": { mark: { "version": mark } },
    });
    Ok(Content::from_json(&json)?)
}
