//! Messages between gatherers as bytes: a length of four bytes, most significant first, then a protobuf
//! envelope. Unknown fields and unknown kinds pass by; only another major version is refused.

use mallowgauge_cluster::flow::Worth;
use mallowgauge_cluster::links::Hello;
use mallowgauge_cluster::members::{Claim, Grade, Message, Reached, State};
use mallowgauge_cluster::takeover::Message as TakeoverMessage;
use mallowgauge_cluster::{Incarnation, PeerId};
use prost::Message as _;

/// Bytes of a message's length.
pub const HEAD: usize = 4;

/// What is said on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// The first message of each side.
    Hello(Hello),
    /// The last message of a side, with the reason in words.
    Goodbye(String),
    /// Between members.
    Message(Message),
    /// Between those that keep and act for ids: [`note`]s one behind the other.
    Notes(Vec<u8>),
    /// A kind that this version does not know, or one that lacks what it needs.
    Unknown,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Kind {
    #[prost(message, tag = "1")]
    Hello(HelloWire),
    #[prost(string, tag = "2")]
    Goodbye(String),
    #[prost(message, tag = "3")]
    Ping(Question),
    #[prost(message, tag = "4")]
    Ack(Question),
    #[prost(message, tag = "5")]
    AskFor(ForAnother),
    #[prost(message, tag = "6")]
    Word(ForAnother),
    #[prost(message, tag = "7")]
    Tell(Question),
    /// Notes in postcard's form, one behind the other: what they hold is the register's business and changes with
    /// the minor version.
    #[prost(bytes = "vec", tag = "8")]
    Notes(Vec<u8>),
}

/// The major version is the first field for good, so that it can be read in any version.
#[derive(Clone, PartialEq, prost::Message)]
struct HelloWire {
    #[prost(uint32, tag = "1")]
    major: u32,
    #[prost(uint32, tag = "2")]
    minor: u32,
    #[prost(string, tag = "3")]
    name: String,
    #[prost(uint64, tag = "4")]
    list: u64,
    #[prost(fixed64, tag = "5")]
    digest: u64,
    #[prost(message, optional, tag = "6")]
    own: Option<ClaimWire>,
    #[prost(message, optional, tag = "7")]
    known: Option<ClaimWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Question {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(fixed64, tag = "2")]
    view: u64,
    #[prost(message, repeated, tag = "3")]
    claims: Vec<ClaimWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ForAnother {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(uint32, tag = "2")]
    target: u32,
    /// 0 where nothing came of it, 1 where it was reached, 2 where its link is broken.
    #[prost(uint32, tag = "3")]
    word: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ClaimWire {
    #[prost(uint32, tag = "1")]
    about: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(fixed64, tag = "3")]
    nonce: u64,
    #[prost(uint32, tag = "4")]
    round: u32,
    /// 0 alive, 1 doubted, 2 gone, 3 left.
    #[prost(uint32, tag = "5")]
    state: u32,
    #[prost(uint32, tag = "6")]
    by: u32,
    /// 0 silence, 1 a broken link.
    #[prost(uint32, tag = "7")]
    grade: u32,
}

const STATES: [State; 4] = [State::Alive, State::Doubted, State::Gone, State::Left];
const GRADES: [Grade; 2] = [Grade::Silence, Grade::Broken];
const WORDS: [Reached; 3] = [Reached::No, Reached::Yes, Reached::Broken];

fn number<T: PartialEq>(all: &[T], one: &T) -> u32 {
    all.iter().position(|known| known == one).map_or(0, |at| at as u32)
}

fn peer(number: u32) -> Option<PeerId> {
    u16::try_from(number).ok().map(PeerId)
}

impl From<&Claim> for ClaimWire {
    fn from(claim: &Claim) -> Self {
        Self {
            about: claim.about.0.into(),
            number: claim.incarnation.number,
            nonce: claim.incarnation.nonce,
            round: claim.round,
            state: number(&STATES, &claim.state),
            by: claim.by.0.into(),
            grade: number(&GRADES, &claim.grade),
        }
    }
}

impl ClaimWire {
    /// `None` for a state that this version does not know: what it means cannot be guessed.
    fn read(&self) -> Option<Claim> {
        Some(Claim {
            about: peer(self.about)?,
            incarnation: Incarnation { number: self.number, nonce: self.nonce },
            round: self.round,
            state: *STATES.get(self.state as usize)?,
            by: peer(self.by)?,
            grade: *GRADES.get(self.grade as usize)?,
        })
    }
}

fn claims(wire: &[ClaimWire]) -> Vec<Claim> {
    wire.iter().filter_map(ClaimWire::read).collect()
}

fn question(seq: u64, view: u64, claims: &[Claim]) -> Question {
    Question { seq, view, claims: claims.iter().map(ClaimWire::from).collect() }
}

/// A message as bytes, with its length before it.
#[must_use]
pub fn write(said: &Said) -> Vec<u8> {
    let kind = match said {
        Said::Hello(hello) => Some(Kind::Hello(hello_wire(hello))),
        Said::Goodbye(words) => Some(Kind::Goodbye(words.clone())),
        Said::Message(Message::Ping { seq, view, claims }) => Some(Kind::Ping(question(*seq, *view, claims))),
        Said::Message(Message::Ack { seq, claims }) => Some(Kind::Ack(question(*seq, 0, claims))),
        Said::Message(Message::Tell { claims }) => Some(Kind::Tell(question(0, 0, claims))),
        Said::Message(Message::AskFor { seq, target }) => {
            Some(Kind::AskFor(ForAnother { seq: *seq, target: target.0.into(), word: 0 }))
        }
        Said::Message(Message::Word { seq, target, word }) => {
            let word = number(&WORDS, word);
            Some(Kind::Word(ForAnother { seq: *seq, target: target.0.into(), word }))
        }
        Said::Notes(notes) => Some(Kind::Notes(notes.clone())),
        Said::Unknown => None,
    };
    let envelope = Envelope { kind };
    let length = u32::try_from(envelope.encoded_len()).unwrap_or(u32::MAX);
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(envelope.encode_to_vec());
    bytes
}

fn hello_wire(hello: &Hello) -> HelloWire {
    let claim = |(incarnation, round, state): (Incarnation, u32, State)| ClaimWire {
        number: incarnation.number,
        nonce: incarnation.nonce,
        round,
        state: number(&STATES, &state),
        ..ClaimWire::default()
    };
    let state = if hello.leaving { State::Left } else { State::Alive };
    HelloWire {
        major: hello.major,
        minor: hello.minor,
        name: hello.name.clone(),
        list: hello.list,
        digest: hello.digest,
        own: Some(claim((hello.incarnation, hello.round, state))),
        known: hello.known.map(claim),
    }
}

fn hello_read(wire: HelloWire) -> Hello {
    let own = wire.own.as_ref().and_then(ClaimWire::read);
    Hello {
        major: wire.major,
        minor: wire.minor,
        name: wire.name,
        list: wire.list,
        digest: wire.digest,
        incarnation: own.map(|own| own.incarnation).unwrap_or_default(),
        round: own.map_or(0, |own| own.round),
        leaving: own.is_some_and(|own| own.state == State::Left),
        known: wire.known.as_ref().and_then(ClaimWire::read).map(|claim| claim.key()),
    }
}

/// The first whole message in `input`, with the bytes that it takes up; `None` while there is none.
///
/// # Errors
/// A length beyond `most`, which is told before any of it has come, or bytes that are no message.
pub fn read(input: &[u8], most: usize) -> Result<Option<(Said, usize)>, String> {
    let Some((head, rest)) = input.split_first_chunk::<HEAD>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > most {
        return Err(format!("a message of {length} bytes, {most} at most"));
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let envelope = Envelope::decode(body).map_err(|e| format!("no message: {e}"))?;
    let said = match envelope.kind {
        Some(Kind::Hello(hello)) => Said::Hello(hello_read(hello)),
        Some(Kind::Goodbye(words)) => Said::Goodbye(words),
        Some(Kind::Ping(Question { seq, view, claims: said })) => {
            Said::Message(Message::Ping { seq, view, claims: claims(&said) })
        }
        Some(Kind::Ack(Question { seq, claims: said, .. })) => {
            Said::Message(Message::Ack { seq, claims: claims(&said) })
        }
        Some(Kind::Tell(Question { claims: said, .. })) => {
            Said::Message(Message::Tell { claims: claims(&said) })
        }
        Some(Kind::AskFor(ForAnother { seq, target, .. })) => {
            peer(target).map_or(Said::Unknown, |target| Said::Message(Message::AskFor { seq, target }))
        }
        Some(Kind::Word(ForAnother { seq, target, word })) => {
            match (peer(target), WORDS.get(word as usize)) {
                (Some(target), Some(&word)) => Said::Message(Message::Word { seq, target, word }),
                _ => Said::Unknown,
            }
        }
        Some(Kind::Notes(notes)) => Said::Notes(notes),
        None => Said::Unknown,
    };
    Ok(Some((said, HEAD + length)))
}

/// Bytes of [`Said::Notes`] beside those of the notes, at the most.
pub const AROUND: usize = 16;

/// A note as bytes.
#[must_use]
pub fn note(note: &TakeoverMessage) -> Vec<u8> {
    postcard::to_stdvec(note).unwrap_or_default()
}

/// The notes of [`Said::Notes`], up to the first that this version does not know.
#[must_use]
pub fn notes(mut bytes: &[u8]) -> Vec<TakeoverMessage> {
    let mut notes = Vec::new();
    while let Ok((note, rest)) = postcard::take_from_bytes(bytes) {
        notes.push(note);
        bytes = rest;
    }
    notes
}

/// What a message is worth to whoever waits for it.
#[must_use]
pub fn worth(said: &Said) -> Worth {
    match said {
        Said::Hello(_) | Said::Goodbye(_) => Worth::Bond,
        Said::Notes(_) => Worth::Promise,
        Said::Message(Message::Ack { .. } | Message::Word { .. }) => Worth::Answer,
        Said::Message(Message::Ping { .. } | Message::AskFor { .. }) => Worth::Question,
        Said::Message(Message::Tell { .. }) | Said::Unknown => Worth::Hearsay,
    }
}
