//! Bundles and idempotency claims in log order, as several readers see them.

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

use crate::CommandOutput;
use crate::command::Args;

/// Lifetime of a claim, in milliseconds.
const CLAIM_WINDOW_MS: u64 = 60_000;

/// The log and its readers.
#[derive(Default)]
pub(crate) struct Records {
    /// Offset of the oldest record that has not expired.
    oldest: u64,
    log: Vec<Vec<u8>>,
    /// Signed records by name, which `append` may append any number of times.
    signed_records: BTreeMap<String, Record>,
    readers: BTreeMap<String, Acceptor>,
    claims: Vec<(u64, String)>,
    tables: BTreeMap<String, ClaimTable>,
}

impl Records {
    pub(crate) fn run(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        match args.name.as_str() {
            "reader" => self.reader(args),
            "publish" => self.publish(args),
            "append" => self.append(args),
            "read" => self.read(args),
            "expire" => self.expire(args),
            "checkpoint" => self.checkpoint(args),
            "force" => self.force(args),
            "adopt" => self.adopt(args),
            _ => self.claim(clock, args),
        }
    }

    /// Adds readers that hold no bundle: `reader a b`.
    fn reader(&mut self, args: &Args) -> CommandOutput {
        for name in args.positional() {
            self.readers
                .insert(name.to_owned(), Acceptor::new(trusted_operators()));
        }
        Ok(String::new())
    }

    /// Signs the version that follows the bundle of reader `as`, without
    /// appending it: `publish RECORD by=awa as=a mark=one`.
    fn publish(&mut self, args: &Args) -> CommandOutput {
        let key = secret_key(args.named("by").unwrap_or("awa"));
        let reader = self
            .readers
            .get(args.named("as").unwrap_or("a"))
            .ok_or("unknown reader")?;
        let content = content(args.named("mark").unwrap_or("one"))?;
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
        self.signed_records.insert(args.at(0)?.to_owned(), record);
        Ok(String::new())
    }

    /// Appends records in the given order, also repeatedly: `append RECORD...`.
    fn append(&mut self, args: &Args) -> CommandOutput {
        let mut out = String::new();
        for name in args.positional() {
            let record = self.signed_records.get(name).ok_or("unknown record")?;
            self.log.push(record.bytes());
            writeln!(out, "{name} at {}", self.log.len() - 1)?;
        }
        Ok(out)
    }

    /// Has readers apply the log to its end, and prints the verdicts: `read a b`.
    fn read(&mut self, args: &Args) -> CommandOutput {
        let mut out = String::new();
        for name in args.positional() {
            let reader = self.readers.get_mut(name).ok_or("unknown reader")?;
            loop {
                reader.skip_expired(Offset(self.oldest));
                let at = reader.next_offset();
                let Some(bytes) = self.log.get(at.0 as usize) else {
                    break;
                };
                let verdict = reader.apply(at, bytes);
                writeln!(out, "{name} {at} {}", format_verdict(&verdict))?;
            }
        }
        Ok(out)
    }

    /// Expires all records before an offset: `expire 3`.
    fn expire(&mut self, args: &Args) -> CommandOutput {
        self.oldest = args.parse(0)?;
        Ok(String::new())
    }

    /// A reader appends a checkpoint: `checkpoint a`.
    fn checkpoint(&mut self, args: &Args) -> CommandOutput {
        let reader = self.readers.get(args.at(0)?).ok_or("unknown reader")?;
        let records = reader.checkpoint_records();
        if records.is_empty() {
            return Ok("nothing to vouch for\n".to_owned());
        }
        self.log.extend(records.iter().map(Record::bytes));
        Ok(format!("at {}\n", self.log.len() - 1))
    }

    /// Prints the version in force at each reader: `force a b`.
    fn force(&mut self, args: &Args) -> CommandOutput {
        let mut out = String::new();
        for name in args.positional() {
            let reader = self.readers.get(name).ok_or("unknown reader")?;
            let mark = reader
                .content()
                .section("models")
                .next()
                .map_or("none", |(name, _)| name);
            writeln!(out, "{name} {} {mark}", reader.sequence())?;
        }
        Ok(out)
    }

    /// A reader adopts another reader's snapshot: `adopt b from=a`.
    fn adopt(&mut self, args: &Args) -> CommandOutput {
        let from = self
            .readers
            .get(args.named("from").unwrap_or("a"))
            .ok_or("unknown reader")?;
        let Some(checkpoint) = from.snapshot() else {
            return Ok("nothing to take over\n".to_owned());
        };
        let to = self.readers.get_mut(args.at(0)?).ok_or("unknown reader")?;
        match to.adopt(checkpoint) {
            Ok(true) => Ok("taken over\n".to_owned()),
            Ok(false) => Ok("not newer\n".to_owned()),
            Err(fault) => Ok(format!("refused {}\n", fault.as_str())),
        }
    }

    /// An entry claims an idempotency key and prints the owner of the key after
    /// reading the log to its end: `claim e1 key=k body=b`.
    fn claim(&mut self, clock: &ManualClock, args: &Args) -> CommandOutput {
        let entry = args.at(0)?;
        let (key, body) = (
            args.named("key").unwrap_or("k"),
            args.named("body").unwrap_or("b"),
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
            .or_insert_with(|| ClaimTable::new(CLAIM_WINDOW_MS));
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

fn format_verdict(verdict: &Verdict) -> String {
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

/// The secret key of an operator, derived from the first byte of the name.
fn secret_key(name: &str) -> SecretKey {
    let secret = name.bytes().next().unwrap_or(0);
    SecretKey::from_secret(name, &[secret; 32])
}

fn trusted_operators() -> Operators {
    let pair = |name: &str| (name.to_owned(), secret_key(name).public_key);
    ["awa", "luz"].into_iter().map(pair).collect()
}

/// Bundle content that contains `mark` as the name and version of its model.
fn content(mark: &str) -> Result<Content, Box<dyn Error>> {
    let json = json!({
        "operators": trusted_operators(),
        "workspaces": { "mairie": { "tokens": [], "classes": ["counter"], "weight": 1 } },
        "models": { mark: { "version": mark } },
    });
    Ok(Content::from_json(&json)?)
}
