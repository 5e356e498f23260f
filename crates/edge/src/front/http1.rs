//! HTTP/1.1 messages on top of httparse: heads, and bodies that are chunked or have a length. Does no I/O.

use httparse::Status;

/// Maximum size of a message's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request's body, in bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of a message's header lines.
const MAX_HEADERS: usize = 64;
/// A body's buffer grows in steps of this many bytes.
const BUFFER_STEP_BYTES: usize = 4 * 1024;
/// Maximum length of a chunk-size line and of a trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Why a message is rejected. The end of the message is unknown then, so nothing more can be read from its connection.
/// Clients see the text in the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head of a request is malformed.
    #[error("the head makes no sense")]
    MalformedHead,
    /// The head of a response is malformed or too large.
    #[error("the head of the response makes no sense")]
    MalformedResponseHead,
    /// The head is longer than [`MAX_HEAD_BYTES`], or has too many header lines.
    #[error("the head is too large")]
    HeadTooLarge,
    /// A header value is not UTF-8.
    #[error("a header is not text")]
    HeaderNotText,
    /// The body has both a length and a transfer coding, or an unsupported transfer coding.
    #[error("the framing of the body is ambiguous")]
    AmbiguousFraming,
    /// The length of the body is not a number, or is given twice with different values.
    #[error("the length of the body makes no sense")]
    MalformedLength,
    /// The body exceeds its size limit.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The chunks of the body are malformed.
    #[error("the chunks of the body make no sense")]
    MalformedChunks,
    /// The request was not received completely in time.
    #[error("the request did not come in time")]
    RequestTimeout,
    /// The client sent too much input while it waited for a response.
    #[error("too much came ahead of an answer")]
    TooMuchPipelinedInput,
    /// There was no memory to receive the request.
    #[error("refused")]
    MemoryExhausted,
}

impl MessageError {
    /// Returns the status of the response to such a message.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedHead
            | Self::MalformedResponseHead
            | Self::HeaderNotText
            | Self::AmbiguousFraming
            | Self::MalformedLength
            | Self::MalformedChunks => 400,
            Self::RequestTimeout => 408,
            Self::BodyTooLarge | Self::TooMuchPipelinedInput => 413,
            Self::HeadTooLarge => 431,
            Self::MemoryExhausted => 503,
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The request method.
    pub method: String,
    /// The path, without the query string.
    pub path: String,
    /// Header names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Whether the connection closes after the response.
    pub close: bool,
    /// Whether the client waits for `100 Continue`.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Returns about how many bytes the head takes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let headers =
            self.headers.iter().map(|(name, value)| HEADER_OVERHEAD_BYTES + name.len() + value.len());
        self.method.len() + self.path.len() + headers.sum::<usize>()
    }

    /// Returns the value of a header; `None` if it is absent or given more than once.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        let first = found.next();
        first.filter(|_| found.next().is_none()).map(|(_, value)| value.as_str())
    }
}

/// Bytes of a header line beside its name and value: two strings, each with an allocation of its own.
const HEADER_OVERHEAD_BYTES: usize = 2 * (size_of::<String>() + 16);

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By the length of the body.
    Length,
    /// By a chunk of size zero.
    Chunks,
    /// By the empty line after the trailers; the chunk of size zero has been read.
    Trailers,
}

/// Reads a body incrementally.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyReader {
    framing: Framing,
    /// Bytes still expected of the body, or of the current chunk.
    remaining: usize,
    /// Maximum size of the body, in bytes.
    limit: usize,
    data: Vec<u8>,
}

/// Returns the values of a comma-separated header.
fn list_values<'a>(headers: &'a [(String, String)], name: &'a str) -> impl Iterator<Item = &'a str> {
    let lines = headers.iter().filter(move |(key, _)| key == name);
    lines.flat_map(|(_, value)| value.split(',')).map(str::trim)
}

impl BodyReader {
    /// Creates a reader for the body that these headers describe.
    fn new(headers: &[(String, String)], limit: usize) -> Result<Self, MessageError> {
        let mut lengths = list_values(headers, "content-length").peekable();
        let has_coding = headers.iter().any(|(key, _)| key == "transfer-encoding");
        let (mut framing, mut remaining) = (Framing::Length, 0);
        if has_coding {
            let mut codings = list_values(headers, "transfer-encoding");
            let chunked = codings.next().is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
            if lengths.peek().is_some() || !chunked || codings.next().is_some() {
                return Err(MessageError::AmbiguousFraming);
            }
            framing = Framing::Chunks;
        } else if let Some(first) = lengths.next() {
            // Parsers differ in whether they accept a sign or a space, so neither is accepted.
            if lengths.any(|other| other != first) || !first.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(MessageError::MalformedLength);
            }
            remaining = first.parse().map_err(|_| MessageError::BodyTooLarge)?;
        }
        if remaining > limit {
            return Err(MessageError::BodyTooLarge);
        }
        Ok(Self { framing, remaining, limit, data: Vec::new() })
    }

    /// Consumes the body's bytes from `input`; `Some` once the body is complete.
    ///
    /// # Errors
    /// The body is malformed or too large.
    pub fn take(&mut self, input: &mut Vec<u8>) -> Result<Option<Vec<u8>>, MessageError> {
        let mut used = 0;
        let complete = self.advance(input, &mut used);
        input.drain(..used);
        Ok(complete?.then(|| std::mem::take(&mut self.data)))
    }

    /// Returns the bytes received of the body.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.data.len()
    }

    /// Continues reading at `input[*used..]`; `true` once the body is complete.
    fn advance(&mut self, input: &[u8], used: &mut usize) -> Result<bool, MessageError> {
        loop {
            *used += self.take_data(&input[*used..]);
            if self.remaining > 0 {
                return Ok(false);
            }
            let rest = &input[*used..];
            match self.framing {
                Framing::Length => return Ok(true),
                Framing::Chunks => match self.read_chunk_size(rest)? {
                    Some(line) => *used += line,
                    None => return Ok(false),
                },
                Framing::Trailers => match trailer_length(rest)? {
                    Some(length) => {
                        *used += length + 2;
                        if length == 0 {
                            return Ok(true);
                        }
                    }
                    None => return Ok(false),
                },
            }
        }
    }

    /// Consumes bytes of the body, and returns their number.
    fn take_data(&mut self, input: &[u8]) -> usize {
        let length = self.remaining.min(input.len());
        let capacity = (self.data.len() + length).next_multiple_of(BUFFER_STEP_BYTES);
        self.data.reserve_exact(capacity - self.data.len());
        self.data.extend_from_slice(&input[..length]);
        self.remaining -= length;
        length
    }

    /// Reads a chunk-size line, together with the line break behind the previous chunk. Returns the number of bytes
    /// read, or `None` while the line is incomplete.
    fn read_chunk_size(&mut self, rest: &[u8]) -> Result<Option<usize>, MessageError> {
        let skip = if self.data.is_empty() { 0 } else { 2 };
        if skip > 0 && !b"\r\n".starts_with(&rest[..rest.len().min(2)]) {
            return Err(MessageError::MalformedChunks);
        }
        let line = rest.get(skip..).unwrap_or_default();
        match httparse::parse_chunk_size(line) {
            Ok(Status::Complete((length, size))) if length <= MAX_CHUNK_LINE_BYTES => {
                self.remaining = usize::try_from(size).unwrap_or(usize::MAX);
                if self.remaining > self.limit - self.data.len() {
                    return Err(MessageError::BodyTooLarge);
                }
                if size == 0 {
                    self.framing = Framing::Trailers;
                }
                Ok(Some(skip + length))
            }
            Ok(Status::Partial) if line.len() < MAX_CHUNK_LINE_BYTES => Ok(None),
            _ => Err(MessageError::MalformedChunks),
        }
    }
}

/// Returns the length of the first trailer line, without its line break; `None` while the line is incomplete.
fn trailer_length(rest: &[u8]) -> Result<Option<usize>, MessageError> {
    let Some(length) = rest.windows(2).position(|pair| pair == b"\r\n") else {
        // One more byte than the limit is allowed: it may be the first half of the line break.
        let too_long = rest.len() > MAX_CHUNK_LINE_BYTES + 1;
        return if too_long { Err(MessageError::MalformedChunks) } else { Ok(None) };
    };
    if length > MAX_CHUNK_LINE_BYTES {
        return Err(MessageError::MalformedChunks);
    }
    Ok(Some(length))
}

fn header_lines(headers: &[httparse::Header<'_>]) -> Result<Vec<(String, String)>, MessageError> {
    let line = |h: &httparse::Header<'_>| {
        let value = std::str::from_utf8(h.value).map_err(|_| MessageError::HeaderNotText)?;
        Ok((h.name.to_ascii_lowercase(), value.to_owned()))
    };
    headers.iter().map(line).collect()
}

/// Consumes the head of a request from `input`, and returns it with a reader for the body; `None` while the head is
/// incomplete.
///
/// # Errors
/// The head is malformed or too large.
pub fn read_request(input: &mut Vec<u8>) -> Result<Option<(RequestHead, BodyReader)>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let used = match parsed.parse(input) {
        Ok(Status::Complete(used)) if used <= MAX_HEAD_BYTES => used,
        Ok(Status::Partial) if input.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::MalformedHead),
    };
    let target = parsed.path.unwrap_or_default();
    let (method, version) = (parsed.method.unwrap_or_default().to_owned(), parsed.version.unwrap_or(0));
    let path = target.split('?').next().unwrap_or_default().to_owned();
    let headers = header_lines(parsed.headers)?;
    let has = |name, token: &str| list_values(&headers, name).any(|t| t.eq_ignore_ascii_case(token));
    let close = has("connection", "close") || (version == 0 && !has("connection", "keep-alive"));
    let expects_continue = has("expect", "100-continue");
    let body = BodyReader::new(&headers, MAX_REQUEST_BODY_BYTES)?;
    input.drain(..used);
    Ok(Some((RequestHead { method, path, headers, close, expects_continue }, body)))
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Whether the connection ends with this response.
    pub close: bool,
    /// The body has no length: it extends to the end of the connection, which has to be a clean one.
    pub until_close: bool,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection ends with this response.
    pub close: bool,
}

/// Reads a response incrementally. Each byte is parsed once, however small the pieces are that arrive.
#[derive(Debug)]
pub struct ResponseReader {
    /// The head and the body's reader, once the head is complete.
    head: Option<(ResponseHead, BodyReader)>,
    /// Maximum size of the body, in bytes.
    limit: usize,
}

impl ResponseReader {
    /// Creates a reader for a response whose body has at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { head: None, limit }
    }

    /// Consumes bytes from `input`; `Some` once the response is complete. `ended` states that the other side has
    /// closed the connection cleanly, not by a reset.
    ///
    /// # Errors
    /// The response is malformed or too large.
    pub fn take(&mut self, input: &mut Vec<u8>, ended: bool) -> Result<Option<Response>, MessageError> {
        if self.head.is_none() {
            self.head = read_response_head(input, self.limit)?;
        }
        let Some((head, body)) = &mut self.head else { return Ok(None) };
        let ResponseHead { status, close, until_close } = *head;
        if until_close {
            if input.len() > self.limit {
                return Err(MessageError::BodyTooLarge);
            }
            let body = ended.then(|| std::mem::take(input));
            return Ok(body.map(|body| Response { status, body, close: true }));
        }
        Ok(body.take(input)?.map(|body| Response { status, body, close }))
    }
}

/// Consumes the head of a response from `input`; `None` while it is incomplete.
fn read_response_head(
    input: &mut Vec<u8>,
    limit: usize,
) -> Result<Option<(ResponseHead, BodyReader)>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let used = match parsed.parse(input) {
        Ok(Status::Complete(used)) if used <= MAX_HEAD_BYTES => used,
        Ok(Status::Partial) if input.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(MessageError::MalformedResponseHead),
    };
    let (status, version) = (parsed.code.unwrap_or(0), parsed.version.unwrap_or(0));
    let headers = header_lines(parsed.headers)?;
    let framed = |name: &str| headers.iter().any(|(key, _)| key == name);
    let has = |token: &str| list_values(&headers, "connection").any(|t| t.eq_ignore_ascii_case(token));
    let close = has("close") || (version == 0 && !has("keep-alive"));
    let until_close = !framed("content-length") && !framed("transfer-encoding") && status != 204;
    let body = BodyReader::new(&headers, limit)?;
    input.drain(..used);
    Ok(Some((ResponseHead { status, close, until_close }, body)))
}

/// Reads a response from all bytes received so far; `None` while it is incomplete. `ended` states that the other side
/// has closed the connection cleanly.
///
/// # Errors
/// The response is malformed.
pub fn read_response(input: &[u8], ended: bool) -> Result<Option<Response>, MessageError> {
    ResponseReader::new(usize::MAX).take(&mut input.to_vec(), ended)
}

/// Returns the reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Encodes a response. Its type is JSON if the body starts with `{`, otherwise plain text.
#[must_use]
pub fn encode_response(status: u16, headers: &[(&str, String)], body: &str, close: bool) -> Vec<u8> {
    let kind = if body.starts_with('{') { "application/json" } else { "text/plain" };
    let mut out = format!("HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\n", reason_phrase(status));
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    let last = if close { "Connection: close\r\n" } else { "" };
    out.push_str(&format!("Content-Length: {}\r\n{last}\r\n", body.len()));
    out.reserve_exact(body.len());
    out.push_str(body);
    out.into_bytes()
}
