//! A client that writes HTTP/2 frames directly, so that it can violate the protocol. It encodes frames and decodes
//! headers; all else is left to the test.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use httlib_hpack::Decoder;
use mallowgauge_flight::grpc::{Deframer, FLIGHT_SERVICE_PATH};

/// Upper limit for any response on a slow machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest frame payload that HTTP/2 allows without a larger `SETTINGS_MAX_FRAME_SIZE`.
const MAX_FRAME_BYTES: usize = 16_384;

/// Frame types.
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RST_STREAM: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const WINDOW_UPDATE: u8 = 8;
pub const CONTINUATION: u8 = 9;
/// Frame flags.
pub const ACK: u8 = 1;
pub const END_STREAM: u8 = 1;
pub const END_HEADERS: u8 = 4;

/// A frame as it was received.
#[derive(Clone, Debug)]
pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

/// What was received on a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamReply {
    /// Headers and trailers.
    pub headers: Vec<(String, String)>,
    /// Complete gRPC messages.
    pub messages: Vec<Vec<u8>>,
    /// The error code of a reset.
    pub reset: Option<u32>,
    /// The error code of a GOAWAY, or `u32::MAX` if the connection ended without one.
    pub goaway: Option<u32>,
}

impl StreamReply {
    /// Returns the value of a header or trailer.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().rev().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the gRPC status code.
    pub fn status(&self) -> Option<u32> {
        self.header("grpc-status")?.parse().ok()
    }
}

/// A client connection whose frames the test writes one by one.
pub struct RawHttp2Client {
    socket: TcpStream,
    decoder: Decoder<'static>,
    next_stream: u32,
}

/// Encodes a header as an HPACK literal that is not indexed.
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

/// The encoded headers of a gRPC call; a method without a leading `/` belongs to the Flight service.
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
    /// Connects and sends the preface with empty settings.
    pub fn connect(addr: SocketAddr) -> Self {
        let mut client = Self::connect_without_preface(addr);
        client.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        client.send_frame(SETTINGS, 0, 0, &[]);
        client
    }

    /// Connects and sends the preface with these settings: pairs of identifier and value.
    pub fn with_settings(addr: SocketAddr, settings: &[(u16, u32)]) -> Self {
        let mut client = Self::connect_without_preface(addr);
        client.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        let payload: Vec<u8> =
            settings.iter().flat_map(|(id, v)| [&id.to_be_bytes()[..], &v.to_be_bytes()].concat()).collect();
        client.send_frame(SETTINGS, 0, 0, &payload);
        client
    }

    /// Connects and sends nothing.
    pub fn connect_without_preface(addr: SocketAddr) -> Self {
        let socket = TcpStream::connect(addr).expect("connect");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        socket.set_write_timeout(Some(TEST_TIMEOUT)).expect("set the write timeout");
        Self { socket, decoder: Decoder::default(), next_stream: 1 }
    }

    /// Uses an open connection. `window` is the initial window of each stream and is added to that of the
    /// connection.
    pub fn from_socket(socket: TcpStream, window: u32) -> Self {
        let mut client = Self { socket, decoder: Decoder::default(), next_stream: 1 };
        client.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        client.send_frame(SETTINGS, 0, 0, &[&4_u16.to_be_bytes()[..], &window.to_be_bytes()].concat());
        client.send_frame(WINDOW_UPDATE, 0, 0, &window.to_be_bytes());
        client
    }

    /// Writes these bytes unchanged; `false` if the program has closed the connection.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.socket.write_all(bytes).is_ok()
    }

    /// Sends a frame; `false` if the program has closed the connection.
    pub fn send_frame(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> bool {
        let length = (payload.len() as u32).to_be_bytes();
        let head = [&length[1..], &[kind, flags], &stream.to_be_bytes()].concat();
        self.write(&[&head, payload].concat())
    }

    /// Opens a stream with a call of this method; returns the stream's identifier.
    pub fn open_stream(&mut self, method: &str, extra: &[(&str, &str)], end: bool) -> u32 {
        let stream = self.next_stream;
        self.next_stream += 2;
        let flags = END_HEADERS | if end { END_STREAM } else { 0 };
        self.send_frame(HEADERS, flags, stream, &request_headers(method, extra));
        stream
    }

    /// Sends bytes on a stream in as many DATA frames as needed; `false` if the program has closed the connection.
    pub fn send_data(&mut self, stream: u32, bytes: &[u8], end: bool) -> bool {
        let count = bytes.len().div_ceil(MAX_FRAME_BYTES).max(1);
        (0..count).all(|i| {
            let chunk = &bytes[i * MAX_FRAME_BYTES..bytes.len().min((i + 1) * MAX_FRAME_BYTES)];
            self.send_frame(DATA, if end && i + 1 == count { END_STREAM } else { 0 }, stream, chunk)
        })
    }

    /// Starts a call with one message; returns the stream's identifier.
    pub fn start_call(&mut self, method: &str, extra: &[(&str, &str)], message: &[u8]) -> u32 {
        let stream = self.open_stream(method, extra, false);
        self.send_data(stream, message, true);
        stream
    }

    /// Reads a frame; `None` once the connection has ended.
    pub fn read_frame(&mut self) -> Option<Frame> {
        let mut head = [0; 9];
        self.socket.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let mut payload = vec![0; length];
        self.socket.read_exact(&mut payload).ok()?;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
        Some(Frame { kind: head[3], flags: head[4], stream, payload })
    }

    /// Reads until a stream has ended; restores the flow-control windows if `update_windows`.
    pub fn read_reply(&mut self, stream: u32, update_windows: bool) -> StreamReply {
        let mut reply = StreamReply::default();
        let mut frames = Deframer::new(64 << 20);
        loop {
            let Some(frame) = self.read_frame() else {
                reply.goaway.get_or_insert(u32::MAX);
                return reply;
            };
            match frame.kind {
                HEADERS => {
                    let mut headers = Vec::new();
                    let mut payload = frame.payload;
                    self.decoder.decode(&mut payload, &mut headers).expect("decode the headers");
                    if frame.stream == stream {
                        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
                        reply.headers.extend(headers.into_iter().map(|(n, v, _)| (text(n), text(v))));
                    }
                }
                DATA => {
                    if frame.stream == stream {
                        frames.push(&frame.payload);
                        let complete =
                            std::iter::from_fn(|| frames.next_message().expect("a valid gRPC message"));
                        reply.messages.extend(complete.map(|m| m.to_vec()));
                    }
                    if update_windows && !frame.payload.is_empty() {
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

    /// Makes a call with one message and reads its reply.
    pub fn call(&mut self, method: &str, extra: &[(&str, &str)], message: &[u8]) -> StreamReply {
        let stream = self.start_call(method, extra, message);
        self.read_reply(stream, true)
    }

    /// Closes the sending side.
    pub fn shut_down_writing(&self) {
        self.socket.shutdown(Shutdown::Write).expect("shut down the socket");
    }

    /// Waits for the program to close the connection; `false` if it does not in time.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        // A reset counts as a close.
        match self.socket.read_to_end(&mut rest) {
            Ok(_) => true,
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        }
    }
}
