//! A client that writes HTTP/2 byte by byte, so that it is able to do wrong. It knows the frames and reads
//! header lines; all else is left to the test.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use httlib_hpack::Decoder;
use mallowgauge_flight::grpc::{Deframer, FLIGHT_SERVICE_PATH};

/// Longer than any answer may take on a slow machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest frame that may be sent unasked.
const MAX_FRAME_BYTES: usize = 16_384;

/// Kinds of frames.
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RST_STREAM: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const WINDOW_UPDATE: u8 = 8;
pub const CONTINUATION: u8 = 9;
/// Flags of frames.
pub const ACK: u8 = 1;
pub const END_STREAM: u8 = 1;
pub const END_HEADERS: u8 = 4;

/// A frame.
#[derive(Clone, Debug)]
pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

/// What came of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamReply {
    /// Header lines and trailers.
    pub headers: Vec<(String, String)>,
    /// Whole messages.
    pub messages: Vec<Vec<u8>>,
    /// The reason of a reset.
    pub reset: Option<u32>,
    /// The connection ended, or a GOAWAY came with this reason.
    pub goaway: Option<u32>,
}

impl StreamReply {
    /// A header line or trailer.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().rev().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// gRPC's status.
    pub fn status(&self) -> Option<u32> {
        self.header("grpc-status")?.parse().ok()
    }
}

/// The client.
pub struct RawHttp2Client {
    socket: TcpStream,
    decoder: Decoder<'static>,
    next: u32,
}

/// A header line, written out in full.
fn literal(out: &mut Vec<u8>, name: &str, value: &str) {
    out.push(0);
    for text in [name, value] {
        if text.len() < 127 {
            out.push(text.len() as u8);
        } else {
            out.push(127);
            let mut rest = text.len() - 127;
            while rest >= 128 {
                out.push((rest % 128 + 128) as u8);
                rest /= 128;
            }
            out.push(rest as u8);
        }
        out.extend_from_slice(text.as_bytes());
    }
}

/// The head of a call of a method.
pub fn request_headers(method: &str, extra: &[(&str, &str)]) -> Vec<u8> {
    let path =
        if method.starts_with('/') { method.to_owned() } else { format!("{FLIGHT_SERVICE_PATH}{method}") };
    let mut out = Vec::new();
    let fixed = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path.as_str()),
        (":authority", "test"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ];
    for (name, value) in fixed.iter().chain(extra) {
        literal(&mut out, name, value);
    }
    out
}

impl RawHttp2Client {
    /// Connects and says the preface.
    pub fn connect(addr: SocketAddr) -> Self {
        let mut raw = Self::connect_without_preface(addr);
        raw.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        raw.send_frame(SETTINGS, 0, 0, &[]);
        raw
    }

    /// Connects with these settings (number, value).
    pub fn with_settings(addr: SocketAddr, settings: &[(u16, u32)]) -> Self {
        let mut raw = Self::connect_without_preface(addr);
        raw.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        let payload: Vec<u8> =
            settings.iter().flat_map(|(id, v)| [&id.to_be_bytes()[..], &v.to_be_bytes()].concat()).collect();
        raw.send_frame(SETTINGS, 0, 0, &payload);
        raw
    }

    /// Connects and says nothing.
    pub fn connect_without_preface(addr: SocketAddr) -> Self {
        let socket = TcpStream::connect(addr).expect("a connection");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        socket.set_write_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Self { socket, decoder: Decoder::default(), next: 1 }
    }

    /// A client on a connection that is there, which lets so much come before it gives room back.
    pub fn from_socket(socket: TcpStream, window: u32) -> Self {
        let mut raw = Self { socket, decoder: Decoder::default(), next: 1 };
        raw.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        raw.send_frame(SETTINGS, 0, 0, &[&4_u16.to_be_bytes()[..], &window.to_be_bytes()].concat());
        raw.send_frame(WINDOW_UPDATE, 0, 0, &window.to_be_bytes());
        raw
    }

    /// Writes bytes as they are; `false` if the program has closed the connection.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.socket.write_all(bytes).is_ok()
    }

    /// Writes a frame.
    pub fn send_frame(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> bool {
        let length = (payload.len() as u32).to_be_bytes();
        let head = [&length[1..], &[kind, flags], &stream.to_be_bytes()].concat();
        self.write(&[&head, payload].concat())
    }

    /// Opens a stream.
    pub fn open_stream(&mut self, method: &str, extra: &[(&str, &str)], end: bool) -> u32 {
        let stream = self.next;
        self.next += 2;
        let flags = END_HEADERS | if end { END_STREAM } else { 0 };
        self.send_frame(HEADERS, flags, stream, &request_headers(method, extra));
        stream
    }

    /// Sends bytes on a stream.
    pub fn send_data(&mut self, stream: u32, bytes: &[u8], end: bool) -> bool {
        let count = bytes.len().div_ceil(MAX_FRAME_BYTES).max(1);
        (0..count).all(|i| {
            let piece = &bytes[i * MAX_FRAME_BYTES..bytes.len().min((i + 1) * MAX_FRAME_BYTES)];
            self.send_frame(DATA, if end && i + 1 == count { END_STREAM } else { 0 }, stream, piece)
        })
    }

    /// A call with one message.
    pub fn start_call(&mut self, method: &str, extra: &[(&str, &str)], message: &[u8]) -> u32 {
        let stream = self.open_stream(method, extra, false);
        self.send_data(stream, message, true);
        stream
    }

    /// Reads a frame; `None` once the connection is over.
    pub fn read_frame(&mut self) -> Option<Frame> {
        let mut head = [0; 9];
        self.socket.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let mut payload = vec![0; length];
        self.socket.read_exact(&mut payload).ok()?;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
        Some(Frame { kind: head[3], flags: head[4], stream, payload })
    }

    /// Reads until a stream is over, giving back what its windows lost if `takes`.
    pub fn read_reply(&mut self, stream: u32, takes: bool) -> StreamReply {
        let mut reply = StreamReply::default();
        let mut frames = Deframer::new(64 << 20);
        loop {
            let Some(frame) = self.read_frame() else {
                reply.goaway.get_or_insert(u32::MAX);
                return reply;
            };
            match frame.kind {
                HEADERS => {
                    let mut lines = Vec::new();
                    let mut payload = frame.payload;
                    self.decoder.decode(&mut payload, &mut lines).expect("header lines");
                    if frame.stream == stream {
                        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
                        reply.headers.extend(lines.into_iter().map(|(n, v, _)| (text(n), text(v))));
                    }
                }
                DATA => {
                    if frame.stream == stream {
                        frames.push(&frame.payload);
                        let whole = std::iter::from_fn(|| frames.next_message().expect("a message"));
                        reply.messages.extend(whole.map(|m| m.to_vec()));
                    }
                    if takes && !frame.payload.is_empty() {
                        let size = (frame.payload.len() as u32).to_be_bytes();
                        self.send_frame(WINDOW_UPDATE, 0, 0, &size);
                        self.send_frame(WINDOW_UPDATE, 0, frame.stream, &size);
                    }
                }
                SETTINGS if frame.flags & ACK == 0 => drop(self.send_frame(SETTINGS, ACK, 0, &[])),
                PING if frame.flags & ACK == 0 => drop(self.send_frame(PING, ACK, 0, &frame.payload)),
                RST_STREAM if frame.stream == stream => {
                    let code = frame.payload.first_chunk::<4>().map(|b| u32::from_be_bytes(*b));
                    reply.reset = code;
                    return reply;
                }
                GOAWAY => {
                    let code = frame.payload[4..].first_chunk::<4>().map(|b| u32::from_be_bytes(*b));
                    reply.goaway = code;
                }
                _ => {}
            }
            if frame.stream == stream && frame.flags & END_STREAM != 0 && matches!(frame.kind, DATA | HEADERS)
            {
                return reply;
            }
        }
    }

    /// A call with one message, to its end.
    pub fn call(&mut self, method: &str, extra: &[(&str, &str)], message: &[u8]) -> StreamReply {
        let stream = self.start_call(method, extra, message);
        self.read_reply(stream, true)
    }

    /// Closes the sending side.
    pub fn shut_down_writing(&self) {
        self.socket.shutdown(Shutdown::Write).expect("a connection");
    }

    /// Whether the program has closed the connection; waits for that.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        // A reset counts as well as an end.
        match self.socket.read_to_end(&mut rest) {
            Ok(_) => true,
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        }
    }
}
