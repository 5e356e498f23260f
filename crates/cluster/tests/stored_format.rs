//! The bytes of acceptors' records and of the messages between peers. During a rolling update older and newer
//! builds run side by side, so each has to read what the other writes. The postcard encoding depends on the
//! order of variants and fields; these tests fail if one is moved.

use std::fmt::{Debug, Write as _};
use std::sync::Arc;

use mallowgauge_cluster::register::{
    AbstainReason, Acceptor, AcceptorLimits, AcceptorReply, AttemptRef, Ballot, Incarnations, OpenedAt,
    Proposal, ProposerRequest, QueryId, Record, RecordedOutcome, StateTransfer, TransferredRecord,
};
use mallowgauge_cluster::takeover::{Message, QueryEnd};
use mallowgauge_cluster::{Incarnation, PeerId};
use serde::{de::DeserializeOwned, Serialize};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|start| u8::from_str_radix(&text[start..start + 2], 16).unwrap()).collect()
}

/// Asserts that the value is encoded as these bytes, and that these bytes are decoded as the value.
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, bytes: &str) {
    assert_eq!(hex(&postcard::to_stdvec(value).unwrap()), bytes, "written: {value:?}");
    assert_eq!(postcard::from_bytes::<T>(&unhex(bytes)).as_ref(), Ok(value), "read: {bytes}");
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0x0123_4567_89ab_cdef }
}

fn ballot() -> Ballot {
    Ballot { round: 3, proposer: PeerId(300), incarnation: incarnation(2), sequence: 200 }
}

fn id() -> QueryId {
    "query-1".into()
}

fn incarnations() -> Incarnations {
    [(PeerId(0), incarnation(1)), (PeerId(4), incarnation(5))].into()
}

fn opened_at() -> OpenedAt {
    OpenedAt { incarnations: incarnations(), epochs: [(PeerId(0), 6), (PeerId(4), 128)].into() }
}

fn intent(part: u32, attempt: u32) -> AttemptRef {
    AttemptRef { part, attempt, ballot: ballot() }
}

fn bytes(text: &str) -> Arc<[u8]> {
    text.as_bytes().into()
}

fn proposal() -> Proposal {
    Proposal {
        intents: [intent(0, 1), intent(2, 3)].into(),
        not_executed: [intent(2, 3)].into(),
        outcome: Some(bytes("end")),
        relinquished: true,
    }
}

fn record() -> Record {
    Record {
        promised: ballot(),
        payload: bytes("body"),
        intents: [intent(0, 1), intent(2, 3)].into(),
        not_executed: [intent(0, 1)].into(),
        outcome: Some(RecordedOutcome { ballot: Ballot { round: 1, ..ballot() }, outcome: bytes("end") }),
        chosen: true,
        relinquished: false,
        opened_at: opened_at(),
    }
}

fn empty_record() -> Record {
    Record {
        promised: ballot(),
        payload: bytes(""),
        intents: [].into(),
        not_executed: [].into(),
        outcome: None,
        chosen: false,
        relinquished: true,
        opened_at: OpenedAt::default(),
    }
}

fn abstained(reason: AbstainReason) -> Message {
    Message::Reply(AcceptorReply::Abstained {
        id: id(),
        ballot: ballot(),
        reason,
        incarnation: incarnation(7),
    })
}

#[test]
fn each_request_of_a_proposer_has_these_bytes() {
    assert_encoding(
        &Message::Request(ProposerRequest::Open {
            id: id(),
            ballot: ballot(),
            incarnations: incarnations(),
            epochs: opened_at().epochs,
            payload: bytes("body"),
            proposal: proposal(),
            version: 300,
        }),
        "00000771756572792d3103ac0202ef9bafcdf8acd19101c801020001ef9bafcdf8acd191010405ef9bafcdf8acd1910102000604800104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101020303ac0202ef9bafcdf8acd19101c8010103656e6401ac02",
    );
    assert_encoding(
        &Message::Request(ProposerRequest::Accept {
            id: id(),
            ballot: ballot(),
            incarnations: incarnations(),
            proposal: Proposal::default(),
            version: 2,
        }),
        "00010771756572792d3103ac0202ef9bafcdf8acd19101c801020001ef9bafcdf8acd191010405ef9bafcdf8acd191010000000002",
    );
    assert_encoding(&Message::Request(ProposerRequest::Prepare { id: id(), ballot: ballot(), opened_at: opened_at() }), "00020771756572792d3103ac0202ef9bafcdf8acd19101c801020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    assert_encoding(
        &Message::Request(ProposerRequest::Chosen { id: id(), outcome: bytes("end") }),
        "00030771756572792d3103656e64",
    );
    assert_encoding(&Message::Request(ProposerRequest::ReadRecord { id: id() }), "00040771756572792d31");
}

#[test]
fn each_reply_of_an_acceptor_has_these_bytes() {
    let (id, ballot, incarnation) = (id(), ballot(), incarnation(7));
    let accepted = AcceptorReply::Accepted { id: Arc::clone(&id), ballot, version: 129, incarnation };
    assert_encoding(
        &Message::Reply(accepted),
        "01000771756572792d3103ac0202ef9bafcdf8acd19101c801810107ef9bafcdf8acd19101",
    );
    let promised =
        |record| Message::Reply(AcceptorReply::Promised { id: Arc::clone(&id), ballot, incarnation, record });
    assert_encoding(
        &promised(None),
        "01010771756572792d3103ac0202ef9bafcdf8acd19101c80107ef9bafcdf8acd1910100",
    );
    assert_encoding(&promised(Some(record())), "01010771756572792d3103ac0202ef9bafcdf8acd19101c80107ef9bafcdf8acd191010103ac0202ef9bafcdf8acd19101c80104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101000103ac0202ef9bafcdf8acd19101c8010101ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    assert_encoding(
        &Message::Reply(AcceptorReply::Rejected {
            id: Arc::clone(&id),
            rejected: ballot,
            record: empty_record(),
        }),
        "01020771756572792d3103ac0202ef9bafcdf8acd19101c80103ac0202ef9bafcdf8acd19101c8010000000000010000",
    );
    assert_encoding(
        &abstained(AbstainReason::Recovering),
        "01030771756572792d3103ac0202ef9bafcdf8acd19101c8010007ef9bafcdf8acd19101",
    );
    assert_encoding(
        &abstained(AbstainReason::StaleIncarnation),
        "01030771756572792d3103ac0202ef9bafcdf8acd19101c8010107ef9bafcdf8acd19101",
    );
    assert_encoding(
        &abstained(AbstainReason::UnknownQuery),
        "01030771756572792d3103ac0202ef9bafcdf8acd19101c8010207ef9bafcdf8acd19101",
    );
    assert_encoding(
        &abstained(AbstainReason::CapacityExhausted),
        "01030771756572792d3103ac0202ef9bafcdf8acd19101c8010307ef9bafcdf8acd19101",
    );
    let record_read = |record, possibly_forgotten| {
        Message::Reply(AcceptorReply::RecordRead { id: Arc::clone(&id), record, possibly_forgotten })
    };
    assert_encoding(&record_read(None, true), "01040771756572792d310001");
    assert_encoding(&record_read(Some(record()), false), "01040771756572792d310103ac0202ef9bafcdf8acd19101c80104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101000103ac0202ef9bafcdf8acd19101c8010101ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd1910102000604800100");
}

#[test]
fn each_message_of_state_transfer_has_these_bytes() {
    assert_encoding(
        &Message::TransferRequest { incarnation: incarnation(9), after: None },
        "0209ef9bafcdf8acd1910100",
    );
    assert_encoding(
        &Message::TransferRequest { incarnation: incarnation(9), after: Some(id()) },
        "0209ef9bafcdf8acd19101010771756572792d31",
    );
    let transfer = StateTransfer {
        from: PeerId(1),
        incarnation: incarnation(2),
        to: incarnation(3),
        epoch: 400,
        remembers_all: true,
        records: vec![
            TransferredRecord { id: id(), record: record(), chosen_for: 1_000_000 },
            TransferredRecord { id: "z".into(), record: empty_record(), chosen_for: 0 },
        ],
        after: Some("a".into()),
        next: None,
    };
    assert_encoding(&Message::StateTransfer(transfer.clone()), "030102ef9bafcdf8acd1910103ef9bafcdf8acd19101900301020771756572792d3103ac0202ef9bafcdf8acd19101c80104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101000103ac0202ef9bafcdf8acd19101c8010101ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001c0843d017a03ac0202ef9bafcdf8acd19101c80100000000000100000001016100");
    let page =
        StateTransfer { remembers_all: false, records: vec![], after: None, next: Some(id()), ..transfer };
    assert_encoding(
        &Message::StateTransfer(page),
        "030102ef9bafcdf8acd1910103ef9bafcdf8acd191019003000000010771756572792d31",
    );
    assert_encoding(
        &Message::Epoch { incarnation: incarnation(9), epoch: 1000 },
        "0409ef9bafcdf8acd19101e807",
    );
}

#[test]
fn an_acceptors_record_has_these_bytes() {
    assert_encoding(&record(), "03ac0202ef9bafcdf8acd19101c80104626f647902000103ac0202ef9bafcdf8acd19101c801020303ac0202ef9bafcdf8acd19101c80101000103ac0202ef9bafcdf8acd19101c8010101ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    let limits = AcceptorLimits { records: 4, bytes: 1 << 20, query_lifetime: 1_000_000 };
    let mut acceptor = Acceptor::new(0, PeerId(0), incarnation(1), 3, 3, limits);
    for from in [1, 2] {
        acceptor.receive_transfer(
            0,
            StateTransfer {
                from: PeerId(from),
                incarnation: incarnation(1),
                to: incarnation(1),
                epoch: 0,
                remembers_all: true,
                records: vec![],
                after: None,
                next: None,
            },
        );
    }
    let first = Ballot { round: 0, ..ballot() };
    let intent = AttemptRef { part: 0, attempt: 0, ballot: first };
    acceptor.handle_request(
        0,
        ProposerRequest::Open {
            id: id(),
            ballot: first,
            incarnations: incarnations(),
            epochs: opened_at().epochs,
            payload: bytes("body"),
            proposal: Proposal { intents: [intent].into(), ..Proposal::default() },
            version: 1,
        },
    );
    assert_encoding(acceptor.record("query-1").unwrap(), "00ac0202ef9bafcdf8acd19101c80104626f647901000000ac0202ef9bafcdf8acd19101c80100000000020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    acceptor
        .handle_request(0, ProposerRequest::Prepare { id: id(), ballot: ballot(), opened_at: opened_at() });
    let outcome = Some(bytes("end"));
    let proposal = Proposal { not_executed: [intent].into(), outcome, ..Proposal::default() };
    acceptor.handle_request(
        0,
        ProposerRequest::Accept {
            id: id(),
            ballot: ballot(),
            incarnations: incarnations(),
            proposal,
            version: 2,
        },
    );
    assert_encoding(acceptor.record("query-1").unwrap(), "03ac0202ef9bafcdf8acd19101c80104626f647901000000ac0202ef9bafcdf8acd19101c80101000000ac0202ef9bafcdf8acd19101c8010103ac0202ef9bafcdf8acd19101c80103656e640000020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
    acceptor.handle_request(0, ProposerRequest::Chosen { id: id(), outcome: bytes("end") });
    assert_encoding(acceptor.record("query-1").unwrap(), "03ac0202ef9bafcdf8acd19101c80104626f647901000000ac0202ef9bafcdf8acd19101c80101000000ac0202ef9bafcdf8acd19101c8010103ac0202ef9bafcdf8acd19101c80103656e640100020001ef9bafcdf8acd191010405ef9bafcdf8acd19101020006048001");
}

#[test]
fn each_end_of_a_query_has_these_bytes() {
    let ends = [
        (QueryEnd::Answered(bytes("answer")), "00616e73776572"),
        (QueryEnd::Answered(bytes("")), "00"),
        (QueryEnd::PossiblyExecuted, "01"),
        (QueryEnd::NotExecuted, "02"),
    ];
    for (end, bytes) in ends {
        assert_eq!(hex(&end.to_bytes()), bytes, "written: {end:?}");
        assert_eq!(QueryEnd::from_bytes(&unhex(bytes)), end, "read: {bytes}");
    }
    // An encoding of a later build that this one does not know is read as possibly executed.
    for bytes in ["", "0100", "0200", "03", "ff"] {
        assert_eq!(QueryEnd::from_bytes(&unhex(bytes)), QueryEnd::PossiblyExecuted, "read: {bytes}");
    }
}
