//! Cut and spoilt bytes at each parser: what comes in pieces is read as it is when it comes whole, a cut message is
//! never whole, what is spoilt changes nothing that came before it, and what is held stays within the bounds.

use std::collections::BTreeSet;

use bytes::Bytes;
use mallowgauge_cluster::connections::Hello;
use mallowgauge_cluster::membership::{
    MemberState, MemberUpdate, Message as Between, ProbeResult, SuspicionEvidence,
};
use mallowgauge_cluster::{Incarnation, PeerId};
use mallowgauge_edge::front::http1::{self, BodyReader, MessageError, RequestHead, Response};
use mallowgauge_edge::front::query;
use mallowgauge_edge::peers::wire::{self, Frame as PeerFrame};
use mallowgauge_edge::upstream::frames::{self, BackendMessage};
use mallowgauge_flight::grpc::{self, Deframer, Encoding};
use mallowgauge_flight::proto;
use mallowgauge_router::{ClassId, Outcome};
use mallowgauge_settings::endpoint_list;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;
use serde_json::{json, Value};

/// The same cases every time.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Sizes of pieces, used over and over.
fn sizes() -> impl Strategy<Value = Vec<usize>> {
    prop_oneof![
        Just(vec![1]),
        prop::collection::vec(1..60_usize, 1..6),
        prop::collection::vec(1..9000_usize, 1..4)
    ]
}

fn pieces<'a>(bytes: &'a [u8], sizes: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let (mut at, mut turn) = (0, sizes.iter().cycle());
    std::iter::from_fn(move || {
        // Long messages in single bytes would take minutes.
        let end = bytes.len().min(at + (*turn.next()?).max(bytes.len() / 400));
        let piece = &bytes[at..end];
        at = end;
        (!piece.is_empty()).then_some(piece)
    })
}

/// Some bytes changed, each at a place of its own.
fn spoil(mut bytes: Vec<u8>, changes: &[(prop::sample::Index, u8)]) -> Vec<u8> {
    for (at, byte) in changes {
        if !bytes.is_empty() {
            let at = at.index(bytes.len());
            bytes[at] = *byte;
        }
    }
    bytes
}

/// Bytes that mean something to one of the parsers, and any.
fn byte() -> impl Strategy<Value = u8> {
    prop_oneof![prop::sample::select(&b"\r\n:;, 09afF\0\xff\x7f-+"[..]), any::<u8>()]
}

fn changes(most: usize) -> impl Strategy<Value = Vec<(prop::sample::Index, u8)>> {
    prop::collection::vec((any::<prop::sample::Index>(), byte()), 0..=most)
}

/// How a body is put on the wire.
#[derive(Clone, Debug)]
enum Framing {
    Sized,
    /// Sizes of the chunks, what stands behind each of these sizes, and a trailer.
    Chunked(Vec<usize>, String, String),
    /// Nothing says where it ends.
    Open,
}

fn filler(most: usize) -> impl Strategy<Value = String> {
    prop_oneof![4 => 0..20_usize, 1 => 0..=most].prop_map(|n| "x".repeat(n))
}

fn framing() -> impl Strategy<Value = Framing> {
    let chunked = (sizes(), filler(2500), filler(2500));
    prop_oneof![
        1 => Just(Framing::Sized),
        2 => chunked.prop_map(|(sizes, extension, trailer)| Framing::Chunked(sizes, extension, trailer)),
    ]
}

/// A message with this first line.
fn message(first: &str, filler: &str, framing: &Framing, body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first}\r\nHost: origin.svc\r\nX-Filler: {filler}\r\n").into_bytes();
    match framing {
        Framing::Open => {
            out.extend(b"\r\n");
            out.extend(body);
        }
        Framing::Sized => {
            out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
            out.extend(body);
        }
        Framing::Chunked(sizes, extension, trailer) => {
            out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            let extension = if extension.is_empty() { String::new() } else { format!(";e={extension}") };
            for chunk in pieces(body, sizes) {
                out.extend(format!("{:x}{extension}\r\n", chunk.len()).bytes());
                out.extend(chunk);
                out.extend(b"\r\n");
            }
            out.extend(b"0\r\n");
            if !trailer.is_empty() {
                out.extend(format!("T: {trailer}\r\n").bytes());
            }
            out.extend(b"\r\n");
        }
    }
    out
}

fn body() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        4 => prop::collection::vec(any::<u8>(), 0..200),
        1 => (0..80_000_usize).prop_map(|n| vec![b'b'; n]),
    ]
}

fn a_request() -> impl Strategy<Value = Vec<u8>> {
    (filler(17_000), framing(), body())
        .prop_map(|(filler, framing, body)| message("POST /api?x HTTP/1.1", &filler, &framing, &body))
}

/// A client's side of a connection as the front reads it.
#[derive(Default)]
struct Requests {
    input: Vec<u8>,
    open: Option<(RequestHead, BodyReader)>,
    read: Vec<(RequestHead, Vec<u8>)>,
    bad: bool,
    most: usize,
}

impl Requests {
    fn push(&mut self, piece: &[u8]) {
        self.input.extend_from_slice(piece);
        while !self.bad {
            match self.step() {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => self.bad = true,
            }
        }
        self.most = self.most.max(self.input.len());
    }

    fn step(&mut self) -> Result<bool, MessageError> {
        match &mut self.open {
            None => {
                self.open = http1::read_request(&mut self.input)?;
                Ok(self.open.is_some())
            }
            Some((head, body)) => {
                let Some(whole) = body.take(&mut self.input)? else { return Ok(false) };
                self.read.push((head.clone(), whole));
                self.open = None;
                Ok(true)
            }
        }
    }

    /// What these bytes are read as: the requests, whether there was something wrong, whether one is open.
    fn of<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut requests = Self::default();
        for piece in pieces {
            requests.push(piece);
        }
        requests
    }

    fn seen(&self) -> (&[(RequestHead, Vec<u8>)], bool, bool) {
        (&self.read, self.bad, self.open.is_some())
    }
}

proptest! {
    #![proptest_config(cases(600))]

    #[test]
    fn requests_in_pieces_are_read_as_whole_ones(
        all in prop::collection::vec(a_request(), 1..4), changes in changes(3), sizes in sizes(),
    ) {
        let bytes = spoil(all.concat(), &changes);
        let (whole, cut) = (Requests::of([&bytes[..]]), Requests::of(pieces(&bytes, &sizes)));
        prop_assert_eq!(whole.seen(), cut.seen());
        let piece = sizes.iter().max().copied().unwrap_or(0);
        // What is held beside the body: a head, or a line of a chunk.
        prop_assert!(cut.bad || cut.most <= http1::MAX_HEAD_BYTES + piece, "{} held", cut.most);
        prop_assert!(cut.read.iter().all(|(_, body)| body.len() <= http1::MAX_REQUEST_BODY_BYTES));
    }

    #[test]
    fn a_cut_request_is_never_whole(first in a_request(), second in a_request(), at in any::<prop::sample::Index>()) {
        let (one, both) = (Requests::of([&first[..]]), [&first[..], &second[..]].concat());
        let cut = at.index(both.len());
        let seen = Requests::of([&both[..cut]]);
        let whole = usize::from(cut >= first.len()).min(one.read.len());
        prop_assert_eq!(&seen.read[..], &one.read[..whole]);
    }

    #[test]
    fn a_spoilt_request_changes_none_before_it(
        first in a_request(), second in a_request(), changes in changes(4), sizes in sizes(),
    ) {
        let one = Requests::of([&first[..]]);
        let both = [first, spoil(second, &changes)].concat();
        let seen = Requests::of(pieces(&both, &sizes));
        prop_assert_eq!(seen.read.get(..one.read.len()), Some(&one.read[..]));
    }
}

/// What discovery's connection reads, with every piece that comes: the first whole response or what is wrong, and
/// how many bytes had come then.
fn response_of(
    bytes: &[u8],
    sizes: &[usize],
    closes: bool,
) -> (Result<Option<Response>, MessageError>, usize) {
    let mut come = 0;
    for piece in pieces(bytes, sizes) {
        come += piece.len();
        match http1::read_response(&bytes[..come], closes && come == bytes.len()) {
            Ok(None) => {}
            ended => return (ended, come),
        }
    }
    (http1::read_response(bytes, closes), come)
}

proptest! {
    #![proptest_config(cases(400))]

    #[test]
    fn a_response_in_pieces_is_read_as_a_whole_one(
        filler in filler(17_000), framing in framing(), body in body(), changes in changes(2), sizes in sizes(),
        closes: bool,
    ) {
        let bytes = spoil(message("HTTP/1.1 200 OK", &filler, &framing, &body), &changes);
        let whole = http1::read_response(&bytes, closes);
        let (read, come) = response_of(&bytes, &sizes, closes);
        match (whole, read) {
            (Err(_), Err(_)) => {}
            // A byte that was spoilt can end it early: what follows is not its own.
            (whole, read) => prop_assert_eq!(whole, read, "after {} of {}", come, bytes.len()),
        }
    }

    #[test]
    fn a_cut_response_is_never_whole(
        filler in filler(300), framing in framing(), body in body(), at in any::<prop::sample::Index>(), closes: bool,
    ) {
        let bytes = message("HTTP/1.1 200 OK", &filler, &framing, &body);
        let cut = &bytes[..at.index(bytes.len())];
        prop_assert!(!matches!(http1::read_response(cut, closes), Ok(Some(_))));
    }

    #[test]
    fn a_response_without_length_is_whole_only_at_the_end(body in body(), at in any::<prop::sample::Index>()) {
        let bytes = message("HTTP/1.1 200 OK", "", &Framing::Open, &body);
        let head = bytes.len() - body.len();
        let cut = at.index(bytes.len());
        prop_assert_eq!(http1::read_response(&bytes[..cut], false), Ok(None));
        prop_assert_eq!(http1::read_response(&bytes, false), Ok(None));
        let whole = Response { status: 200, body, close: true };
        prop_assert_eq!(http1::read_response(&bytes, true), Ok(Some(whole)));
        if cut < head {
            prop_assert_eq!(http1::read_response(&bytes[..cut], true), Ok(None));
        }
    }
}

fn a_list(hosts: usize) -> Value {
    let state = |n: usize| ["active", "leaving", "left"][n % 3];
    let instance = |n: usize| {
        json!({"instanceId": format!("hôst {n}"), "hostPort": format!("127.0.0.1:{}", 1000 + n), "zone": "z",
               "machineType": "m", "cell": n, "lifecycle": state(n), "weight": 1.0,
               "startedAtMs": n})
    };
    json!({"generation": 7, "reset": true, "instances": (0..hosts).map(instance).collect::<Vec<_>>()})
}

proptest! {
    #![proptest_config(cases(120))]

    // All the forms in which a list may come are one list; cut, in any form, it is none.
    #[test]
    fn a_list_is_the_same_in_every_form(
        count in 0..8_usize, indented: bool, framing in prop_oneof![framing(), Just(Framing::Open)], sizes in sizes(),
        at in any::<prop::sample::Index>(),
    ) {
        let value = a_list(count);
        let text = if indented { format!("{value:#}") } else { value.to_string() };
        let bytes = message("HTTP/1.1 200 OK", "", &framing, text.as_bytes());
        let (read, _) = response_of(&bytes, &sizes, true);
        let long = matches!(&framing, Framing::Chunked(_, extension, trailer)
            if extension.len().max(trailer.len()) > 1000);
        prop_assume!(!long);
        let read = read.ok().flatten().expect("a response");
        let list = endpoint_list::parse(&serde_json::from_slice(&read.body).expect("JSON")).expect("a list");
        prop_assert_eq!(&list, &endpoint_list::parse(&value).expect("a list"));
        prop_assert_eq!(list.backends.len(), count);
        // A reset looks like an end to `response`; what it cuts short is no JSON.
        let cut = &bytes[..at.index(bytes.len())];
        if let Ok(Some(read)) = http1::read_response(cut, true) {
            prop_assert!(serde_json::from_slice::<Value>(&read.body).is_err());
        }
    }
}

#[test]
fn an_answer_without_end_is_never_whole() {
    for head in ["Transfer-Encoding: chunked\r\n\r\n100000\r\n", "Content-Length: 2000000\r\n\r\n", "\r\n"] {
        let mut bytes = format!("HTTP/1.1 200 OK\r\n{head}").into_bytes();
        bytes.resize(1 << 20, b' ');
        assert_eq!(http1::read_response(&bytes, false), Ok(None), "{head}");
    }
    for body in ["", "{}", "[]", "null", "{\"generation\":1}"] {
        let value = serde_json::from_str::<Value>(body).map_err(|e| e.to_string());
        assert!(
            value.and_then(|value| endpoint_list::parse(&value).map_err(|e| e.to_string())).is_err(),
            "{body}"
        );
    }
}

/// A frame as a host writes it, or with another length.
fn host_frame(letter: u8, rest: &[u8], more: i32) -> Vec<u8> {
    let length = (rest.len() as i64 + 1 + i64::from(more)).max(0) as u32;
    [&length.to_be_bytes()[..], &[letter], rest].concat()
}

fn a_frame() -> impl Strategy<Value = Vec<u8>> {
    let end = prop::sample::select(vec!["good", "bad", "later", "goo", "goods"]);
    let answer = (end, filler(1100), filler(66_000)).prop_map(|(end, report, value)| {
        host_frame(b'q', format!("q1.3 {end} 17 {report}\n{value}").as_bytes(), 0)
    });
    let rest = prop::sample::select(vec!["good", "bad", "go", "goodX", "", "later"]);
    let odd = (prop::sample::select(b"oqprn".to_vec()), rest, -3..4_i32)
        .prop_map(|(letter, rest, more)| host_frame(letter, rest.as_bytes(), more));
    prop_oneof![2 => answer, 3 => odd, 1 => prop::collection::vec(any::<u8>(), 0..40)]
}

/// What a host's connection reads.
fn said<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<BackendMessage>, bool, usize) {
    let (mut input, mut all, mut held) = (Vec::new(), Vec::new(), 0);
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match frames::read(&input) {
                Ok(Some((said, used))) => {
                    input.drain(..used);
                    all.push(said);
                }
                Ok(None) => break,
                Err(_) => return (all, true, held),
            }
        }
        held = held.max(input.len());
    }
    (all, false, held)
}

proptest! {
    #![proptest_config(cases(1500))]

    #[test]
    fn frames_in_pieces_are_read_as_whole_ones(
        all in prop::collection::vec(a_frame(), 1..4), changes in changes(2), sizes in sizes(),
    ) {
        let bytes = spoil(all.concat(), &changes);
        let (whole, cut) = (said([&bytes[..]]), said(pieces(&bytes, &sizes)));
        prop_assert_eq!((&whole.0, whole.1), (&cut.0, cut.1));
        prop_assert!(cut.2 <= frames::MAX_FRAME_BYTES + 4, "{} held", cut.2);
    }

    #[test]
    fn a_cut_frame_is_never_whole(frame in a_frame(), at in any::<prop::sample::Index>()) {
        let cut = &frame[..at.index(frame.len() + 1)];
        if let Ok(Some((_, used))) = frames::read(cut) {
            prop_assert!(used <= cut.len(), "{used} of {}", cut.len());
        }
    }

    #[test]
    fn a_spoilt_frame_changes_none_before_it(second in a_frame(), changes in changes(3), sizes in sizes()) {
        let first = host_frame(b'q', b"q1.3 good 17 util=0.5\nvalue", 0);
        let both = [first, spoil(second, &changes)].concat();
        let seen = said(pieces(&both, &sizes));
        let wanted = BackendMessage::PartEnded { part: "q1.3".to_owned(), outcome: Outcome::Succeeded, value: "value".to_owned() };
        prop_assert_eq!(seen.0.first(), Some(&wanted));
    }
}

// A probe's answer that says of itself that more is to come was taken at its first four letters, for all of the bytes
// that had not come: the program ended there.
#[test]
fn a_probes_answer_that_is_longer_than_it_should_be_is_none() {
    assert!(frames::read(b"\0\0\0\x06ogood").is_err());
    assert!(frames::read(b"\0\0\0\x06ogoodX").is_err());
    assert_eq!(frames::read(b"\0\0\0\x05ogoo"), Ok(None));
    assert_eq!(frames::read(b"\0\0\0\x05ogood"), Ok(Some((BackendMessage::HealthChecked(true), 9))));
}

// What a host says goes into a line of the log.
#[test]
fn a_hosts_last_words_are_one_short_line() {
    let words = format!("a\nb\r\u{1b}[31m{}", "w".repeat(60_000));
    let Ok(Some((BackendMessage::FrameRejected(words), _))) =
        frames::read(&host_frame(b'r', words.as_bytes(), 0))
    else {
        panic!("no last words");
    };
    assert!(words.starts_with("a\\nb\\r"), "{words:.40}");
    assert!(words.len() <= 200 && !words.contains(char::is_control), "{}", words.len());
}

fn claim() -> impl Strategy<Value = MemberUpdate> {
    (any::<u16>(), any::<u64>(), any::<u64>(), any::<u32>(), 0..4_usize, any::<u16>(), any::<bool>())
        .prop_map(|(about, number, nonce, round, state, by, broken)| MemberUpdate {
            member: PeerId(about),
            incarnation: Incarnation { number, nonce },
            refutation: round,
            state: [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left][state],
            source: PeerId(by),
            evidence: if broken { SuspicionEvidence::ConnectionLost } else { SuspicionEvidence::NoResponse },
        })
}

fn between_peers() -> impl Strategy<Value = PeerFrame> {
    let claims = || prop::collection::vec(claim(), 0..6);
    prop_oneof![
        filler(300).prop_map(PeerFrame::Goodbye),
        (any::<u64>(), any::<u64>(), claims()).prop_map(|(seq, view, claims)| PeerFrame::Membership(
            Between::Ping { seq, view, updates: claims }
        )),
        (any::<u64>(), claims())
            .prop_map(|(seq, claims)| PeerFrame::Membership(Between::Ack { seq, updates: claims })),
        claims().prop_map(|claims| PeerFrame::Membership(Between::Gossip { updates: claims })),
        (any::<u64>(), any::<u16>()).prop_map(|(seq, target)| PeerFrame::Membership(Between::PingReq {
            seq,
            target: PeerId(target)
        })),
        (any::<u64>(), any::<u16>()).prop_map(|(seq, target)| PeerFrame::Membership(
            Between::PingReqResult { seq, target: PeerId(target), result: ProbeResult::ConnectionLost }
        )),
        prop::collection::vec(any::<u8>(), 0..80).prop_map(PeerFrame::Takeover),
        (any::<u32>(), any::<u64>(), filler(70)).prop_map(|(major, list, name)| PeerFrame::Hello(Hello {
            major,
            minor: 1,
            name,
            list_version: list,
            list_digest: 9,
            incarnation: Incarnation { number: 3, nonce: 4 },
            refutation: 5,
            leaving: major % 2 == 0,
            known: None,
        })),
    ]
}

/// Most bytes of a message between peers, here.
const MOST: usize = 400;

fn heard<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<PeerFrame>, bool, usize) {
    let (mut input, mut all, mut held) = (Vec::new(), Vec::new(), 0);
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match wire::decode(&input, MOST) {
                Ok(Some((said, used))) => {
                    input.drain(..used);
                    if let PeerFrame::Takeover(notes) = &said {
                        // They end at the first that makes no sense.
                        assert!(wire::decode_takeover(notes).len() <= notes.len());
                    }
                    all.push(said);
                }
                Ok(None) => break,
                Err(_) => return (all, true, held),
            }
        }
        held = held.max(input.len());
    }
    (all, false, held)
}

proptest! {
    #![proptest_config(cases(800))]

    #[test]
    fn peers_messages_in_pieces_are_read_as_whole_ones(
        all in prop::collection::vec(between_peers(), 1..5), changes in changes(3), sizes in sizes(),
    ) {
        let sound: Vec<u8> = all.iter().flat_map(wire::encode).collect();
        let fits = all.iter().all(|said| wire::encode(said).len() <= wire::LENGTH_BYTES + MOST);
        if fits {
            prop_assert_eq!(&heard(pieces(&sound, &sizes)).0, &all);
        }
        let bytes = spoil(sound, &changes);
        let (whole, cut) = (heard([&bytes[..]]), heard(pieces(&bytes, &sizes)));
        prop_assert_eq!((&whole.0, whole.1), (&cut.0, cut.1));
        prop_assert!(cut.2 < wire::LENGTH_BYTES + MOST, "{} held", cut.2);
    }

    #[test]
    fn a_cut_message_of_a_peer_is_never_whole(said in between_peers(), at in any::<prop::sample::Index>()) {
        let bytes = wire::encode(&said);
        let cut = &bytes[..at.index(bytes.len())];
        prop_assert!(!matches!(wire::decode(cut, MOST), Ok(Some(_))));
    }

    #[test]
    fn a_spoilt_message_of_a_peer_changes_none_before_it(
        first in between_peers(), second in between_peers(), changes in changes(4),
    ) {
        let first = wire::encode(&first);
        let one = heard([&first[..]]);
        let both = [first, spoil(wire::encode(&second), &changes)].concat();
        let seen = heard([&both[..]]);
        prop_assert_eq!(seen.0.get(..one.0.len()), Some(&one.0[..]));
    }
}

/// The messages that a deframer takes, whether something was wrong, and the most that it held.
fn deframed<'a>(
    pieces: impl IntoIterator<Item = &'a [u8]>,
    most: usize,
    encoding: Encoding,
) -> (Vec<Bytes>, bool, usize) {
    let (mut deframer, mut all, mut held) = (Deframer::new(most).with_encoding(encoding), Vec::new(), 0);
    for piece in pieces {
        deframer.push(piece);
        loop {
            match deframer.next_message() {
                Ok(Some(message)) => all.push(message),
                Ok(None) => break,
                Err(_) => return (all, true, held),
            }
        }
        held = held.max(deframer.len());
    }
    (all, false, held)
}

proptest! {
    #![proptest_config(cases(800))]

    #[test]
    fn grpc_messages_in_pieces_are_read_as_whole_ones(
        all in prop::collection::vec(filler(4000), 1..4), gzip: bool, changes in changes(2), sizes in sizes(),
        at in any::<prop::sample::Index>(),
    ) {
        let encoding = if gzip { Encoding::Gzip } else { Encoding::Identity };
        let framed = |text: &String| {
            grpc::frame_pieces(vec![Bytes::from(text.clone())], encoding).concat()
        };
        let sound: Vec<u8> = all.iter().flat_map(framed).collect();
        let most = 2000;
        let fit: Vec<Bytes> =
            all.iter().take_while(|text| text.len() <= most).map(|text| text.clone().into()).collect();
        let (read, bad, _) = deframed([&sound[..]], most, encoding);
        prop_assert_eq!((&read, bad), (&fit, fit.len() < all.len()));
        // Cut anywhere, it gives what was whole before the cut and nothing else.
        let cut = deframed([&sound[..at.index(sound.len())]], most, encoding).0;
        prop_assert!(cut.len() < all.len() && cut[..] == fit[..cut.len()]);
        let bytes = spoil(sound, &changes);
        let (whole, cut) = (deframed([&bytes[..]], most, encoding), deframed(pieces(&bytes, &sizes), most, encoding));
        prop_assert_eq!((&whole.0, whole.1), (&cut.0, cut.1));
        prop_assert!(cut.2 < 5 + most, "{} held", cut.2);
        prop_assert!(whole.0.iter().all(|message| message.len() <= most));
    }

    #[test]
    fn any_bytes_are_a_message_or_none(bytes in prop::collection::vec(byte(), 0..200)) {
        // Nothing here may end the program; what is decoded can be written again.
        macro_rules! decode {
            ($($kind:ident),*) => {$(
                if let Ok(message) = proto::$kind::decode(&bytes[..]) {
                    let again = proto::$kind::decode(&message.encode_to_vec()[..]);
                    prop_assert_eq!(again.map(|again| again.encoded_len()), Ok(message.encoded_len()));
                }
            )*};
        }
        decode!(Handshake, BasicAuth, Criteria, FlightDescriptor, Ticket, FlightInfo, Action, FlightData, RpcStatus);
    }
}

/// A query's body with something put in place of one of its values.
fn odd_query() -> impl Strategy<Value = (Value, bool)> {
    let odd = prop_oneof![
        Just(Value::Null),
        Just(json!(-1)),
        Just(json!(1e300)),
        Just(json!(u64::MAX)),
        Just(json!("é\0")),
        Just(json!([])),
        Just(json!({})),
        Just(json!(true)),
        Just(json!(0.5)),
        Just(json!([[[]]])),
    ];
    let place = prop::sample::select(vec![
        "",
        "/ranges",
        "/ranges/0",
        "/ranges/1/range",
        "/ranges/1/portion",
        "/ranges/0/price",
        "/predicate",
        "/total",
        "/plan",
        "/plan/choose",
        "/plan/choose/best",
        "/plan/top",
        "/plan/silent",
    ]);
    (odd, place, any::<bool>()).prop_map(|(odd, place, planned)| {
        let mut body = json!({"predicate": "text", "ranges": [
            {"range": 3, "portion": 0.5, "price": 9000}, {"range": 9, "portion": 0.5, "hash": "00"}]});
        if planned {
            body["plan"] = json!({"choose": {"best": 3}, "top": 4, "wave": 2, "silent": "skip"});
        }
        let found = body.pointer_mut(place).map(|value| *value = odd).is_some();
        (body, found)
    })
}

proptest! {
    #![proptest_config(cases(600))]

    #[test]
    fn a_querys_body_is_read_or_refused((body, changed) in odd_query()) {
        let metadata = query::QueryMetadata { id: "q".into(), class: ClassId(0), expires_in: 1, retry: false };
        match query::parse(metadata, &body) {
            Ok(ask) => {
                prop_assert_eq!(ask.parts.len(), body["ranges"].as_array().map_or(0, Vec::len));
                prop_assert_eq!(Some(&*ask.body), body["predicate"].as_str().map(str::as_bytes));
                for (part, range) in ask.parts.iter().zip(body["ranges"].as_array().expect("a list")) {
                    prop_assert_eq!(Some(u64::from(part.shard.0)), range["range"].as_u64());
                    prop_assert_eq!(Some(part.weight), range["portion"].as_f64());
                }
                prop_assert_eq!(ask.plan.is_some(), !body["plan"].is_null());
            }
            Err(_) => prop_assert!(changed, "{body}"),
        }
    }

    #[test]
    fn an_id_fits_on_a_hosts_line(text in "\\PC{0,70}|[!-~]{0,70}|[ -~\\n]{0,5}") {
        let fits = (1..=64).contains(&text.len()) && text.chars().all(|c| ('!'..='~').contains(&c));
        prop_assert_eq!(query::is_valid_id(&text), fits);
    }
}

// The strategies above have to reach what they are for.
#[test]
fn the_cases_reach_every_kind_of_end() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::new(cases(1));
    let mut kinds = BTreeSet::new();
    for _ in 0..300 {
        let frame = a_frame().new_tree(&mut runner).expect("a frame").current();
        kinds.insert(match frames::read(&frame) {
            Ok(Some((BackendMessage::PartEnded { .. }, _))) => "answer".to_owned(),
            Ok(Some((BackendMessage::HealthChecked(_), _))) => "probe".to_owned(),
            Ok(Some((BackendMessage::FrameRejected(_), _))) => "last words".to_owned(),
            Ok(None) => "not whole".to_owned(),
            Err(error) => error.to_string(),
        });
        let request = a_request().new_tree(&mut runner).expect("a request").current();
        let seen = Requests::of([&request[..]]);
        kinds.insert(if seen.bad { "bad request" } else { "request" }.to_owned());
    }
    assert!(kinds.len() >= 9, "{kinds:?}");
}
