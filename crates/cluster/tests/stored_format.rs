//! The bytes of what acceptors hold and of what peers send each other: an older and a newer build run side by side
//! while a cluster is updated, so each has to read what the other writes. postcard goes by the order of variants and
//! fields; moving one breaks these.

use std::fmt::{Debug, Write as _};
use std::sync::Arc;

use mallowgauge_cluster::register::{
    Abstains, Ballot, Bounds, Id, Keeper, Lives, Mark, Meeting, Opened, Order, Record, Word, Written,
};
use mallowgauge_cluster::takeover::{Ended, Note};
use mallowgauge_cluster::{Incarnation, PeerId};
use serde::{de::DeserializeOwned, Serialize};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// The value is written as these bytes, and these bytes are read as the value.
fn pin<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, bytes: &str) {
    assert_eq!(hex(&postcard::to_stdvec(value).unwrap()), bytes, "written: {value:?}");
    assert_eq!(postcard::from_bytes::<T>(&unhex(bytes)).as_ref(), Ok(value), "read: {bytes}");
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0x0123_4567_89ab_cdef }
}

fn ballot() -> Ballot {
    Ballot { round: 3, by: PeerId(300), life: incarnation(2), turn: 200 }
}

fn id() -> Id {
    "query-1".into()
}

fn lives() -> Lives {
    [(PeerId(0), incarnation(1)), (PeerId(4), incarnation(5))].into()
}

fn opened() -> Opened {
    Opened { lives: lives(), epochs: [(PeerId(0), 6), (PeerId(4), 128)].into() }
}

fn mark(part: u32, attempt: u32) -> Mark {
    Mark { part, attempt, ballot: ballot() }
}

fn bytes(text: &str) -> Arc<[u8]> {
    text.as_bytes().into()
}

fn written() -> Written {
    Written {
        intents: [mark(0, 1), mark(2, 3)].into(),
        voids: [mark(2, 3)].into(),
        outcome: Some(bytes("end")),
        left: true,
    }
}

fn record() -> Record {
    Record {
        promised: ballot(),
        asked: bytes("body"),
        intents: [mark(0, 1), mark(2, 3)].into(),
        voids: [mark(0, 1)].into(),
        outcome: Some((Ballot { round: 1, ..ballot() }, bytes("end"))),
        settled: true,
        left: false,
        opened: opened(),
    }
}

fn empty_record() -> Record {
    Record {
        promised: ballot(),
        asked: bytes(""),
        intents: [].into(),
        voids: [].into(),
        outcome: None,
        settled: false,
        left: true,
        opened: Opened::default(),
    }
}

fn abstains(why: Abstains) -> Note {
    Note::Word(Word::Abstains { id: id(), ballot: ballot(), why, life: incarnation(7) })
}

#[test]
fn each_request_of_a_proposer_has_these_bytes() {
    pin(
        &Note::Order(Order::Open {
            id: id(),
            ballot: ballot(),
            lives: lives(),
            epochs: opened().epochs,
            asked: bytes("body"),
            written: written(),
            version: 300,
        }),
        "00000771756572792d3103ac0202ef9bafcdf8acd19101c801020001ef9bafcdf8acd191010405ef9bafcdf8acd1910102000604800104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101020303ac0202ef9bafcdf8acd19101c8010103656e6401ac02",
    );
    pin(
        &Note::Order(Order::Write {
            id: id(),
            ballot: ballot(),
            lives: lives(),
            written: Written::default(),
            version: 2,
        }),
        "00010771756572792d3103ac0202ef9bafcdf8acd19101c801020001ef9bafcdf8acd191010405ef9bafcdf8acd191010000000002",
    );
    pin(&Note::Order(Order::Take { id: id(), ballot: ballot(), opened: opened() }), "00020771756572792d3103ac0202ef9bafcdf8acd19101c801020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    pin(&Note::Order(Order::Settled { id: id(), outcome: bytes("end") }), "00030771756572792d3103656e64");
    pin(&Note::Order(Order::Ask { id: id() }), "00040771756572792d31");
}

#[test]
fn each_reply_of_an_acceptor_has_these_bytes() {
    let (id, ballot, life) = (id(), ballot(), incarnation(7));
    let done = Word::Done { id: Arc::clone(&id), ballot, version: 129, life };
    pin(&Note::Word(done), "01000771756572792d3103ac0202ef9bafcdf8acd19101c801810107ef9bafcdf8acd19101");
    let promised = |record| Note::Word(Word::Promised { id: Arc::clone(&id), ballot, life, record });
    pin(&promised(None), "01010771756572792d3103ac0202ef9bafcdf8acd19101c80107ef9bafcdf8acd1910100");
    pin(&promised(Some(record())), "01010771756572792d3103ac0202ef9bafcdf8acd19101c80107ef9bafcdf8acd191010103ac0202ef9bafcdf8acd19101c80104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101000103ac0202ef9bafcdf8acd19101c8010101ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    pin(
        &Note::Word(Word::Held { id: Arc::clone(&id), refused: ballot, record: empty_record() }),
        "01020771756572792d3103ac0202ef9bafcdf8acd19101c80103ac0202ef9bafcdf8acd19101c8010000000000010000",
    );
    pin(
        &abstains(Abstains::Forgetful),
        "01030771756572792d3103ac0202ef9bafcdf8acd19101c8010007ef9bafcdf8acd19101",
    );
    pin(
        &abstains(Abstains::Outlived),
        "01030771756572792d3103ac0202ef9bafcdf8acd19101c8010107ef9bafcdf8acd19101",
    );
    pin(
        &abstains(Abstains::Unknown),
        "01030771756572792d3103ac0202ef9bafcdf8acd19101c8010207ef9bafcdf8acd19101",
    );
    pin(
        &abstains(Abstains::Full),
        "01030771756572792d3103ac0202ef9bafcdf8acd19101c8010307ef9bafcdf8acd19101",
    );
    let known = |record, forgetful| Note::Word(Word::Known { id: Arc::clone(&id), record, forgetful });
    pin(&known(None, true), "01040771756572792d310001");
    pin(&known(Some(record()), false), "01040771756572792d310103ac0202ef9bafcdf8acd19101c80104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101000103ac0202ef9bafcdf8acd19101c8010101ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd1910102000604800100");
}

#[test]
fn each_message_of_state_transfer_has_these_bytes() {
    pin(&Note::Meet(incarnation(9), None), "0209ef9bafcdf8acd1910100");
    pin(&Note::Meet(incarnation(9), Some(id())), "0209ef9bafcdf8acd19101010771756572792d31");
    let meeting = Meeting {
        from: PeerId(1),
        life: incarnation(2),
        to: incarnation(3),
        epoch: 400,
        whole: true,
        records: vec![(id(), record(), 1_000_000), ("z".into(), empty_record(), 0)],
        after: Some("a".into()),
        next: None,
    };
    pin(&Note::Meeting(meeting.clone()), "030102ef9bafcdf8acd1910103ef9bafcdf8acd19101900301020771756572792d3103ac0202ef9bafcdf8acd19101c80104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101000103ac0202ef9bafcdf8acd19101c8010101ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001c0843d017a03ac0202ef9bafcdf8acd19101c80100000000000100000001016100");
    let page = Meeting { whole: false, records: vec![], after: None, next: Some(id()), ..meeting };
    pin(&Note::Meeting(page), "030102ef9bafcdf8acd1910103ef9bafcdf8acd191019003000000010771756572792d31");
    pin(&Note::Epoch(incarnation(9), 1000), "0409ef9bafcdf8acd19101e807");
}

#[test]
fn a_record_as_an_acceptor_holds_it_has_these_bytes() {
    pin(&record(), "03ac0202ef9bafcdf8acd19101c80104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101000103ac0202ef9bafcdf8acd19101c8010101ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    let bounds = Bounds { records: 4, bytes: 1 << 20, life: 1_000_000 };
    let mut keeper = Keeper::new(0, PeerId(0), incarnation(1), 3, 3, bounds);
    for from in [1, 2] {
        keeper.met(
            0,
            Meeting {
                from: PeerId(from),
                life: incarnation(1),
                to: incarnation(1),
                epoch: 0,
                whole: true,
                records: vec![],
                after: None,
                next: None,
            },
        );
    }
    let first = Ballot { round: 0, ..ballot() };
    let intent = Mark { part: 0, attempt: 0, ballot: first };
    keeper.order(
        0,
        Order::Open {
            id: id(),
            ballot: first,
            lives: lives(),
            epochs: opened().epochs,
            asked: bytes("body"),
            written: Written { intents: [intent].into(), ..Written::default() },
            version: 1,
        },
    );
    pin(keeper.record("query-1").unwrap(), "00ac0202ef9bafcdf8acd19101c80104626f647901000000ac0202ef9bafcdf8acd19101c80100000000020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    keeper.order(0, Order::Take { id: id(), ballot: ballot(), opened: opened() });
    let outcome = Some(bytes("end"));
    let written = Written { voids: [intent].into(), outcome, ..Written::default() };
    keeper.order(0, Order::Write { id: id(), ballot: ballot(), lives: lives(), written, version: 2 });
    pin(keeper.record("query-1").unwrap(), "03ac0202ef9bafcdf8acd19101c80104626f647901000000ac0202ef9bafcdf8acd19101c80101000000ac0202ef9bafcdf8acd19101c8010103ac0202ef9bafcdf8acd19101c80103656e640000020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    keeper.order(0, Order::Settled { id: id(), outcome: bytes("end") });
    pin(keeper.record("query-1").unwrap(), "03ac0202ef9bafcdf8acd19101c80104626f647901000000ac0202ef9bafcdf8acd19101c80101000000ac0202ef9bafcdf8acd19101c8010103ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
}

#[test]
fn each_end_of_a_query_has_these_bytes() {
    let ends = [
        (Ended::Said(bytes("answer")), "00616e73776572"),
        (Ended::Said(bytes("")), "00"),
        (Ended::MayHaveRun, "01"),
        (Ended::NeverRan, "02"),
    ];
    for (end, bytes) in ends {
        assert_eq!(hex(&end.write()), bytes, "written: {end:?}");
        assert_eq!(Ended::read(&unhex(bytes)), end, "read: {bytes}");
    }
    // What a later build may write, and this one does not know, may have run.
    for bytes in ["", "0100", "0200", "03", "ff"] {
        assert_eq!(Ended::read(&unhex(bytes)), Ended::MayHaveRun, "read: {bytes}");
    }
}
