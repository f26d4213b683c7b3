//! Evaluation of record sequences by the acceptor.

mod common;

use base::ids::{BundleSequence, Offset};
use bundle::record::{RECORD_MAX_BYTES, split_parts};
use bundle::{Acceptor, Content, Payload, Record, RecordError, SignedHeader, Verdict};
use common::{MemoryLog, awa, change, content, id, luz, mallory, next_header, operators, trust};
use rstest::rstest;

fn first_accepted() -> (MemoryLog, Acceptor) {
    let (mut log, mut reader) = (MemoryLog::default(), Acceptor::new(trust()));
    log.append(&change(&reader, &awa(), &content("v1", &trust())));
    assert_eq!(
        log.read_all(&mut reader),
        [Verdict::Accepted(BundleSequence(1))]
    );
    (log, reader)
}

#[test]
fn apply_racing() {
    // Two operators publish changes to the same parent concurrently. The first
    // one in the log is accepted; the other is a conflict that names the
    // accepted version.
    let (mut log, mut reader) = first_accepted();
    let one = change(&reader, &awa(), &content("v2", &trust()));
    let two = change(&reader, &luz(), &content("v2b", &trust()));
    log.append(&two);
    log.append(&one);

    let beaten = Verdict::Conflict {
        winner: BundleSequence(2),
        operator: "luz".to_owned(),
    };
    assert_eq!(
        log.read_all(&mut reader),
        [Verdict::Accepted(BundleSequence(2)), beaten]
    );
    assert!(reader.content().get("models", "v2b").is_some());
}

#[test]
fn apply_replayed() {
    // A record is appended again after a lost reply or as a late duplicate.
    // It must not roll the bundle back.
    let (mut log, mut reader) = first_accepted();
    let old = log.records[0].clone();
    log.append(&change(&reader, &awa(), &content("v2", &trust())));
    log.records.push(old);

    let replayed = Verdict::Refused(RecordError::Replayed);
    assert_eq!(
        log.read_all(&mut reader),
        [Verdict::Accepted(BundleSequence(2)), replayed]
    );
    assert_eq!(reader.sequence(), BundleSequence(2));
}

fn unknown_operator(reader: &Acceptor) -> Vec<u8> {
    change(reader, &mallory(), &content("bad", &trust())).bytes()
}

fn forged(reader: &Acceptor) -> Vec<u8> {
    let to = content("bad", &trust());
    let mut signed = next_header(reader, &awa(), &to);
    signed.header.operator = "luz".to_owned();
    let payload = Payload::Full(to.entries());
    Record::Change { signed, payload }.bytes()
}

fn other_parent(reader: &Acceptor) -> Vec<u8> {
    let to = content("bad", &trust());
    let mut header = next_header(reader, &awa(), &to).header;
    header.parent = bundle::Hash::of(&[b"elsewhere"]);
    let signed = SignedHeader::new(header, &awa()).expect("valid test key");
    let payload = Payload::Full(to.entries());
    Record::Change { signed, payload }.bytes()
}

fn skipped(reader: &Acceptor) -> Vec<u8> {
    let to = content("bad", &trust());
    let mut header = next_header(reader, &awa(), &to).header;
    header.sequence.0 += 1;
    let signed = SignedHeader::new(header, &awa()).expect("valid test key");
    let payload = Payload::Full(to.entries());
    Record::Change { signed, payload }.bytes()
}

fn other_content(reader: &Acceptor) -> Vec<u8> {
    let signed = next_header(reader, &awa(), &content("v2", &trust()));
    let payload = Payload::Full(content("bad", &trust()).entries());
    Record::Change { signed, payload }.bytes()
}

fn other_delta(reader: &Acceptor) -> Vec<u8> {
    let signed = next_header(reader, &awa(), &content("v2", &trust()));
    let payload = Payload::Delta(reader.content().patch_to(&content("bad", &trust())));
    Record::Change { signed, payload }.bytes()
}

fn missing_parts(reader: &Acceptor) -> Vec<u8> {
    let signed = next_header(reader, &awa(), &content("v2", &trust()));
    let payload = Payload::Parts(0);
    Record::Change { signed, payload }.bytes()
}

fn large(_: &Acceptor) -> Vec<u8> {
    vec![b' '; RECORD_MAX_BYTES + 1]
}

fn garbage(_: &Acceptor) -> Vec<u8> {
    b"{\"kind\":\"change\"}".to_vec()
}

#[rstest]
#[case::unknown_operator(unknown_operator, RecordError::UnknownOperator)]
#[case::bad_signature(forged, RecordError::BadSignature)]
#[case::wrong_parent(other_parent, RecordError::WrongParent)]
#[case::skipped_number(skipped, RecordError::WrongParent)]
#[case::other_content(other_content, RecordError::BadContent)]
#[case::other_delta(other_delta, RecordError::BadContent)]
#[case::missing_parts(missing_parts, RecordError::BadContent)]
#[case::too_large(large, RecordError::TooLarge)]
#[case::unreadable(garbage, RecordError::Unreadable)]
fn apply_refused(#[case] make: fn(&Acceptor) -> Vec<u8>, #[case] error: RecordError) {
    let (mut log, mut reader) = first_accepted();
    let (before, digest) = (id(&reader), reader.content().digest());
    log.records.push(make(&reader));
    assert_eq!(log.read_all(&mut reader), [Verdict::Refused(error)]);
    assert_eq!(id(&reader), before);
    assert_eq!(
        reader.content().digest(),
        digest,
        "the content is unchanged"
    );

    // The next valid record is accepted.
    log.append(&change(&reader, &luz(), &content("v2", &trust())));
    assert_eq!(
        log.read_all(&mut reader),
        [Verdict::Accepted(BundleSequence(2))]
    );
}

#[test]
fn apply_late_duplicate() {
    // luz's version 2 was accepted before awa's, and a checkpoint contains it.
    // luz's record expires and a duplicate of awa's record is appended. A new
    // reader never sees luz's record and must still not accept awa's.
    let (mut log, mut reader) = first_accepted();
    let lost = change(&reader, &awa(), &content("v2", &trust()));
    log.append(&change(&reader, &luz(), &content("v2b", &trust())));
    log.append(&lost);
    log.read_all(&mut reader);
    log.append(&reader.checkpoint_records()[0]);
    log.append(&lost);
    log.first = 3;

    let mut fresh = Acceptor::new(trust());
    log.read_all(&mut fresh);
    assert_eq!(id(&fresh), id(&reader));

    // Without a checkpoint a new reader accepts nothing.
    log.first = 4;
    let mut fresh_after_gap = Acceptor::new(trust());
    assert_eq!(log.read_all(&mut fresh_after_gap), [Verdict::NotEvaluated]);
    assert_eq!(fresh_after_gap.head(), None);
}

#[test]
fn apply_checkpoint_with_gap() {
    // The checkpoint's writer had processed up to offset 0; offsets 1 and 2
    // have expired. They may have contained the accepted version 2, so a new
    // reader must not continue from that checkpoint.
    let (mut log, reader) = first_accepted();
    let checkpoint = reader.checkpoint_records().remove(0);
    log.append(&change(&reader, &awa(), &content("v2", &trust())));
    log.append(&change(&reader, &awa(), &content("v2", &trust())));
    log.append(&checkpoint);
    log.append(&change(&reader, &luz(), &content("v2b", &trust())));
    log.first = 3;

    let mut fresh = Acceptor::new(trust());
    let verdicts = log.read_all(&mut fresh);
    assert_eq!(verdicts, [Verdict::NotEvaluated, Verdict::NotEvaluated]);
}

#[test]
fn apply_operators_replaced() {
    // All operators in the settings have been replaced in the bundle. A new
    // reader trusts the current ones because each operator change was signed
    // by an operator who was trusted at the time.
    let (mut log, mut reader) = first_accepted();
    let team = operators(&[luz(), mallory()]);
    log.append(&change(&reader, &awa(), &content("v2", &team)));
    log.read_all(&mut reader);
    log.append(&change(&reader, &awa(), &content("v3", &team)));
    assert_eq!(
        log.read_all(&mut reader),
        [Verdict::Refused(RecordError::UnknownOperator)]
    );
    log.append(&change(
        &reader,
        &mallory(),
        &content("v3", &operators(&[mallory()])),
    ));
    log.read_all(&mut reader);
    log.append(&change(
        &reader,
        &mallory(),
        &content("v4", &operators(&[mallory()])),
    ));
    log.read_all(&mut reader);
    assert_eq!(reader.sequence(), BundleSequence(4));

    log.append(&reader.checkpoint_records()[0]);
    log.first = log.end() - 1;
    let mut fresh = Acceptor::new(operators(&[awa()]));
    // After adopting it, the reader continues at the offset after the last
    // one that the checkpoint's writer had processed.
    let adopted = [Verdict::Adopted(BundleSequence(4)), Verdict::Known];
    assert_eq!(log.read_all(&mut fresh), adopted);

    // A reader whose settings contain none of the signers refuses it.
    let mut untrusting = Acceptor::new(operators(&[luz()]));
    let refused = Verdict::Refused(RecordError::UnknownOperator);
    assert_eq!(log.read_all(&mut untrusting), [refused]);
}

#[test]
fn apply_parts() {
    // Content that exceeds the record size is split into parts, both on
    // publication and in a checkpoint.
    let (mut log, mut reader) = first_accepted();
    let mut entries = content("v2", &trust()).entries();
    for i in 0..3000 {
        let value = serde_json::json!({ "tokens": [bundle::Hash::of(&[&[1]])], "n": i });
        let named = entries.entry("workspaces".to_owned()).or_default();
        named.insert(format!("workspace-{i}"), value);
    }
    let large = Content::new(&entries);
    let split = split_parts(&large, RECORD_MAX_BYTES - 4096);
    assert!(split.len() > 1);
    split.iter().for_each(|part| {
        assert!(part.bytes().len() <= RECORD_MAX_BYTES);
        log.append(part);
    });
    let payload = Payload::Parts(u32::try_from(split.len()).expect("part count fits u32"));
    let signed = next_header(&reader, &awa(), &large);
    log.append(&Record::Change { signed, payload });
    let verdicts = log.read_all(&mut reader);
    assert_eq!(verdicts.last(), Some(&Verdict::Accepted(BundleSequence(2))));

    log.first = log.end();
    for record in reader.checkpoint_records() {
        log.append(&record);
    }
    let mut fresh = Acceptor::new(trust());
    let verdicts = log.read_all(&mut fresh);
    assert!(verdicts.contains(&Verdict::Adopted(BundleSequence(2))));
    assert_eq!(fresh.content().digest(), large.digest());
}

#[test]
fn adopt_older() {
    // An outdated peer sends its snapshot; the version must not decrease.
    let (mut log, mut reader) = first_accepted();
    let old = reader.snapshot().expect("a version is active");
    log.append(&change(&reader, &awa(), &content("v2", &trust())));
    log.read_all(&mut reader);
    assert_eq!(reader.adopt(old), Ok(false));
    assert_eq!(reader.sequence(), BundleSequence(2));
}

#[test]
fn adopt_forged() {
    let (_, reader) = first_accepted();
    let mut offered = reader.snapshot().expect("a version is active");
    offered.signed.header.sequence = BundleSequence(9);
    let mut fresh = Acceptor::new(trust());
    assert_eq!(fresh.adopt(offered), Err(RecordError::BadSignature));
    assert_eq!(fresh.next_offset(), Offset(0));
}
