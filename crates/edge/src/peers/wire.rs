//! The wire format of frames between peers: a big-endian length of four bytes, followed by a protobuf envelope.
//! Unknown fields and kinds are ignored. Only a different major version is rejected, by the handshake.
//!
//! This module alone maps the cluster's types to numbers on the wire. Tags and numbers never change
//! (`tests/peer_wire_format.rs` checks the bytes).

use mallowgauge_cluster::connections::Hello;
use mallowgauge_cluster::membership::{MemberState, MemberUpdate, Message, ProbeResult, SuspicionEvidence};
use mallowgauge_cluster::outbound_queue::Priority;
use mallowgauge_cluster::takeover::Message as TakeoverMessage;
use mallowgauge_cluster::{Incarnation, PeerId};
use prost::Message as _;

/// Size in bytes of a frame's length prefix.
pub const LENGTH_BYTES: usize = 4;

/// Maximum size in bytes of a [`Frame::Takeover`] without its messages.
pub const TAKEOVER_OVERHEAD_BYTES: usize = 16;

/// A frame between peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The first frame that each side sends.
    Hello(Hello),
    /// The last frame that a side sends, with the reason as text.
    Goodbye(String),
    /// A membership message.
    Membership(Message),
    /// Concatenated messages of takeover and the register; see [`encode_takeover`].
    Takeover(Vec<u8>),
    /// A frame of an unknown kind, or one that lacks a required field.
    Unknown,
}

/// Why bytes are not a valid frame. The messages are logged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length exceeds the limit.
    #[error("message of {length} bytes exceeds the limit of {max}")]
    TooLong {
        /// The frame's length in bytes.
        length: usize,
        /// The limit in bytes.
        max: usize,
    },
    /// The bytes are not a protobuf envelope.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
}

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Kind {
    #[prost(message, tag = "1")]
    Hello(HelloFields),
    #[prost(string, tag = "2")]
    Goodbye(String),
    #[prost(message, tag = "3")]
    Ping(PingFields),
    #[prost(message, tag = "4")]
    Ack(PingFields),
    #[prost(message, tag = "5")]
    PingReq(PingReqFields),
    #[prost(message, tag = "6")]
    PingReqResult(PingReqFields),
    #[prost(message, tag = "7")]
    Gossip(PingFields),
    /// Encoded with postcard; the encoding changes with the minor version.
    #[prost(bytes = "vec", tag = "8")]
    Takeover(Vec<u8>),
}

/// The major version stays the first field, so that every version can read it.
#[derive(Clone, PartialEq, prost::Message)]
struct HelloFields {
    #[prost(uint32, tag = "1")]
    major: u32,
    #[prost(uint32, tag = "2")]
    minor: u32,
    #[prost(string, tag = "3")]
    name: String,
    #[prost(uint64, tag = "4")]
    list_version: u64,
    #[prost(fixed64, tag = "5")]
    list_digest: u64,
    #[prost(message, optional, tag = "6")]
    own: Option<UpdateFields>,
    #[prost(message, optional, tag = "7")]
    known: Option<UpdateFields>,
}

/// A ping, an ack (without `view`) or gossip (`updates` only).
#[derive(Clone, PartialEq, prost::Message)]
struct PingFields {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(fixed64, tag = "2")]
    view: u64,
    #[prost(message, repeated, tag = "3")]
    updates: Vec<UpdateFields>,
}

/// A ping-req (without `result`) or its result.
#[derive(Clone, PartialEq, prost::Message)]
struct PingReqFields {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(uint32, tag = "2")]
    target: u32,
    /// The index in [`PROBE_RESULTS`].
    #[prost(uint32, tag = "3")]
    result: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct UpdateFields {
    #[prost(uint32, tag = "1")]
    member: u32,
    #[prost(uint64, tag = "2")]
    incarnation_number: u64,
    #[prost(fixed64, tag = "3")]
    incarnation_nonce: u64,
    #[prost(uint32, tag = "4")]
    refutation: u32,
    /// The index in [`MEMBER_STATES`].
    #[prost(uint32, tag = "5")]
    state: u32,
    #[prost(uint32, tag = "6")]
    source: u32,
    /// The index in [`EVIDENCE`].
    #[prost(uint32, tag = "7")]
    evidence: u32,
}

/// The numbers on the wire are the indices in these lists.
const MEMBER_STATES: [MemberState; 4] =
    [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
const EVIDENCE: [SuspicionEvidence; 2] = [SuspicionEvidence::NoResponse, SuspicionEvidence::ConnectionLost];
const PROBE_RESULTS: [ProbeResult; 3] =
    [ProbeResult::NoResponse, ProbeResult::Acked, ProbeResult::ConnectionLost];

fn number<T: PartialEq>(all: &[T], value: &T) -> u32 {
    all.iter().position(|known| known == value).map_or(0, |index| index as u32)
}

fn peer(number: u32) -> Option<PeerId> {
    u16::try_from(number).ok().map(PeerId)
}

impl From<&MemberUpdate> for UpdateFields {
    fn from(update: &MemberUpdate) -> Self {
        Self {
            member: update.member.0.into(),
            incarnation_number: update.incarnation.number,
            incarnation_nonce: update.incarnation.nonce,
            refutation: update.refutation,
            state: number(&MEMBER_STATES, &update.state),
            source: update.source.0.into(),
            evidence: number(&EVIDENCE, &update.evidence),
        }
    }
}

impl UpdateFields {
    /// Encodes only the key of an update, as used in a hello.
    fn from_key((incarnation, refutation, state): (Incarnation, u32, MemberState)) -> Self {
        Self {
            incarnation_number: incarnation.number,
            incarnation_nonce: incarnation.nonce,
            refutation,
            state: number(&MEMBER_STATES, &state),
            ..Self::default()
        }
    }

    /// Decodes an update; `None` if it holds a number that this version does not know and cannot interpret.
    fn decode(&self) -> Option<MemberUpdate> {
        Some(MemberUpdate {
            member: peer(self.member)?,
            incarnation: Incarnation { number: self.incarnation_number, nonce: self.incarnation_nonce },
            refutation: self.refutation,
            state: *MEMBER_STATES.get(self.state as usize)?,
            source: peer(self.source)?,
            evidence: *EVIDENCE.get(self.evidence as usize)?,
        })
    }
}

impl PingFields {
    fn encode_updates(seq: u64, view: u64, updates: &[MemberUpdate]) -> Self {
        Self { seq, view, updates: updates.iter().map(UpdateFields::from).collect() }
    }

    fn decode_updates(&self) -> Vec<MemberUpdate> {
        self.updates.iter().filter_map(UpdateFields::decode).collect()
    }
}

impl From<&Hello> for HelloFields {
    fn from(hello: &Hello) -> Self {
        let state = if hello.shutting_down { MemberState::Left } else { MemberState::Alive };
        Self {
            major: hello.major,
            minor: hello.minor,
            name: hello.name.clone(),
            list_version: hello.list_version,
            list_digest: hello.list_digest,
            own: Some(UpdateFields::from_key((hello.incarnation, hello.refutation, state))),
            known: hello.known.map(UpdateFields::from_key),
        }
    }
}

impl From<HelloFields> for Hello {
    fn from(fields: HelloFields) -> Self {
        let own = fields.own.as_ref().and_then(UpdateFields::decode);
        let known = fields.known.as_ref().and_then(UpdateFields::decode);
        Self {
            major: fields.major,
            minor: fields.minor,
            name: fields.name,
            list_version: fields.list_version,
            list_digest: fields.list_digest,
            incarnation: own.map(|own| own.incarnation).unwrap_or_default(),
            refutation: own.map_or(0, |own| own.refutation),
            shutting_down: own.is_some_and(|own| own.state == MemberState::Left),
            known: known.map(|known| known.key()),
        }
    }
}

fn encode_membership(message: &Message) -> Kind {
    match message {
        Message::Ping { seq, view, updates } => Kind::Ping(PingFields::encode_updates(*seq, *view, updates)),
        Message::Ack { seq, updates } => Kind::Ack(PingFields::encode_updates(*seq, 0, updates)),
        Message::Gossip { updates } => Kind::Gossip(PingFields::encode_updates(0, 0, updates)),
        Message::PingReq { seq, target } => {
            Kind::PingReq(PingReqFields { seq: *seq, target: target.0.into(), result: 0 })
        }
        Message::PingReqResult { seq, target, result } => {
            let result = number(&PROBE_RESULTS, result);
            Kind::PingReqResult(PingReqFields { seq: *seq, target: target.0.into(), result })
        }
    }
}

/// Encodes a frame, with its length prefix.
#[must_use]
pub fn encode(frame: &Frame) -> Vec<u8> {
    let kind = match frame {
        Frame::Hello(hello) => Some(Kind::Hello(hello.into())),
        Frame::Goodbye(reason) => Some(Kind::Goodbye(reason.clone())),
        Frame::Membership(message) => Some(encode_membership(message)),
        Frame::Takeover(messages) => Some(Kind::Takeover(messages.clone())),
        Frame::Unknown => None,
    };
    let envelope = Envelope { kind };
    let length = u32::try_from(envelope.encoded_len()).unwrap_or(u32::MAX);
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(envelope.encode_to_vec());
    bytes
}

fn decode_ping_req(fields: &PingReqFields) -> Option<Message> {
    Some(Message::PingReq { seq: fields.seq, target: peer(fields.target)? })
}

fn decode_ping_req_result(fields: &PingReqFields) -> Option<Message> {
    let result = *PROBE_RESULTS.get(fields.result as usize)?;
    Some(Message::PingReqResult { seq: fields.seq, target: peer(fields.target)?, result })
}

/// Decodes the first frame in `input`, and returns it with its size in bytes; `None` while it is incomplete.
///
/// # Errors
/// The length exceeds `max`, which is detected before the rest of the frame has arrived, or the bytes are not an
/// envelope.
pub fn decode(input: &[u8], max: usize) -> Result<Option<(Frame, usize)>, FrameError> {
    let Some((length, rest)) = input.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > max {
        return Err(FrameError::TooLong { length, max });
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let membership = |message: Option<Message>| message.map_or(Frame::Unknown, Frame::Membership);
    let frame = match Envelope::decode(body)?.kind {
        Some(Kind::Hello(fields)) => Frame::Hello(fields.into()),
        Some(Kind::Goodbye(reason)) => Frame::Goodbye(reason),
        Some(Kind::Ping(fields)) => {
            let (seq, view, updates) = (fields.seq, fields.view, fields.decode_updates());
            Frame::Membership(Message::Ping { seq, view, updates })
        }
        Some(Kind::Ack(fields)) => {
            Frame::Membership(Message::Ack { seq: fields.seq, updates: fields.decode_updates() })
        }
        Some(Kind::Gossip(fields)) => Frame::Membership(Message::Gossip { updates: fields.decode_updates() }),
        Some(Kind::PingReq(fields)) => membership(decode_ping_req(&fields)),
        Some(Kind::PingReqResult(fields)) => membership(decode_ping_req_result(&fields)),
        Some(Kind::Takeover(messages)) => Frame::Takeover(messages),
        None => Frame::Unknown,
    };
    Ok(Some((frame, LENGTH_BYTES + length)))
}

/// Encodes a takeover message.
#[must_use]
pub fn encode_takeover(message: &TakeoverMessage) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes the messages of a [`Frame::Takeover`], up to the first one that this version does not know.
#[must_use]
pub fn decode_takeover(mut bytes: &[u8]) -> Vec<TakeoverMessage> {
    let mut messages = Vec::new();
    while let Ok((message, rest)) = postcard::take_from_bytes(bytes) {
        messages.push(message);
        bytes = rest;
    }
    messages
}

/// The priority of a frame: when the outbound queue is full, frames of lower priority are dropped first.
#[must_use]
pub fn priority(frame: &Frame) -> Priority {
    match frame {
        Frame::Hello(_) | Frame::Goodbye(_) => Priority::Handshake,
        Frame::Takeover(_) => Priority::Takeover,
        Frame::Membership(Message::Ack { .. } | Message::PingReqResult { .. }) => Priority::Reply,
        Frame::Membership(Message::Ping { .. } | Message::PingReq { .. }) => Priority::Probe,
        Frame::Membership(Message::Gossip { .. }) | Frame::Unknown => Priority::Gossip,
    }
}
