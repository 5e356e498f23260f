//! One call of a Flight client: a stream of HTTP/2 whose messages come in, go out, and end with a status.
//! What a method makes of them stands in `methods` and `long`.

use std::collections::VecDeque;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use mallowgauge_core::polled_queries::{PolledQueryKey, WaiterId};
use mallowgauge_core::sessions::Options;
use mallowgauge_core::stream_admission::Reader;
use mallowgauge_flight::answer;
use mallowgauge_flight::grpc::{self, Code, Deframer, Encoding, Status};
use mallowgauge_router::Micros;

use super::auth::Who;
use super::batch_stream::Long;
use super::command::Command;
use super::method::Method;

/// A message has to be whole so long after its first byte, and a request after its head.
pub const SLOWEST_REQUEST: Micros = 2_000_000;
/// A long stream on which nothing goes either way is kept for so long.
const LONGEST_REST: Micros = 600_000_000;
/// The core and the module end a query in time; a call ends itself so long after its client's time.
const SLACK: Micros = 50_000;

/// What a call's head says.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// How long the client waits.
    pub timeout: Option<Micros>,
    /// How the client's messages may be compressed.
    pub encoding: Encoding,
    /// Who calls.
    pub who: Who,
    /// What the session has set.
    pub options: Options,
}

/// What a call waits for.
pub struct Waiting {
    /// What comes of the outcome.
    pub form: Wanted,
    /// When the call says how things stand, if there is no outcome by then.
    pub until: Option<Micros>,
    /// The caller under which the outcome comes.
    pub caller: Option<WaiterId>,
}

/// What comes of an outcome.
pub enum Wanted {
    /// The answer's table.
    Table,
    /// How a polled query stands.
    Poll(PolledQueryKey, Command),
}

/// What goes out.
pub enum Item {
    /// Messages that are ready, in gRPC's frames.
    Pieces(VecDeque<Bytes>),
    /// An answer whose messages are made as they go.
    Answer(Box<answer::Stream>),
}

/// What a call is about once its head is in.
pub enum Work {
    /// Its one message is coming in.
    Request(Method),
    /// It waits for an outcome.
    Waiting(Waiting),
    /// Many queries on one stream.
    Long(Box<Long>),
    /// Health is told as it changes: what was told last.
    Watch(i32),
    /// Nothing more is to be done but to write.
    Ending,
}

/// One call.
pub struct Call {
    /// What its head says.
    pub head: Head,
    /// What it is about.
    pub work: Work,
    /// When it came.
    pub arrived: Micros,
    body: Option<RecvStream>,
    frames: Deframer,
    /// Bytes whose place in the client's window was not given back: those of messages that are not whole.
    unreleased: usize,
    /// Since when a message has been coming in.
    partial: Option<Micros>,
    respond: SendResponse<Bytes>,
    stream: Option<SendStream<Bytes>>,
    out: VecDeque<Item>,
    trailers: Option<HeaderMap>,
    /// Lines that go with the head of the answer.
    extra: HeaderMap,
    reader: Reader,
    moved: Micros,
    send_buffer: usize,
    over: bool,
}

/// What reading came to.
pub enum Read {
    /// Nothing more for now.
    Pending,
    /// A message.
    Message(Bytes),
    /// The client has said its last.
    End,
}

impl Call {
    /// Takes a stream whose head was understood.
    pub fn new(
        now: Micros,
        head: Head,
        work: Work,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        (message, send_buffer): (usize, usize),
    ) -> Self {
        Self {
            work,
            arrived: now,
            body: Some(request.into_body()),
            frames: Deframer::new(message).encoded(head.encoding),
            head,
            unreleased: 0,
            partial: None,
            respond,
            stream: None,
            out: VecDeque::new(),
            trailers: None,
            extra: HeaderMap::new(),
            reader: Reader::new(now),
            moved: now,
            send_buffer,
            over: false,
        }
    }

    /// When its client's time is up, by the clock here.
    pub fn until(&self) -> Option<Micros> {
        self.head.timeout.map(|wait| self.arrived.saturating_add(wait))
    }

    /// How long its client still waits.
    pub fn left(&self, now: Micros) -> Option<Micros> {
        self.until().map(|until| until.saturating_sub(now))
    }

    /// Whether the call is over and can be dropped.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Whether an answer is owed or being written; who watches health is owed nothing.
    pub fn is_owed(&self) -> bool {
        !matches!(self.work, Work::Watch(_))
    }

    /// When something has to be done about it.
    pub fn due(&self) -> Option<Micros> {
        let slow = self.partial.map(|since| since + SLOWEST_REQUEST);
        let first = matches!(self.work, Work::Request(_)).then_some(self.arrived + SLOWEST_REQUEST);
        let written = !self.out.is_empty() || self.trailers.is_some();
        let stalled = written.then(|| self.reader.deadline());
        let waits = match &self.work {
            Work::Waiting(waiting) => waiting.until,
            Work::Long(_) => Some(self.moved + LONGEST_REST),
            _ => None,
        };
        let time = self.until().map(|until| until + SLACK);
        [slow, first, stalled, waits, time].into_iter().flatten().min()
    }

    /// Looks at the clock; the call may be over afterwards.
    pub fn expire(&mut self, now: Micros) {
        let late = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let written = !self.out.is_empty() || self.trailers.is_some();
        if written && self.reader.deadline() <= now {
            // A client that takes nothing would not take a status either.
            return self.reset(Reason::CANCEL);
        }
        if late(self.until().map(|until| until + SLACK)) {
            return self.fail(now, &Status::new(Code::DeadlineExceeded, "time ran out"));
        }
        let first = matches!(self.work, Work::Request(_)) && self.arrived + SLOWEST_REQUEST <= now;
        if first || late(self.partial.map(|since| since + SLOWEST_REQUEST)) {
            let status = Status::new(Code::DeadlineExceeded, "the request did not come in time");
            return self.fail(now, &status);
        }
        if matches!(self.work, Work::Long(_)) && self.moved + LONGEST_REST <= now {
            self.fail(now, &Status::new(Code::Cancelled, "nothing was said for too long"));
        }
    }

    /// The next message, if one is whole.
    pub fn read(&mut self, now: Micros, cx: &mut Context<'_>) -> Result<Read, Status> {
        loop {
            if let Some(message) = self.frames.take().map_err(grpc::Bad::status)? {
                let used = self.unreleased - self.frames.len();
                self.release(used);
                self.partial = (!self.frames.is_empty()).then_some(now);
                self.moved = now;
                return Ok(Read::Message(message));
            }
            let Some(body) = &mut self.body else { return Ok(Read::End) };
            match body.poll_data(cx) {
                Poll::Pending => return Ok(Read::Pending),
                Poll::Ready(Some(Ok(bytes))) => {
                    self.unreleased += bytes.len();
                    self.frames.push(&bytes);
                    self.partial = (!self.frames.is_empty()).then(|| self.partial.unwrap_or(now));
                }
                Poll::Ready(Some(Err(_))) => {
                    self.body = None;
                    return Err(Status::new(Code::Cancelled, "the request broke off"));
                }
                Poll::Ready(None) => {
                    self.body = None;
                    self.partial = None;
                    if !self.frames.is_empty() {
                        return Err(Status::new(Code::InvalidArgument, "the request ends within a message"));
                    }
                    return Ok(Read::End);
                }
            }
        }
    }

    fn release(&mut self, bytes: usize) {
        self.unreleased -= bytes;
        if let Some(body) = &mut self.body {
            let _ = body.flow_control().release_capacity(bytes);
        }
    }

    /// Whether the client has reset the stream.
    pub fn is_reset(&mut self, cx: &mut Context<'_>) -> bool {
        match &mut self.stream {
            Some(stream) => stream.poll_reset(cx).is_ready(),
            None => self.respond.poll_reset(cx).is_ready(),
        }
    }

    /// A header line that goes with the answer.
    pub fn line(&mut self, name: &'static str, value: &str) {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.extra.append(name, value);
        }
    }

    /// The encoding of what goes out: a client that compresses its requests gets compressed answers.
    pub fn encoding(&self) -> Encoding {
        self.head.encoding
    }

    /// Puts something behind what goes out.
    pub fn push(&mut self, now: Micros, item: Item) {
        if self.out.is_empty() {
            self.reader.rested(now);
        }
        self.out.push_back(item);
    }

    /// Puts a message behind what goes out.
    pub fn message(&mut self, now: Micros, message: &impl prost::Message) {
        let pieces = grpc::frame_pieces(vec![message.encode_to_vec().into()], self.encoding());
        self.push(now, Item::Pieces(pieces.into()));
    }

    /// After what goes out the call ends with this status.
    pub fn end(&mut self, status: &Status) {
        if self.trailers.is_none() {
            self.trailers = Some(status.trailers());
        }
        self.work = Work::Ending;
    }

    /// The call ends with this status now; what was to go out does not.
    pub fn fail(&mut self, now: Micros, status: &Status) {
        if self.out.is_empty() {
            self.reader.rested(now);
        }
        self.out.clear();
        self.trailers = Some(status.trailers());
        self.work = Work::Ending;
    }

    /// The stream is reset.
    pub fn reset(&mut self, reason: Reason) {
        match &mut self.stream {
            Some(stream) => stream.send_reset(reason),
            None => self.respond.send_reset(reason),
        }
        self.out.clear();
        self.over = true;
    }

    fn response(&mut self) -> Response<()> {
        let mut response = Response::new(());
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static(grpc::CONTENT_TYPE));
        headers.insert("grpc-accept-encoding", HeaderValue::from_static(grpc::ACCEPTED));
        if self.head.encoding == Encoding::Gzip {
            headers.insert("grpc-encoding", HeaderValue::from_static("gzip"));
        }
        headers.extend(std::mem::take(&mut self.extra));
        response
    }

    /// Writes as much as the client's window takes, and says how much that was.
    pub fn write(&mut self, now: Micros, cx: &mut Context<'_>) -> usize {
        let mut written = 0;
        if self.over || (self.out.is_empty() && self.trailers.is_none() && !self.is_watched()) {
            return written;
        }
        if self.stream.is_none() {
            let mut response = self.response();
            if self.out.is_empty() && !self.is_watched() {
                // A status alone goes with the head.
                response.headers_mut().extend(self.trailers.take().unwrap_or_default());
                let _ = self.respond.send_response(response, true);
                self.over = true;
                return written;
            }
            match self.respond.send_response(response, false) {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => {
                    self.over = true;
                    return written;
                }
            }
        }
        while let Some(piece) = self.next_piece() {
            let Some(stream) = &mut self.stream else { return written };
            stream.reserve_capacity(piece.len().min(self.send_buffer));
            let room = match stream.capacity() {
                0 => match stream.poll_capacity(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Some(Ok(room))) => room,
                    Poll::Ready(_) => {
                        self.over = true;
                        return written;
                    }
                },
                room => room,
            };
            let size = room.min(piece.len());
            let Some(Item::Pieces(pieces)) = self.out.front_mut() else { break };
            let Some(piece) = pieces.front_mut() else { break };
            let now_goes = piece.split_to(size);
            if piece.is_empty() {
                pieces.pop_front();
            }
            if stream.send_data(now_goes, false).is_err() {
                self.over = true;
                return written;
            }
            written += size;
        }
        self.reader.took(now, written);
        if written > 0 {
            self.moved = now;
        }
        if self.out.is_empty() {
            if let (Some(trailers), Some(stream)) = (self.trailers.take(), &mut self.stream) {
                let _ = stream.send_trailers(trailers);
                self.over = true;
            }
        }
        written
    }

    fn is_watched(&self) -> bool {
        matches!(self.work, Work::Watch(_) | Work::Long(_))
    }

    /// The piece that goes next; answers are turned into messages one at a time.
    fn next_piece(&mut self) -> Option<Bytes> {
        loop {
            match self.out.front_mut()? {
                Item::Pieces(pieces) => match pieces.front() {
                    Some(piece) if piece.has_remaining() => return Some(piece.clone()),
                    Some(_) => drop(pieces.pop_front()),
                    None => drop(self.out.pop_front()),
                },
                Item::Answer(answer) => match answer.message() {
                    Ok(Some(pieces)) => self.out.push_front(Item::Pieces(pieces.into())),
                    Ok(None) => drop(self.out.pop_front()),
                    Err(why) => {
                        tracing::warn!("an answer could not be written: {why}");
                        let status = Status::new(Code::Internal, "the answer could not be written");
                        self.out.clear();
                        self.trailers = Some(status.trailers());
                        return None;
                    }
                },
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // A call that ends without a status must not look whole: its stream is reset with a reason that
        // clients know.
        if !self.over {
            self.reset(Reason::CANCEL);
        }
    }
}
