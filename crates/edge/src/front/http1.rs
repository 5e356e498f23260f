//! HTTP/1.1 messages on top of httparse: heads, bodies with a length or in chunks.

use httparse::Status;

/// Longest head of a message.
pub const LONGEST_HEAD: usize = 16 * 1024;
/// Longest body of a request.
pub const LONGEST_BODY: usize = 64 * 1024;
/// Most header lines.
const MOST_HEADERS: usize = 64;
/// Longest line that opens a chunk, and longest trailer.
const LONGEST_CHUNK_LINE: usize = 1024;

/// Why a request cannot be taken: the status that says so. The framing is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub u16, pub &'static str);

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The method.
    pub method: String,
    /// The path, without its query.
    pub path: String,
    /// Header lines, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Whether the client wants the connection closed afterwards.
    pub close: bool,
    /// Whether the client waits for `100 Continue`.
    pub expects: bool,
}

impl Head {
    /// The value of a header that is given once.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        let first = found.next();
        first.filter(|_| found.next().is_none()).map(|(_, value)| value.as_str())
    }
}

/// The body that is still to come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    chunked: bool,
    left: usize,
    most: usize,
    trailers: bool,
    data: Vec<u8>,
}

fn tokens<'a>(headers: &'a [(String, String)], name: &'a str) -> impl Iterator<Item = &'a str> {
    let lines = headers.iter().filter(move |(key, _)| key == name);
    lines.flat_map(|(_, value)| value.split(',')).map(str::trim)
}

impl Body {
    fn of(headers: &[(String, String)], most: usize) -> Result<Self, Bad> {
        let mut lengths = tokens(headers, "content-length").peekable();
        let coded = headers.iter().any(|(key, _)| key == "transfer-encoding");
        let mut left = 0;
        if coded {
            let mut codings = tokens(headers, "transfer-encoding");
            let chunked = codings.next().is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
            if lengths.peek().is_some() || !chunked || codings.next().is_some() {
                return Err(Bad(400, "the framing of the body is ambiguous"));
            }
        } else if let Some(first) = lengths.next() {
            // A sign or blank would be taken by some and not by others.
            if lengths.any(|other| other != first) || !first.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Bad(400, "the length of the body makes no sense"));
            }
            left = first.parse().map_err(|_| Bad(413, "the body is too large"))?;
        }
        if left > most {
            return Err(Bad(413, "the body is too large"));
        }
        Ok(Self { chunked: coded, left, most, trailers: false, data: Vec::new() })
    }

    /// Takes what has come from `input`; `Some` once the body is whole.
    ///
    /// # Errors
    /// The body is malformed or too large.
    pub fn take(&mut self, input: &mut Vec<u8>) -> Result<Option<Vec<u8>>, Bad> {
        let mut at = 0;
        let whole = self.advance(input, &mut at);
        input.drain(..at);
        Ok(whole?.then(|| std::mem::take(&mut self.data)))
    }

    fn advance(&mut self, input: &[u8], at: &mut usize) -> Result<bool, Bad> {
        loop {
            let come = self.left.min(input.len() - *at);
            self.data.extend_from_slice(&input[*at..*at + come]);
            *at += come;
            self.left -= come;
            if self.left > 0 {
                return Ok(false);
            }
            if !self.chunked {
                return Ok(true);
            }
            let rest = &input[*at..];
            if self.trailers {
                // Trailer lines are passed over up to the empty one.
                let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
                    // The first half of its line break may be there already.
                    return if rest.len() > LONGEST_CHUNK_LINE + 1 { Err(CHUNKS) } else { Ok(false) };
                };
                if end > LONGEST_CHUNK_LINE {
                    return Err(CHUNKS);
                }
                *at += end + 2;
                if end == 0 {
                    return Ok(true);
                }
                continue;
            }
            // The line break after a chunk's data belongs to the line that opens the next.
            let skip = if self.data.is_empty() { 0 } else { 2 };
            if skip > 0 && !b"\r\n".starts_with(&rest[..rest.len().min(2)]) {
                return Err(CHUNKS);
            }
            let line = rest.get(skip..).unwrap_or_default();
            match httparse::parse_chunk_size(line) {
                Ok(Status::Complete((used, size))) if used <= LONGEST_CHUNK_LINE => {
                    *at += skip + used;
                    self.left = usize::try_from(size).unwrap_or(usize::MAX);
                    self.trailers = size == 0;
                    if self.left > self.most - self.data.len() {
                        return Err(Bad(413, "the body is too large"));
                    }
                }
                Ok(Status::Partial) if line.len() < LONGEST_CHUNK_LINE => return Ok(false),
                _ => return Err(CHUNKS),
            }
        }
    }
}

const CHUNKS: Bad = Bad(400, "the chunks of the body make no sense");

fn lines(headers: &[httparse::Header<'_>]) -> Result<Vec<(String, String)>, Bad> {
    let line = |h: &httparse::Header<'_>| {
        let value = std::str::from_utf8(h.value).map_err(|_| Bad(400, "a header is not text"))?;
        Ok((h.name.to_ascii_lowercase(), value.to_owned()))
    };
    headers.iter().map(line).collect()
}

/// Reads the head of a request off `input`; `None` while it is not whole.
///
/// # Errors
/// The head is malformed or too large.
pub fn request(input: &mut Vec<u8>) -> Result<Option<(Head, Body)>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let used = match parsed.parse(input) {
        Ok(Status::Complete(used)) if used <= LONGEST_HEAD => used,
        Ok(Status::Partial) if input.len() < LONGEST_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Bad(431, "the head is too large")),
        Err(_) => return Err(Bad(400, "the head makes no sense")),
    };
    let target = parsed.path.unwrap_or_default();
    let (method, version) = (parsed.method.unwrap_or_default().to_owned(), parsed.version.unwrap_or(0));
    let path = target.split('?').next().unwrap_or_default().to_owned();
    let headers = lines(parsed.headers)?;
    let has = |name, token: &str| tokens(&headers, name).any(|t| t.eq_ignore_ascii_case(token));
    let close = has("connection", "close") || (version == 0 && !has("connection", "keep-alive"));
    let expects = has("expect", "100-continue");
    let body = Body::of(&headers, LONGEST_BODY)?;
    input.drain(..used);
    Ok(Some((Head { method, path, headers, close, expects }, body)))
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Whether the connection is done with.
    pub close: bool,
    /// The body has no length: it ends with the connection, and only where that ends cleanly.
    pub until_close: bool,
}

/// A response, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection is done with.
    pub close: bool,
}

/// A response that comes in pieces: what has come is read once, however small the pieces are.
#[derive(Debug)]
pub struct ResponseReader {
    begun: Option<(ResponseHead, Body)>,
    most: usize,
}

impl ResponseReader {
    /// Takes bodies of so many bytes at most.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { begun: None, most }
    }

    /// Takes what has come from `input`; `Some` once the response is whole. `ended` says that the other side has
    /// ended the connection cleanly: a reset is no end.
    ///
    /// # Errors
    /// The response is malformed or too large.
    pub fn take(&mut self, input: &mut Vec<u8>, ended: bool) -> Result<Option<Response>, Bad> {
        if self.begun.is_none() {
            self.begun = response_head(input, self.most)?;
        }
        let Some((head, body)) = &mut self.begun else { return Ok(None) };
        let ResponseHead { status, close, until_close } = *head;
        if until_close {
            if input.len() > self.most {
                return Err(Bad(413, "the body is too large"));
            }
            let whole = ended.then(|| std::mem::take(input));
            return Ok(whole.map(|body| Response { status, body, close: true }));
        }
        Ok(body.take(input)?.map(|body| Response { status, body, close }))
    }
}

/// Reads the head of a response off `input`; `None` while it is not whole.
fn response_head(input: &mut Vec<u8>, most: usize) -> Result<Option<(ResponseHead, Body)>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let used = match parsed.parse(input) {
        Ok(Status::Complete(used)) if used <= LONGEST_HEAD => used,
        Ok(Status::Partial) if input.len() < LONGEST_HEAD => return Ok(None),
        _ => return Err(Bad(400, "the head of the response makes no sense")),
    };
    let (status, version) = (parsed.code.unwrap_or(0), parsed.version.unwrap_or(0));
    let headers = lines(parsed.headers)?;
    let framed = |name: &str| headers.iter().any(|(key, _)| key == name);
    let has = |token: &str| tokens(&headers, "connection").any(|t| t.eq_ignore_ascii_case(token));
    let close = has("close") || (version == 0 && !has("keep-alive"));
    let until_close = !framed("content-length") && !framed("transfer-encoding") && status != 204;
    let body = Body::of(&headers, most)?;
    input.drain(..used);
    Ok(Some((ResponseHead { status, close, until_close }, body)))
}

/// Reads a response from all that has come of it; `None` while it is not whole. `ended` says that the other side
/// has ended the connection cleanly.
///
/// # Errors
/// The response is malformed.
pub fn response(input: &[u8], ended: bool) -> Result<Option<Response>, Bad> {
    ResponseReader::new(usize::MAX).take(&mut input.to_vec(), ended)
}

/// The words that go with a status.
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

/// Writes a response.
#[must_use]
pub fn write(status: u16, extra: &[(&str, String)], body: &str, close: bool) -> Vec<u8> {
    let kind = if body.starts_with('{') { "application/json" } else { "text/plain" };
    let mut out = format!("HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\n", reason(status));
    for (name, value) in extra {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    let last = if close { "Connection: close\r\n" } else { "" };
    out.push_str(&format!("Content-Length: {}\r\n{last}\r\n{body}", body.len()));
    out.into_bytes()
}
