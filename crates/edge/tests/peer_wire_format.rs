//! The wire format of each frame between peers. Instances of different versions run side by side during a rolling
//! update of the cluster, so each has to decode the other's frames.

use std::fmt::Write as _;

use mallowgauge_cluster::connections::Hello;
use mallowgauge_cluster::membership::{MemberState, MemberUpdate, Message, ProbeResult, SuspicionEvidence};
use mallowgauge_cluster::register::{AttemptRef, Ballot, Proposal, ProposerRequest};
use mallowgauge_cluster::takeover::Message as TakeoverMessage;
use mallowgauge_cluster::{Incarnation, PeerId};
use mallowgauge_edge::peers::wire::{self, Frame};

const MAX_FRAME_BYTES: usize = 64 * 1024;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Asserts that the frame is encoded as these bytes, and that these bytes are decoded as the frame.
fn assert_encoding(frame: &Frame, bytes: &str) {
    assert_eq!(hex(&wire::encode(frame)), bytes, "written: {frame:?}");
    let bytes = unhex(bytes);
    assert_eq!(
        wire::decode(&bytes, MAX_FRAME_BYTES).unwrap(),
        Some((frame.clone(), bytes.len())),
        "read: {bytes:?}"
    );
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0x0123_4567_89ab_cdef }
}

fn update(state: MemberState, evidence: SuspicionEvidence) -> MemberUpdate {
    MemberUpdate {
        member: PeerId(300),
        incarnation: incarnation(2),
        refutation: 5,
        state,
        source: PeerId(7),
        evidence,
    }
}

fn updates() -> Vec<MemberUpdate> {
    vec![
        update(MemberState::Alive, SuspicionEvidence::NoResponse),
        update(MemberState::Suspect, SuspicionEvidence::NoResponse),
        update(MemberState::Suspect, SuspicionEvidence::ConnectionLost),
        update(MemberState::Dead, SuspicionEvidence::ConnectionLost),
        update(MemberState::Left, SuspicionEvidence::NoResponse),
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
        shutting_down: false,
        known: None,
    }
}

#[test]
fn hello_encoding_is_stable() {
    assert_encoding(
        &Frame::Hello(hello()),
        "000000260a24080110021a0465752d312009291032547698badcfe320d100419efcdab89674523012006",
    );
    let known = Some((incarnation(3), 1, MemberState::Suspect));
    assert_encoding(&Frame::Hello(Hello { shutting_down: true, known, ..hello() }), "000000390a37080110021a0465752d312009291032547698badcfe320f100419efcdab8967452301200628033a0f100319efcdab896745230120012801");
    let known = Some((incarnation(3), 1, MemberState::Dead));
    assert_encoding(&Frame::Hello(Hello { known, ..hello() }), "000000370a35080110021a0465752d312009291032547698badcfe320d100419efcdab896745230120063a0f100319efcdab896745230120012802");
}

#[test]
fn goodbye_encoding_is_stable() {
    assert_encoding(
        &Frame::Goodbye("it stands aside".to_owned()),
        "00000011120f6974207374616e6473206173696465",
    );
}

#[test]
fn membership_message_encodings_are_stable() {
    let (seq, target) = (1000, PeerId(300));
    let view = 0x0102_0304_0506_0708;
    assert_encoding(&Frame::Membership(Message::Ping { seq, view, updates: updates() }), "0000007e1a7c08e8071108070605040302011a1208ac02100219efcdab8967452301200530071a1408ac02100219efcdab89674523012005280130071a1608ac02100219efcdab896745230120052801300738011a1608ac02100219efcdab896745230120052802300738011a1408ac02100219efcdab8967452301200528033007");
    assert_encoding(&Frame::Membership(Message::Ping { seq: 0, view: 0, updates: vec![] }), "000000021a00");
    assert_encoding(&Frame::Membership(Message::Ack { seq, updates: updates() }), "00000075227308e8071a1208ac02100219efcdab8967452301200530071a1408ac02100219efcdab89674523012005280130071a1608ac02100219efcdab896745230120052801300738011a1608ac02100219efcdab896745230120052802300738011a1408ac02100219efcdab8967452301200528033007");
    assert_encoding(&Frame::Membership(Message::PingReq { seq, target }), "000000082a0608e80710ac02");
    assert_encoding(
        &Frame::Membership(Message::PingReqResult { seq, target, result: ProbeResult::NoResponse }),
        "00000008320608e80710ac02",
    );
    assert_encoding(
        &Frame::Membership(Message::PingReqResult { seq, target, result: ProbeResult::Acked }),
        "0000000a320808e80710ac021801",
    );
    assert_encoding(
        &Frame::Membership(Message::PingReqResult { seq, target, result: ProbeResult::ConnectionLost }),
        "0000000a320808e80710ac021802",
    );
    assert_encoding(&Frame::Membership(Message::Gossip { updates: updates() }), "000000723a701a1208ac02100219efcdab8967452301200530071a1408ac02100219efcdab89674523012005280130071a1608ac02100219efcdab896745230120052801300738011a1608ac02100219efcdab896745230120052802300738011a1408ac02100219efcdab8967452301200528033007");
}

#[test]
fn takeover_message_encoding_is_stable() {
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
    let messages = vec![
        TakeoverMessage::Epoch { incarnation: incarnation(9), epoch: 1000 },
        TakeoverMessage::Request(request),
    ];
    let bytes: Vec<u8> = messages.iter().flat_map(wire::encode_takeover).collect();
    assert_eq!(wire::decode_takeover(&bytes), messages);
    assert_encoding(&Frame::Takeover(bytes), "0000003f423d0409ef9bafcdf8acd19101e80700010771756572792d3103ac0202ef9bafcdf8acd19101c8010001010203ac0202ef9bafcdf8acd19101c80100000002");
}

#[test]
fn empty_and_unknown_envelopes_are_decoded_as_unknown() {
    assert_encoding(&Frame::Unknown, "00000000");
    // Tag 15 is a kind that this version does not know.
    let unknown = unhex("000000037a0161");
    assert_eq!(wire::decode(&unknown, MAX_FRAME_BYTES).unwrap(), Some((Frame::Unknown, unknown.len())));
}
