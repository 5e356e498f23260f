//! Property tests that feed truncated and corrupted bytes to each parser. Input in pieces is parsed like the same input
//! at once, a truncated message is never complete, corruption changes no earlier message, and buffers stay within their
//! limits.

use std::collections::BTreeSet;

use bytes::Bytes;
use mallowgauge_cluster::connections::Hello;
use mallowgauge_cluster::membership::{
    MemberState, MemberUpdate, Message as MembershipMessage, ProbeResult, SuspicionEvidence,
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

/// A configuration with a fixed seed, so that every run has the same cases.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Sizes of pieces, repeated cyclically.
fn piece_sizes() -> impl Strategy<Value = Vec<usize>> {
    prop_oneof![
        Just(vec![1]),
        prop::collection::vec(1..60_usize, 1..6),
        prop::collection::vec(1..9000_usize, 1..4)
    ]
}

/// Splits the bytes into pieces of these sizes.
fn pieces<'a>(bytes: &'a [u8], piece_sizes: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let (mut start, mut next_size) = (0, piece_sizes.iter().cycle());
    std::iter::from_fn(move || {
        // Long messages in pieces of one byte would take minutes.
        let end = bytes.len().min(start + (*next_size.next()?).max(bytes.len() / 400));
        let piece = &bytes[start..end];
        start = end;
        (!piece.is_empty()).then_some(piece)
    })
}

/// Overwrites bytes at the given positions.
fn corrupt(mut bytes: Vec<u8>, changes: &[(prop::sample::Index, u8)]) -> Vec<u8> {
    for (position, byte) in changes {
        if !bytes.is_empty() {
            let position = position.index(bytes.len());
            bytes[position] = *byte;
        }
    }
    bytes
}

/// Bytes that are significant to one of the parsers, and arbitrary ones.
fn byte() -> impl Strategy<Value = u8> {
    prop_oneof![prop::sample::select(&b"\r\n:;, 09afF\0\xff\x7f-+"[..]), any::<u8>()]
}

/// Up to `max` bytes to overwrite, with their positions.
fn changes(max: usize) -> impl Strategy<Value = Vec<(prop::sample::Index, u8)>> {
    prop::collection::vec((any::<prop::sample::Index>(), byte()), 0..=max)
}

/// How the end of a body is marked.
#[derive(Clone, Debug)]
enum Framing {
    ContentLength,
    /// Sizes of the chunks, the extension of each chunk's size line, and a trailer.
    Chunked(Vec<usize>, String, String),
    /// The body ends with the connection.
    UntilClose,
}

/// Filler text of up to `max` bytes, mostly short.
fn filler(max: usize) -> impl Strategy<Value = String> {
    prop_oneof![4 => 0..20_usize, 1 => 0..=max].prop_map(|n| "x".repeat(n))
}

fn framing() -> impl Strategy<Value = Framing> {
    let chunked = (piece_sizes(), filler(2500), filler(2500));
    prop_oneof![
        1 => Just(Framing::ContentLength),
        2 => chunked.prop_map(|(piece_sizes, extension, trailer)| Framing::Chunked(piece_sizes, extension, trailer)),
    ]
}

/// Returns an HTTP message with this start line.
fn message(start_line: &str, filler: &str, framing: &Framing, body: &[u8]) -> Vec<u8> {
    let mut out = format!("{start_line}\r\nHost: origin.svc\r\nX-Filler: {filler}\r\n").into_bytes();
    match framing {
        Framing::UntilClose => {
            out.extend(b"\r\n");
            out.extend(body);
        }
        Framing::ContentLength => {
            out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
            out.extend(body);
        }
        Framing::Chunked(piece_sizes, extension, trailer) => {
            out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            let extension = if extension.is_empty() { String::new() } else { format!(";e={extension}") };
            for chunk in pieces(body, piece_sizes) {
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

fn any_request() -> impl Strategy<Value = Vec<u8>> {
    (filler(17_000), framing(), body())
        .prop_map(|(filler, framing, body)| message("POST /api?x HTTP/1.1", &filler, &framing, &body))
}

/// The requests that the frontend reads from one client connection.
#[derive(Default)]
struct Requests {
    input: Vec<u8>,
    incomplete: Option<(RequestHead, BodyReader)>,
    complete: Vec<(RequestHead, Vec<u8>)>,
    malformed: bool,
    max_buffered: usize,
}

impl Requests {
    fn push(&mut self, piece: &[u8]) {
        self.input.extend_from_slice(piece);
        while !self.malformed {
            match self.step() {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => self.malformed = true,
            }
        }
        self.max_buffered = self.max_buffered.max(self.input.len());
    }

    fn step(&mut self) -> Result<bool, MessageError> {
        match &mut self.incomplete {
            None => {
                self.incomplete = http1::read_request(&mut self.input)?;
                Ok(self.incomplete.is_some())
            }
            Some((head, body)) => {
                let Some(body) = body.take(&mut self.input)? else { return Ok(false) };
                self.complete.push((head.clone(), body));
                self.incomplete = None;
                Ok(true)
            }
        }
    }

    /// Reads the requests in these pieces.
    fn parse<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut requests = Self::default();
        for piece in pieces {
            requests.push(piece);
        }
        requests
    }

    /// Returns the complete requests, whether the input is malformed, and whether a request is incomplete.
    fn state(&self) -> (&[(RequestHead, Vec<u8>)], bool, bool) {
        (&self.complete, self.malformed, self.incomplete.is_some())
    }
}

proptest! {
    #![proptest_config(cases(600))]

    #[test]
    fn requests_in_pieces_are_parsed_like_whole_ones(
        requests in prop::collection::vec(any_request(), 1..4), changes in changes(3), piece_sizes in piece_sizes(),
    ) {
        let bytes = corrupt(requests.concat(), &changes);
        let at_once = Requests::parse([&bytes[..]]);
        let in_pieces = Requests::parse(pieces(&bytes, &piece_sizes));
        prop_assert_eq!(at_once.state(), in_pieces.state());
        let longest_piece = piece_sizes.iter().max().copied().unwrap_or(0);
        // Beside the body only a head or the line of a chunk is buffered.
        prop_assert!(
            in_pieces.malformed || in_pieces.max_buffered <= http1::MAX_HEAD_BYTES + longest_piece,
            "{} bytes buffered", in_pieces.max_buffered
        );
        prop_assert!(in_pieces.complete.iter().all(|(_, body)| body.len() <= http1::MAX_REQUEST_BODY_BYTES));
    }

    #[test]
    fn truncated_request_is_never_complete(
        first in any_request(), second in any_request(), length in any::<prop::sample::Index>(),
    ) {
        let (one, both) = (Requests::parse([&first[..]]), [&first[..], &second[..]].concat());
        let length = length.index(both.len());
        let truncated = Requests::parse([&both[..length]]);
        let expected = usize::from(length >= first.len()).min(one.complete.len());
        prop_assert_eq!(&truncated.complete[..], &one.complete[..expected]);
    }

    #[test]
    fn corrupted_request_changes_no_earlier_request(
        first in any_request(), second in any_request(), changes in changes(4), piece_sizes in piece_sizes(),
    ) {
        let one = Requests::parse([&first[..]]);
        let both = [first, corrupt(second, &changes)].concat();
        let parsed = Requests::parse(pieces(&both, &piece_sizes));
        prop_assert_eq!(parsed.complete.get(..one.complete.len()), Some(&one.complete[..]));
    }
}

/// Parses a response from discovery again after each piece. Returns the first complete response or error, and the
/// number of bytes received by then.
fn parse_response(
    bytes: &[u8],
    piece_sizes: &[usize],
    closes: bool,
) -> (Result<Option<Response>, MessageError>, usize) {
    let mut received = 0;
    for piece in pieces(bytes, piece_sizes) {
        received += piece.len();
        match http1::read_response(&bytes[..received], closes && received == bytes.len()) {
            Ok(None) => {}
            result => return (result, received),
        }
    }
    (http1::read_response(bytes, closes), received)
}

proptest! {
    #![proptest_config(cases(400))]

    #[test]
    fn response_in_pieces_is_parsed_like_a_whole_one(
        filler in filler(17_000), framing in framing(), body in body(), changes in changes(2), piece_sizes in piece_sizes(),
        closes: bool,
    ) {
        let bytes = corrupt(message("HTTP/1.1 200 OK", &filler, &framing, &body), &changes);
        let at_once = http1::read_response(&bytes, closes);
        let (in_pieces, received) = parse_response(&bytes, &piece_sizes, closes);
        match (at_once, in_pieces) {
            (Err(_), Err(_)) => {}
            // A corrupted byte can end the response early; the bytes after that end do not belong to it.
            (at_once, in_pieces) => {
                prop_assert_eq!(at_once, in_pieces, "after {} of {} bytes", received, bytes.len());
            }
        }
    }

    #[test]
    fn truncated_response_is_never_complete(
        filler in filler(300), framing in framing(), body in body(), length in any::<prop::sample::Index>(), closes: bool,
    ) {
        let bytes = message("HTTP/1.1 200 OK", &filler, &framing, &body);
        let truncated = &bytes[..length.index(bytes.len())];
        prop_assert!(!matches!(http1::read_response(truncated, closes), Ok(Some(_))));
    }

    #[test]
    fn response_without_length_is_complete_only_when_the_connection_closes(
        body in body(), length in any::<prop::sample::Index>(),
    ) {
        let bytes = message("HTTP/1.1 200 OK", "", &Framing::UntilClose, &body);
        let head = bytes.len() - body.len();
        let length = length.index(bytes.len());
        prop_assert_eq!(http1::read_response(&bytes[..length], false), Ok(None));
        prop_assert_eq!(http1::read_response(&bytes, false), Ok(None));
        let complete = Response { status: 200, body, close: true };
        prop_assert_eq!(http1::read_response(&bytes, true), Ok(Some(complete)));
        if length < head {
            prop_assert_eq!(http1::read_response(&bytes[..length], true), Ok(None));
        }
    }
}

/// Returns an endpoint list of this many backends, as discovery sends it.
fn endpoint_list(backends: usize) -> Value {
    let state = |n: usize| ["active", "leaving", "left"][n % 3];
    let instance = |n: usize| {
        json!({"instanceId": format!("hôst {n}"), "hostPort": format!("127.0.0.1:{}", 1000 + n), "zone": "z",
               "machineType": "m", "cell": n, "lifecycle": state(n), "weight": 1.0,
               "startedAtMs": n})
    };
    json!({"generation": 7, "reset": true, "instances": (0..backends).map(instance).collect::<Vec<_>>()})
}

proptest! {
    #![proptest_config(cases(120))]

    // The endpoint list parses alike in every framing and JSON layout; truncated, it never parses.
    #[test]
    fn endpoint_list_parses_alike_in_every_form(
        count in 0..8_usize, indented: bool, framing in prop_oneof![framing(), Just(Framing::UntilClose)], piece_sizes in piece_sizes(),
        length in any::<prop::sample::Index>(),
    ) {
        let value = endpoint_list(count);
        let text = if indented { format!("{value:#}") } else { value.to_string() };
        let bytes = message("HTTP/1.1 200 OK", "", &framing, text.as_bytes());
        let (response, _) = parse_response(&bytes, &piece_sizes, true);
        let long = matches!(&framing, Framing::Chunked(_, extension, trailer)
            if extension.len().max(trailer.len()) > 1000);
        prop_assume!(!long);
        let response = response.ok().flatten().expect("a response");
        let list = endpoint_list::parse(&serde_json::from_slice(&response.body).expect("JSON")).expect("a valid list");
        prop_assert_eq!(&list, &endpoint_list::parse(&value).expect("a valid list"));
        prop_assert_eq!(list.backends.len(), count);
        // `read_response` takes a reset for the end of the body; a body that is cut short there is not valid JSON.
        let truncated = &bytes[..length.index(bytes.len())];
        if let Ok(Some(response)) = http1::read_response(truncated, true) {
            prop_assert!(serde_json::from_slice::<Value>(&response.body).is_err());
        }
    }
}

#[test]
fn unfinished_response_is_never_complete() {
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

/// Returns a frame as a backend writes it. `length_error` is added to its length field.
fn backend_frame(letter: u8, rest: &[u8], length_error: i32) -> Vec<u8> {
    let length = (rest.len() as i64 + 1 + i64::from(length_error)).max(0) as u32;
    [&length.to_be_bytes()[..], &[letter], rest].concat()
}

fn any_frame() -> impl Strategy<Value = Vec<u8>> {
    let outcome = prop::sample::select(vec!["good", "bad", "later", "goo", "goods"]);
    let answer = (outcome, filler(1100), filler(66_000)).prop_map(|(outcome, report, value)| {
        backend_frame(b'q', format!("q1.3 {outcome} 17 {report}\n{value}").as_bytes(), 0)
    });
    let rest = prop::sample::select(vec!["good", "bad", "go", "goodX", "", "later"]);
    let odd = (prop::sample::select(b"oqprn".to_vec()), rest, -3..4_i32)
        .prop_map(|(letter, rest, length_error)| backend_frame(letter, rest.as_bytes(), length_error));
    prop_oneof![2 => answer, 3 => odd, 1 => prop::collection::vec(any::<u8>(), 0..40)]
}

/// Parses a backend's frames. Returns them, whether the input is malformed, and the most bytes buffered between
/// pieces.
fn parse_frames<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<BackendMessage>, bool, usize) {
    let (mut input, mut messages, mut max_buffered) = (Vec::new(), Vec::new(), 0);
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match frames::read(&input) {
                Ok(Some((message, used))) => {
                    input.drain(..used);
                    messages.push(message);
                }
                Ok(None) => break,
                Err(_) => return (messages, true, max_buffered),
            }
        }
        max_buffered = max_buffered.max(input.len());
    }
    (messages, false, max_buffered)
}

proptest! {
    #![proptest_config(cases(1500))]

    #[test]
    fn frames_in_pieces_are_parsed_like_whole_ones(
        frames in prop::collection::vec(any_frame(), 1..4), changes in changes(2), piece_sizes in piece_sizes(),
    ) {
        let bytes = corrupt(frames.concat(), &changes);
        let (at_once, malformed_at_once, _) = parse_frames([&bytes[..]]);
        let (in_pieces, malformed_in_pieces, max_buffered) = parse_frames(pieces(&bytes, &piece_sizes));
        prop_assert_eq!((&at_once, malformed_at_once), (&in_pieces, malformed_in_pieces));
        prop_assert!(max_buffered <= frames::MAX_FRAME_BYTES + 4, "{} bytes buffered", max_buffered);
    }

    #[test]
    fn truncated_frame_is_never_complete(frame in any_frame(), length in any::<prop::sample::Index>()) {
        let truncated = &frame[..length.index(frame.len() + 1)];
        if let Ok(Some((_, used))) = frames::read(truncated) {
            prop_assert!(used <= truncated.len(), "{used} of {}", truncated.len());
        }
    }

    #[test]
    fn corrupted_frame_changes_no_earlier_frame(second in any_frame(), changes in changes(3), piece_sizes in piece_sizes()) {
        let first = backend_frame(b'q', b"q1.3 good 17 util=0.5\nvalue", 0);
        let both = [first, corrupt(second, &changes)].concat();
        let (messages, ..) = parse_frames(pieces(&both, &piece_sizes));
        let expected = BackendMessage::PartEnded { part: "q1.3".to_owned(), outcome: Outcome::Succeeded, value: "value".to_owned() };
        prop_assert_eq!(messages.first(), Some(&expected));
    }
}

// Guards against a panic on a health check answer whose length field is too large: the parser took its first four
// letters as the answer and consumed bytes that had not arrived.
#[test]
fn health_check_answer_that_is_too_long_is_rejected() {
    assert!(frames::read(b"\0\0\0\x06ogood").is_err());
    assert!(frames::read(b"\0\0\0\x06ogoodX").is_err());
    assert_eq!(frames::read(b"\0\0\0\x05ogoo"), Ok(None));
    assert_eq!(frames::read(b"\0\0\0\x05ogood"), Ok(Some((BackendMessage::HealthChecked(true), 9))));
}

// Guards the log: a backend's reason for rejecting a frame is written to it, so it is escaped and shortened.
#[test]
fn reason_of_a_rejected_frame_is_one_short_line() {
    let reason = format!("a\nb\r\u{1b}[31m{}", "w".repeat(60_000));
    let Ok(Some((BackendMessage::FrameRejected(reason), _))) =
        frames::read(&backend_frame(b'r', reason.as_bytes(), 0))
    else {
        panic!("not parsed as a rejected frame");
    };
    assert!(reason.starts_with("a\\nb\\r"), "{reason:.40}");
    assert!(reason.len() <= 200 && !reason.contains(char::is_control), "{}", reason.len());
}

fn member_update() -> impl Strategy<Value = MemberUpdate> {
    (any::<u16>(), any::<u64>(), any::<u64>(), any::<u32>(), 0..4_usize, any::<u16>(), any::<bool>())
        .prop_map(|(member, number, nonce, refutation, state, source, connection_lost)| MemberUpdate {
            member: PeerId(member),
            incarnation: Incarnation { number, nonce },
            refutation,
            state: [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left][state],
            source: PeerId(source),
            evidence: if connection_lost {
                SuspicionEvidence::ConnectionLost
            } else {
                SuspicionEvidence::NoResponse
            },
        })
}

fn any_peer_frame() -> impl Strategy<Value = PeerFrame> {
    let updates = || prop::collection::vec(member_update(), 0..6);
    prop_oneof![
        filler(300).prop_map(PeerFrame::Goodbye),
        (any::<u64>(), any::<u64>(), updates()).prop_map(|(seq, view, updates)| PeerFrame::Membership(
            MembershipMessage::Ping { seq, view, updates }
        )),
        (any::<u64>(), updates())
            .prop_map(|(seq, updates)| PeerFrame::Membership(MembershipMessage::Ack { seq, updates })),
        updates().prop_map(|updates| PeerFrame::Membership(MembershipMessage::Gossip { updates })),
        (any::<u64>(), any::<u16>()).prop_map(|(seq, target)| PeerFrame::Membership(
            MembershipMessage::PingReq { seq, target: PeerId(target) }
        )),
        (any::<u64>(), any::<u16>()).prop_map(|(seq, target)| PeerFrame::Membership(
            MembershipMessage::PingReqResult {
                seq,
                target: PeerId(target),
                result: ProbeResult::ConnectionLost
            }
        )),
        prop::collection::vec(any::<u8>(), 0..80).prop_map(PeerFrame::Takeover),
        (any::<u32>(), any::<u64>(), filler(70)).prop_map(|(major, list_version, name)| PeerFrame::Hello(
            Hello {
                major,
                minor: 1,
                name,
                list_version,
                list_digest: 9,
                incarnation: Incarnation { number: 3, nonce: 4 },
                refutation: 5,
                shutting_down: major % 2 == 0,
                known: None,
            }
        )),
    ]
}

/// Limit for messages between peers in these tests, in bytes.
const MAX_PEER_MESSAGE_BYTES: usize = 400;

/// Decodes a peer's frames. Returns them, whether the input is malformed, and the most bytes buffered between pieces.
fn decode_peer_frames<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<PeerFrame>, bool, usize) {
    let (mut input, mut messages, mut max_buffered) = (Vec::new(), Vec::new(), 0);
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match wire::decode(&input, MAX_PEER_MESSAGE_BYTES) {
                Ok(Some((frame, used))) => {
                    input.drain(..used);
                    if let PeerFrame::Takeover(messages) = &frame {
                        // Decoding stops at the first malformed message.
                        assert!(wire::decode_takeover(messages).len() <= messages.len());
                    }
                    messages.push(frame);
                }
                Ok(None) => break,
                Err(_) => return (messages, true, max_buffered),
            }
        }
        max_buffered = max_buffered.max(input.len());
    }
    (messages, false, max_buffered)
}

proptest! {
    #![proptest_config(cases(800))]

    #[test]
    fn peer_frames_in_pieces_are_decoded_like_whole_ones(
        frames in prop::collection::vec(any_peer_frame(), 1..5), changes in changes(3), piece_sizes in piece_sizes(),
    ) {
        let valid: Vec<u8> = frames.iter().flat_map(wire::encode).collect();
        let fits = frames.iter().all(|frame| wire::encode(frame).len() <= wire::LENGTH_BYTES + MAX_PEER_MESSAGE_BYTES);
        if fits {
            prop_assert_eq!(&decode_peer_frames(pieces(&valid, &piece_sizes)).0, &frames);
        }
        let bytes = corrupt(valid, &changes);
        let (at_once, malformed_at_once, _) = decode_peer_frames([&bytes[..]]);
        let (in_pieces, malformed_in_pieces, max_buffered) = decode_peer_frames(pieces(&bytes, &piece_sizes));
        prop_assert_eq!((&at_once, malformed_at_once), (&in_pieces, malformed_in_pieces));
        prop_assert!(max_buffered < wire::LENGTH_BYTES + MAX_PEER_MESSAGE_BYTES, "{} bytes buffered", max_buffered);
    }

    #[test]
    fn truncated_peer_frame_is_never_complete(frame in any_peer_frame(), length in any::<prop::sample::Index>()) {
        let bytes = wire::encode(&frame);
        let truncated = &bytes[..length.index(bytes.len())];
        prop_assert!(!matches!(wire::decode(truncated, MAX_PEER_MESSAGE_BYTES), Ok(Some(_))));
    }

    #[test]
    fn corrupted_peer_frame_changes_no_earlier_frame(
        first in any_peer_frame(), second in any_peer_frame(), changes in changes(4),
    ) {
        let first = wire::encode(&first);
        let (expected, ..) = decode_peer_frames([&first[..]]);
        let both = [first, corrupt(wire::encode(&second), &changes)].concat();
        let (decoded, ..) = decode_peer_frames([&both[..]]);
        prop_assert_eq!(decoded.get(..expected.len()), Some(&expected[..]));
    }
}

/// Splits gRPC messages from the input. Returns them, whether the input is malformed, and the most bytes buffered
/// between pieces.
fn deframe<'a>(
    pieces: impl IntoIterator<Item = &'a [u8]>,
    max_message: usize,
    encoding: Encoding,
) -> (Vec<Bytes>, bool, usize) {
    let mut deframer = Deframer::new(max_message).with_encoding(encoding);
    let (mut messages, mut max_buffered) = (Vec::new(), 0);
    for piece in pieces {
        deframer.push(piece);
        loop {
            match deframer.next_message() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(_) => return (messages, true, max_buffered),
            }
        }
        max_buffered = max_buffered.max(deframer.len());
    }
    (messages, false, max_buffered)
}

proptest! {
    #![proptest_config(cases(800))]

    #[test]
    fn grpc_messages_in_pieces_are_split_like_whole_ones(
        texts in prop::collection::vec(filler(4000), 1..4), gzip: bool, changes in changes(2), piece_sizes in piece_sizes(),
        length in any::<prop::sample::Index>(),
    ) {
        let encoding = if gzip { Encoding::Gzip } else { Encoding::Identity };
        let framed = |text: &String| {
            grpc::frame_pieces(vec![Bytes::from(text.clone())], encoding).concat()
        };
        let valid: Vec<u8> = texts.iter().flat_map(framed).collect();
        let max_message = 2000;
        let expected: Vec<Bytes> =
            texts.iter().take_while(|text| text.len() <= max_message).map(|text| text.clone().into()).collect();
        let (messages, malformed, _) = deframe([&valid[..]], max_message, encoding);
        prop_assert_eq!((&messages, malformed), (&expected, expected.len() < texts.len()));
        // Truncated input yields exactly the messages that were complete before the end.
        let (truncated, ..) = deframe([&valid[..length.index(valid.len())]], max_message, encoding);
        prop_assert!(truncated.len() < texts.len() && truncated[..] == expected[..truncated.len()]);
        let bytes = corrupt(valid, &changes);
        let (at_once, malformed_at_once, _) = deframe([&bytes[..]], max_message, encoding);
        let (in_pieces, malformed_in_pieces, max_buffered) =
            deframe(pieces(&bytes, &piece_sizes), max_message, encoding);
        prop_assert_eq!((&at_once, malformed_at_once), (&in_pieces, malformed_in_pieces));
        prop_assert!(max_buffered < 5 + max_message, "{} bytes buffered", max_buffered);
        prop_assert!(at_once.iter().all(|message| message.len() <= max_message));
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail_cleanly(bytes in prop::collection::vec(byte(), 0..200)) {
        // No input may cause a panic, and a decoded message can be encoded again.
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

/// A query's body in which one value may be replaced by an unexpected one, and whether it was.
fn query_with_unexpected_value() -> impl Strategy<Value = (Value, bool)> {
    let unexpected = prop_oneof![
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
    let pointer = prop::sample::select(vec![
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
    (unexpected, pointer, any::<bool>()).prop_map(|(unexpected, pointer, with_plan)| {
        let mut body = json!({"predicate": "text", "ranges": [
            {"range": 3, "portion": 0.5, "price": 9000}, {"range": 9, "portion": 0.5, "hash": "00"}]});
        if with_plan {
            body["plan"] = json!({"choose": {"best": 3}, "top": 4, "wave": 2, "silent": "skip"});
        }
        let replaced = body.pointer_mut(pointer).map(|value| *value = unexpected).is_some();
        (body, replaced)
    })
}

proptest! {
    #![proptest_config(cases(600))]

    #[test]
    fn query_body_is_parsed_or_rejected((body, replaced) in query_with_unexpected_value()) {
        let metadata = query::QueryMetadata { id: "q".into(), class: ClassId(0), expires_in: 1, retry: false };
        match query::parse(metadata, &body) {
            Ok(query) => {
                prop_assert_eq!(query.parts.len(), body["ranges"].as_array().map_or(0, Vec::len));
                prop_assert_eq!(Some(&*query.body), body["predicate"].as_str().map(str::as_bytes));
                for (part, range) in query.parts.iter().zip(body["ranges"].as_array().expect("a list")) {
                    prop_assert_eq!(Some(u64::from(part.shard.0)), range["range"].as_u64());
                    prop_assert_eq!(Some(part.weight), range["portion"].as_f64());
                }
                prop_assert_eq!(query.plan.is_some(), !body["plan"].is_null());
            }
            Err(_) => prop_assert!(replaced, "{body}"),
        }
    }

    #[test]
    fn query_id_fits_on_one_line_of_a_frame(text in "\\PC{0,70}|[!-~]{0,70}|[ -~\\n]{0,5}") {
        let fits = (1..=64).contains(&text.len()) && text.chars().all(|c| ('!'..='~').contains(&c));
        prop_assert_eq!(query::is_valid_id(&text), fits);
    }
}

// Checks that the strategies above produce every kind of result.
#[test]
fn generated_cases_cover_every_kind_of_result() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::new(cases(1));
    let mut kinds = BTreeSet::new();
    for _ in 0..300 {
        let frame = any_frame().new_tree(&mut runner).expect("a frame").current();
        kinds.insert(match frames::read(&frame) {
            Ok(Some((BackendMessage::PartEnded { .. }, _))) => "answer".to_owned(),
            Ok(Some((BackendMessage::HealthChecked(_), _))) => "health check".to_owned(),
            Ok(Some((BackendMessage::FrameRejected(_), _))) => "frame rejected".to_owned(),
            Ok(None) => "incomplete".to_owned(),
            Err(error) => error.to_string(),
        });
        let request = any_request().new_tree(&mut runner).expect("a request").current();
        let parsed = Requests::parse([&request[..]]);
        kinds.insert(if parsed.malformed { "malformed request" } else { "request" }.to_owned());
    }
    assert!(kinds.len() >= 9, "{kinds:?}");
}
