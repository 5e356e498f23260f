//! HTTP/1.1 messages on top of httparse: heads, bodies with a length or in chunks. Bytes in, messages out.

use httparse::Status;

/// Longest head of a message, in bytes.
pub const LONGEST_HEAD: usize = 16 * 1024;
/// Longest body of a request, in bytes.
pub const LONGEST_BODY: usize = 64 * 1024;
/// Most header lines of a message.
const MOST_HEADERS: usize = 64;
/// Longest line that opens a chunk, and longest trailer, in bytes.
const LONGEST_CHUNK_LINE: usize = 1024;

/// Why a message cannot be taken. Where it ends is unknown then, so nothing more can be read from its connection.
/// Clients see the text in the body of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head of a request is malformed.
    #[error("the head makes no sense")]
    MalformedHead,
    /// The head of a response is malformed or too large.
    #[error("the head of the response makes no sense")]
    MalformedResponseHead,
    /// The head is longer than [`LONGEST_HEAD`], or has too many lines.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The value of a header is not UTF-8.
    #[error("a header is not text")]
    HeaderNotText,
    /// The body has a length and chunks, or a coding that is not known.
    #[error("the framing of the body is ambiguous")]
    AmbiguousFraming,
    /// The length of the body is no number, or two.
    #[error("the length of the body makes no sense")]
    MalformedLength,
    /// The body is longer than it may be.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The chunks of the body are malformed.
    #[error("the chunks of the body make no sense")]
    MalformedChunks,
    /// The request was not complete in time.
    #[error("the request did not come in time")]
    RequestTimeout,
    /// A client sent too much while it waited for an answer.
    #[error("too much came ahead of an answer")]
    TooMuchAhead,
}

impl MessageError {
    /// The status of the answer that says so.
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
            Self::BodyTooLarge | Self::TooMuchAhead => 413,
            Self::HeadTooLarge => 431,
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The path, without its query.
    pub path: String,
    /// Header lines, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Whether the client wants the connection closed afterwards.
    pub close: bool,
    /// Whether the client waits for `100 Continue`.
    pub expects_continue: bool,
}

impl RequestHead {
    /// The value of a header that is given once.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        let first = found.next();
        first.filter(|_| found.next().is_none()).map(|(_, value)| value.as_str())
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length.
    Length,
    /// By a chunk of no bytes.
    Chunks,
    /// That chunk has come: by the empty line after the trailers.
    Trailers,
}

/// Reads a body as its bytes come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyReader {
    framing: Framing,
    /// Bytes that are still to come, of the body or of the present chunk.
    remaining: usize,
    /// Most bytes of the body.
    limit: usize,
    data: Vec<u8>,
}

/// The values of a header that is a list.
fn list<'a>(headers: &'a [(String, String)], name: &'a str) -> impl Iterator<Item = &'a str> {
    let lines = headers.iter().filter(move |(key, _)| key == name);
    lines.flat_map(|(_, value)| value.split(',')).map(str::trim)
}

impl BodyReader {
    /// Reads the body that these headers announce.
    fn new(headers: &[(String, String)], limit: usize) -> Result<Self, MessageError> {
        let mut lengths = list(headers, "content-length").peekable();
        let has_coding = headers.iter().any(|(key, _)| key == "transfer-encoding");
        let (mut framing, mut remaining) = (Framing::Length, 0);
        if has_coding {
            let mut codings = list(headers, "transfer-encoding");
            let chunked = codings.next().is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
            if lengths.peek().is_some() || !chunked || codings.next().is_some() {
                return Err(MessageError::AmbiguousFraming);
            }
            framing = Framing::Chunks;
        } else if let Some(first) = lengths.next() {
            // A sign or blank would be accepted by some readers and not by others.
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

    /// Takes what has come off `input`; `Some` once the body is complete.
    ///
    /// # Errors
    /// The body is malformed or too large.
    pub fn take(&mut self, input: &mut Vec<u8>) -> Result<Option<Vec<u8>>, MessageError> {
        let mut used = 0;
        let complete = self.advance(input, &mut used);
        input.drain(..used);
        Ok(complete?.then(|| std::mem::take(&mut self.data)))
    }

    /// Reads on from `input[*used..]`; `true` once the body is complete.
    fn advance(&mut self, input: &[u8], used: &mut usize) -> Result<bool, MessageError> {
        loop {
            *used += self.take_data(&input[*used..]);
            if self.remaining > 0 {
                return Ok(false);
            }
            let rest = &input[*used..];
            match self.framing {
                Framing::Length => return Ok(true),
                Framing::Chunks => match self.open_chunk(rest)? {
                    Some(line) => *used += line,
                    None => return Ok(false),
                },
                Framing::Trailers => match trailer(rest)? {
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

    /// Takes bytes of the body, and says how many.
    fn take_data(&mut self, input: &[u8]) -> usize {
        let length = self.remaining.min(input.len());
        self.data.extend_from_slice(&input[..length]);
        self.remaining -= length;
        length
    }

    /// Reads the line that opens a chunk, with the line break after the chunk before; how many bytes that were, or
    /// `None` while they are not all there.
    fn open_chunk(&mut self, rest: &[u8]) -> Result<Option<usize>, MessageError> {
        let skip = if self.data.is_empty() { 0 } else { 2 };
        if skip > 0 && !b"\r\n".starts_with(&rest[..rest.len().min(2)]) {
            return Err(MessageError::MalformedChunks);
        }
        let line = rest.get(skip..).unwrap_or_default();
        match httparse::parse_chunk_size(line) {
            Ok(Status::Complete((length, size))) if length <= LONGEST_CHUNK_LINE => {
                self.remaining = usize::try_from(size).unwrap_or(usize::MAX);
                if self.remaining > self.limit - self.data.len() {
                    return Err(MessageError::BodyTooLarge);
                }
                if size == 0 {
                    self.framing = Framing::Trailers;
                }
                Ok(Some(skip + length))
            }
            Ok(Status::Partial) if line.len() < LONGEST_CHUNK_LINE => Ok(None),
            _ => Err(MessageError::MalformedChunks),
        }
    }
}

/// The length of the trailer line that comes first, without its line break; `None` while it is not all there.
fn trailer(rest: &[u8]) -> Result<Option<usize>, MessageError> {
    let Some(length) = rest.windows(2).position(|pair| pair == b"\r\n") else {
        // The first half of its line break may be there already.
        let too_long = rest.len() > LONGEST_CHUNK_LINE + 1;
        return if too_long { Err(MessageError::MalformedChunks) } else { Ok(None) };
    };
    if length > LONGEST_CHUNK_LINE {
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

/// Takes the head of a request off `input`, with the reader of its body; `None` while it is not complete.
///
/// # Errors
/// The head is malformed or too large.
pub fn read_request(input: &mut Vec<u8>) -> Result<Option<(RequestHead, BodyReader)>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let used = match parsed.parse(input) {
        Ok(Status::Complete(used)) if used <= LONGEST_HEAD => used,
        Ok(Status::Partial) if input.len() < LONGEST_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::MalformedHead),
    };
    let target = parsed.path.unwrap_or_default();
    let (method, version) = (parsed.method.unwrap_or_default().to_owned(), parsed.version.unwrap_or(0));
    let path = target.split('?').next().unwrap_or_default().to_owned();
    let headers = header_lines(parsed.headers)?;
    let has = |name, token: &str| list(&headers, name).any(|t| t.eq_ignore_ascii_case(token));
    let close = has("connection", "close") || (version == 0 && !has("connection", "keep-alive"));
    let expects_continue = has("expect", "100-continue");
    let body = BodyReader::new(&headers, LONGEST_BODY)?;
    input.drain(..used);
    Ok(Some((RequestHead { method, path, headers, close, expects_continue }, body)))
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Whether the connection ends with this response.
    pub close: bool,
    /// The body has no length: it ends with the connection, and only where that ends cleanly.
    pub until_close: bool,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection ends with this response.
    pub close: bool,
}

/// Reads a response as its bytes come: each is read once, however small the pieces are.
#[derive(Debug)]
pub struct ResponseReader {
    /// Once the head is complete.
    head: Option<(ResponseHead, BodyReader)>,
    /// Most bytes of the body.
    limit: usize,
}

impl ResponseReader {
    /// Takes bodies of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { head: None, limit }
    }

    /// Takes what has come off `input`; `Some` once the response is complete. `ended` says that the other side has
    /// ended the connection cleanly: a reset is no end.
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

/// Takes the head of a response off `input`; `None` while it is not complete.
fn read_response_head(
    input: &mut Vec<u8>,
    limit: usize,
) -> Result<Option<(ResponseHead, BodyReader)>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let used = match parsed.parse(input) {
        Ok(Status::Complete(used)) if used <= LONGEST_HEAD => used,
        Ok(Status::Partial) if input.len() < LONGEST_HEAD => return Ok(None),
        _ => return Err(MessageError::MalformedResponseHead),
    };
    let (status, version) = (parsed.code.unwrap_or(0), parsed.version.unwrap_or(0));
    let headers = header_lines(parsed.headers)?;
    let framed = |name: &str| headers.iter().any(|(key, _)| key == name);
    let has = |token: &str| list(&headers, "connection").any(|t| t.eq_ignore_ascii_case(token));
    let close = has("close") || (version == 0 && !has("keep-alive"));
    let until_close = !framed("content-length") && !framed("transfer-encoding") && status != 204;
    let body = BodyReader::new(&headers, limit)?;
    input.drain(..used);
    Ok(Some((ResponseHead { status, close, until_close }, body)))
}

/// Reads a response from all that has come of it; `None` while it is not complete. `ended` says that the other side
/// has ended the connection cleanly.
///
/// # Errors
/// The response is malformed.
pub fn read_response(input: &[u8], ended: bool) -> Result<Option<Response>, MessageError> {
    ResponseReader::new(usize::MAX).take(&mut input.to_vec(), ended)
}

/// The reason phrase of a status.
fn reason(status: u16) -> &'static str {
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

/// Writes a response: JSON if the body begins as an object does, or else plain text.
#[must_use]
pub fn write(status: u16, headers: &[(&str, String)], body: &str, close: bool) -> Vec<u8> {
    let kind = if body.starts_with('{') { "application/json" } else { "text/plain" };
    let mut out = format!("HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\n", reason(status));
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    let last = if close { "Connection: close\r\n" } else { "" };
    out.push_str(&format!("Content-Length: {}\r\n{last}\r\n{body}", body.len()));
    out.into_bytes()
}
