//! The bytes of each frame between peers: an older and a newer build run side by side while a cluster is
//! updated, so each has to read what the other writes.

use std::fmt::Write as _;

use mallowgauge_cluster::connections::Hello;
use mallowgauge_cluster::membership::{MemberState, MemberUpdate, Message, ProbeResult, SuspicionEvidence};
use mallowgauge_cluster::register::{AttemptRef, Ballot, Proposal, ProposerRequest};
use mallowgauge_cluster::takeover::Message as TakeoverMessage;
use mallowgauge_cluster::{Incarnation, PeerId};
use mallowgauge_edge::peers::wire::{self, Frame};

const MOST: usize = 64 * 1024;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// The frame is proposal as these bytes, and these bytes are read as the frame.
fn pin(frame: &Frame, bytes: &str) {
    assert_eq!(hex(&wire::encode(frame)), bytes, "written: {frame:?}");
    let bytes = unhex(bytes);
    assert_eq!(wire::decode(&bytes, MOST).unwrap(), Some((frame.clone(), bytes.len())), "read: {bytes:?}");
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0x0123_4567_89ab_cdef }
}

fn claim(state: MemberState, grade: SuspicionEvidence) -> MemberUpdate {
    MemberUpdate {
        member: PeerId(300),
        incarnation: incarnation(2),
        refutation: 5,
        state,
        source: PeerId(7),
        evidence: grade,
    }
}

fn claims() -> Vec<MemberUpdate> {
    vec![
        claim(MemberState::Alive, SuspicionEvidence::NoResponse),
        claim(MemberState::Suspect, SuspicionEvidence::NoResponse),
        claim(MemberState::Suspect, SuspicionEvidence::ConnectionLost),
        claim(MemberState::Dead, SuspicionEvidence::ConnectionLost),
        claim(MemberState::Left, SuspicionEvidence::NoResponse),
    ]
}

fn hello() -> Hello {
    Hello {
        major: 1,
        minor: 2,
        name: "eu-1".to_owned(),
        list_version: 9,
        list_digest: 0xfedc_ba98_7654_3210,
        incarnation: incarnation(4),
        refutation: 6,
        leaving: false,
        known: None,
    }
}

#[test]
fn each_hello_has_these_bytes() {
    pin(
        &Frame::Hello(hello()),
        "000000260a24080110021a0465752d312009291032547698badcfe320d100419efcdab89674523012006",
    );
    let known = Some((incarnation(3), 1, MemberState::Suspect));
    pin(&Frame::Hello(Hello { leaving: true, known, ..hello() }), "000000390a37080110021a0465752d312009291032547698badcfe320f100419efcdab8967452301200628033a0f100319efcdab896745230120012801");
    let known = Some((incarnation(3), 1, MemberState::Dead));
    pin(&Frame::Hello(Hello { known, ..hello() }), "000000370a35080110021a0465752d312009291032547698badcfe320d100419efcdab896745230120063a0f100319efcdab896745230120012802");
}

#[test]
fn a_goodbye_has_these_bytes() {
    pin(&Frame::Goodbye("it stands aside".to_owned()), "00000011120f6974207374616e6473206173696465");
}

#[test]
fn each_message_of_membership_has_these_bytes() {
    let (seq, target) = (1000, PeerId(300));
    let view = 0x0102_0304_0506_0708;
    pin(&Frame::Membership(Message::Ping { seq, view, updates: claims() }), "0000007e1a7c08e8071108070605040302011a1208ac02100219efcdab8967452301200530071a1408ac02100219efcdab89674523012005280130071a1608ac02100219efcdab896745230120052801300738011a1608ac02100219efcdab896745230120052802300738011a1408ac02100219efcdab8967452301200528033007");
    pin(&Frame::Membership(Message::Ping { seq: 0, view: 0, updates: vec![] }), "000000021a00");
    pin(&Frame::Membership(Message::Ack { seq, updates: claims() }), "00000075227308e8071a1208ac02100219efcdab8967452301200530071a1408ac02100219efcdab89674523012005280130071a1608ac02100219efcdab896745230120052801300738011a1608ac02100219efcdab896745230120052802300738011a1408ac02100219efcdab8967452301200528033007");
    pin(&Frame::Membership(Message::PingReq { seq, target }), "000000082a0608e80710ac02");
    pin(
        &Frame::Membership(Message::PingReqResult { seq, target, result: ProbeResult::NoResponse }),
        "00000008320608e80710ac02",
    );
    pin(
        &Frame::Membership(Message::PingReqResult { seq, target, result: ProbeResult::Acked }),
        "0000000a320808e80710ac021801",
    );
    pin(
        &Frame::Membership(Message::PingReqResult { seq, target, result: ProbeResult::ConnectionLost }),
        "0000000a320808e80710ac021802",
    );
    pin(&Frame::Membership(Message::Gossip { updates: claims() }), "000000723a701a1208ac02100219efcdab8967452301200530071a1408ac02100219efcdab89674523012005280130071a1608ac02100219efcdab896745230120052801300738011a1608ac02100219efcdab896745230120052802300738011a1408ac02100219efcdab8967452301200528033007");
}

#[test]
fn messages_about_queries_have_these_bytes() {
    let ballot = Ballot { round: 3, proposer: PeerId(300), incarnation: incarnation(2), sequence: 200 };
    let intent = AttemptRef { part: 1, attempt: 2, ballot };
    let proposal = Proposal { intents: [intent].into(), ..Proposal::default() };
    let request = ProposerRequest::Accept {
        id: "query-1".into(),
        ballot,
        incarnations: [].into(),
        proposal,
        version: 2,
    };
    let notes = vec![
        TakeoverMessage::Epoch { incarnation: incarnation(9), epoch: 1000 },
        TakeoverMessage::Request(request),
    ];
    let bytes: Vec<u8> = notes.iter().flat_map(wire::encode_takeover).collect();
    assert_eq!(wire::decode_takeover(&bytes), notes);
    pin(&Frame::Takeover(bytes), "0000003f423d0409ef9bafcdf8acd19101e80700010771756572792d3103ac0202ef9bafcdf8acd19101c8010001010203ac0202ef9bafcdf8acd19101c80100000002");
}

#[test]
fn an_envelope_without_a_kind_has_these_bytes() {
    pin(&Frame::Unknown, "00000000");
    // Tag 15, a kind that this version does not know.
    let later = unhex("000000037a0161");
    assert_eq!(wire::decode(&later, MOST).unwrap(), Some((Frame::Unknown, later.len())));
}
