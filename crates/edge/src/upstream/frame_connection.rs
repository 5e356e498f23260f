//! A backend connection that uses the platform's frames ([`super::frames`]).
//!
//! Responses to parts come in any order and name their part; responses to health checks come in the order of the
//! checks. Only the first queued frame is ever partly written: it can be revoked until its first byte is written, and
//! the backend may execute it once its last byte is written.
//!
//! A response counts only once the bytes behind it are known to begin another frame, or there are none. Otherwise its
//! length may be wrong and its value cut. With nothing else in flight, backends may send noise behind a good response:
//! there it counts as well, unless these bytes are text, as the rest of its value would be.

use std::collections::{BTreeMap, VecDeque};

use mallowgauge_core::{AttemptId, AttemptRequest};
use mallowgauge_net::{ReadEnd, Stream};
use mallowgauge_router::{BackendId, Micros, Outcome};

use super::connection::BackendConnection;
use super::frames::{self, BackendMessage, FrameError};
use super::{drop_expired, drop_unsent, UpstreamEvent, MESSAGE_TIMEOUT};

/// Time after its deadline for which a cancelled part is kept, to match a late response, in microseconds.
const CANCELLED_PART_RETENTION: Micros = 1_000_000;
/// Number of the last answered parts that a connection keeps, to recognise duplicate responses.
const MAX_REMEMBERED_PARTS: usize = 64;
/// Consecutive reads from one backend before other connections are served.
const MAX_CONSECUTIVE_READS: usize = 4;
/// Size limit of the input buffer in bytes: one frame with its length field.
const MAX_INPUT_BYTES: usize = frames::MAX_FRAME_BYTES + 4;

/// A protocol violation or an announced close, after which the connection is closed. The messages are logged.
#[derive(Debug, thiserror::Error)]
enum ProtocolError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("response to a part that is not in flight on this connection")]
    UnknownPart,
    #[error("response to a health check that was not sent")]
    UnknownHealthCheck,
    #[error("connection closed by the backend")]
    ClosedByBackend,
    #[error("unexpected bytes after a response")]
    SurplusBytes,
    #[error("incomplete frame timed out")]
    FrameTimeout,
}

/// A frame to the backend.
#[derive(Debug)]
enum Frame {
    Call(Vec<AttemptRequest>),
    /// The name of the part to cancel.
    Cancel(String),
    HealthCheck,
}

impl Frame {
    fn attempts(&self) -> &[AttemptRequest] {
        match self {
            Frame::Call(attempts) => attempts,
            Frame::Cancel(_) | Frame::HealthCheck => &[],
        }
    }

    /// Whether this frame cancels the part of this name.
    fn cancels(&self, part: &str) -> bool {
        matches!(self, Frame::Cancel(cancelled) if cancelled == part)
    }
}

/// A part that was written completely and has no response yet.
#[derive(Debug)]
struct InFlightPart {
    attempt: AttemptId,
    sent_at: Micros,
    /// The backend may work on the part until then, even if it is cancelled.
    deadline: Micros,
    cancelled: bool,
}

/// A complete response to a part in flight, which does not count yet.
#[derive(Debug)]
struct UnconfirmedResponse {
    part: String,
    outcome: Outcome,
    value: String,
}

/// Whether these bytes are text without control characters other than line breaks and tabs.
fn is_text(bytes: &[u8]) -> bool {
    let is_printable = |character: char| !character.is_control() || matches!(character, '\n' | '\r' | '\t');
    std::str::from_utf8(bytes).is_ok_and(|text| text.chars().all(is_printable))
}

/// A backend connection that uses the platform's frames.
pub(super) struct FrameConnection {
    backend: BackendId,
    stream: Stream,
    /// When connecting times out; `None` once the connection is established.
    connect_deadline: Option<Micros>,
    /// Frames of which no byte is written.
    queue: VecDeque<Frame>,
    /// The partly written frame, with its remaining bytes.
    writing: Option<(Frame, Vec<u8>)>,
    /// Parts in flight, by name.
    in_flight: BTreeMap<String, InFlightPart>,
    /// Deadlines of the health checks that wait for a response.
    health_checks: VecDeque<Micros>,
    /// Number of timed-out health checks whose responses may still come.
    late_health_checks: u32,
    /// Names of the last answered parts; a duplicate response to one is ignored.
    answered: VecDeque<String>,
    /// Number of duplicate responses since the last new one.
    duplicates: usize,
    /// The last response, until the bytes behind it confirm its length. Its part is still in `in_flight`.
    unconfirmed: Option<UnconfirmedResponse>,
    input: Vec<u8>,
    /// Whether reading was stopped before the socket blocked.
    more_to_read: bool,
    /// When the incomplete frame in `input` began.
    partial_since: Option<Micros>,
    last_received: Micros,
    last_used: Micros,
}

impl BackendConnection for FrameConnection {
    /// A cancelled part counts until its deadline, since the backend may work on it until then.
    fn in_flight(&self, now: Micros) -> usize {
        let counts = |part: &&InFlightPart| !part.cancelled || part.deadline > now;
        self.unwritten().count() + self.in_flight.values().filter(counts).count()
    }

    /// Rejects attempts while a frame is partly received, and those whose part was sent here before: a late or
    /// duplicate response to the earlier attempt would be matched to the new one.
    fn accepts(&self, attempts: &[AttemptRequest]) -> bool {
        let is_known = |part: &String| self.in_flight.contains_key(part) || self.answered.contains(part);
        let is_queued = |attempt: &AttemptRequest| {
            self.unwritten()
                .any(|other| attempt.request_id == other.request_id && attempt.shard == other.shard)
        };
        self.partial_since.is_none()
            && !attempts.iter().any(|attempt| is_known(&frames::part_name(attempt)))
            && !attempts.iter().any(is_queued)
    }

    fn is_idle(&self) -> bool {
        let has_unwritten_frames = self.writing.is_some() || !self.queue.is_empty();
        !self.awaits_response()
            && !has_unwritten_frames
            && self.health_checks.is_empty()
            && self.input.is_empty()
    }

    fn is_connecting_unused(&self) -> bool {
        self.connect_deadline.is_some() && self.queue.is_empty()
    }

    fn silent_since(&self) -> Option<Micros> {
        let awaited = self.in_flight.values().filter(|part| !part.cancelled);
        awaited.map(|part| part.sent_at.max(self.last_received)).min()
    }

    fn last_used(&self) -> Micros {
        self.last_used
    }

    fn has_more_to_read(&self) -> bool {
        self.more_to_read
    }

    fn buffered_bytes(&self) -> usize {
        self.input.len() + self.writing.as_ref().map_or(0, |(_, bytes)| bytes.len())
    }

    fn poll_timeout(&self, idle_timeout: Micros) -> Option<Micros> {
        if let Some(deadline) = self.connect_deadline {
            return Some(deadline);
        }
        let idle = !self.awaits_response() && self.queue.is_empty();
        let idle_at = idle.then_some(self.last_used + idle_timeout);
        let frame_timeout_at = self.partial_since.map(|since| since + MESSAGE_TIMEOUT);
        self.health_checks.front().copied().into_iter().chain(idle_at).chain(frame_timeout_at).min()
    }

    fn send(&mut self, now: Micros, attempts: Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) -> bool {
        self.last_used = now;
        self.queue.push_back(Frame::Call(attempts));
        self.handle_ready(now, events)
    }

    fn revoke_unsent(
        &mut self,
        predicate: impl Fn(&AttemptRequest) -> bool,
        events: &mut Vec<UpstreamEvent>,
    ) {
        for frame in &mut self.queue {
            if let Frame::Call(attempts) = frame {
                drop_unsent(attempts, &predicate, events);
            }
        }
        self.queue.retain(|frame| !matches!(frame, Frame::Call(attempts) if attempts.is_empty()));
    }

    fn cancel(
        &mut self,
        now: Micros,
        silent_timeout: Micros,
        attempt: AttemptId,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        self.revoke_unsent(|request| request.attempt == attempt, events);
        if let Some(part) = self.partly_written_part(attempt) {
            return self.cancel_partly_written(part);
        }
        let was_silent = self.silent_since().is_some_and(|since| since + silent_timeout <= now);
        let mut in_flight = self.in_flight.iter_mut();
        let Some((name, part)) = in_flight.find(|(_, part)| part.attempt == attempt) else { return true };
        part.cancelled = true;
        let name = name.clone();
        if was_silent && !self.awaits_response() && self.unwritten().next().is_none() {
            return false;
        }
        self.queue.push_back(Frame::Cancel(name));
        self.last_used = now;
        self.write(now, events)
    }

    fn health_check(&mut self, now: Micros, deadline: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        self.last_used = now;
        self.queue.push_back(Frame::HealthCheck);
        self.health_checks.push_back(deadline);
        self.write(now, events)
    }

    fn handle_ready(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        if !self.write(now, events) {
            // Responses received before the connection broke still count: a written part may have been executed.
            // If they are malformed, only the loss of the connection is reported.
            self.stream.read(&mut self.input, MAX_INPUT_BYTES);
            let _ = self.read_frames(now, false, events);
            return false;
        }
        if self.connect_deadline.is_some() {
            return true;
        }
        self.read(now, events)
    }

    fn handle_timeout(&mut self, now: Micros, idle_timeout: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        if self.connect_deadline.is_some() {
            tracing::info!("backend {}: connect timed out", self.backend.0);
            return false;
        }
        if self.partial_since.is_some_and(|since| since + MESSAGE_TIMEOUT <= now) {
            return self.protocol_failure(&ProtocolError::FrameTimeout);
        }
        if self.health_checks.front().is_some_and(|&deadline| deadline <= now) {
            // A connection with nothing else in flight may be dead, so it closes when its health check times out.
            if !self.awaits_response() {
                return false;
            }
            self.health_checks.pop_front();
            self.late_health_checks += 1;
            events.push(UpstreamEvent::HealthCheckCompleted(self.backend, false));
        }
        self.awaits_response() || self.last_used + idle_timeout > now
    }

    fn close(&mut self, events: &mut Vec<UpstreamEvent>) {
        let ended = |attempt, outcome| UpstreamEvent::AttemptEnded(attempt, outcome, None);
        events.extend(self.unwritten().map(|attempt| ended(attempt.attempt, Outcome::ConnectFailed)));
        let awaited = std::mem::take(&mut self.in_flight).into_values().filter(|part| !part.cancelled);
        events.extend(awaited.map(|part| ended(part.attempt, Outcome::ConnectionLost)));
        let checks = self.health_checks.drain(..);
        events.extend(checks.map(|_| UpstreamEvent::HealthCheckCompleted(self.backend, false)));
    }
}

impl FrameConnection {
    /// Creates a connection for a socket that is connecting until `connect_deadline`.
    pub(super) fn new(backend: BackendId, stream: Stream, now: Micros, connect_deadline: Micros) -> Self {
        Self {
            backend,
            stream,
            connect_deadline: Some(connect_deadline),
            queue: VecDeque::new(),
            writing: None,
            in_flight: BTreeMap::new(),
            health_checks: VecDeque::new(),
            late_health_checks: 0,
            answered: VecDeque::new(),
            duplicates: 0,
            unconfirmed: None,
            input: Vec::new(),
            more_to_read: false,
            partial_since: None,
            last_received: now,
            last_used: now,
        }
    }

    /// Returns the attempts of the queued frames and of the partly written one.
    fn unwritten(&self) -> impl Iterator<Item = &AttemptRequest> {
        let writing = self.writing.iter().map(|(frame, _)| frame);
        writing.chain(&self.queue).flat_map(Frame::attempts)
    }

    /// Whether a part that is not cancelled waits for its response.
    fn awaits_response(&self) -> bool {
        self.in_flight.values().any(|part| !part.cancelled)
    }

    /// Returns the name of an attempt's part if its frame is partly written.
    fn partly_written_part(&self, attempt: AttemptId) -> Option<String> {
        let (frame, _) = self.writing.as_ref()?;
        frame.attempts().iter().find(|request| request.attempt == attempt).map(frames::part_name)
    }

    /// Queues the cancellation behind the partly written frame. If nothing else on the connection is needed, closes
    /// it with a reset instead: the frame is never completed, and the socket's send buffer is discarded, since
    /// nothing in it is needed either.
    fn cancel_partly_written(&mut self, part: String) -> bool {
        self.queue.push_back(Frame::Cancel(part));
        let is_needed = self.writing.iter().any(|(frame, _)| !self.is_cancelled(frame))
            || self.queue.iter().any(|frame| matches!(frame, Frame::Call(_)))
            || self.awaits_response();
        if !is_needed {
            self.stream.reset_on_close();
        }
        is_needed
    }

    /// Whether cancellations of all parts of this frame are queued.
    fn is_cancelled(&self, frame: &Frame) -> bool {
        let Frame::Call(attempts) = frame else { return false };
        attempts.iter().all(|attempt| self.has_queued_cancel(&frames::part_name(attempt)))
    }

    fn has_queued_cancel(&self, part: &str) -> bool {
        self.queue.iter().any(|frame| frame.cancels(part))
    }

    /// Writes until the socket would block. Returns `false` if the connection is closed.
    fn write(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        if self.connect_deadline.is_some() {
            match self.stream.connected() {
                None => return true,
                Some(false) => return false,
                Some(true) => (self.connect_deadline, self.last_received) = (None, now),
            }
        }
        loop {
            let starts_frame = self.writing.is_none();
            if starts_frame {
                self.writing = self.next_frame(now, events);
            }
            let Some((_, bytes)) = &mut self.writing else { return true };
            let Ok(written) = self.stream.write(bytes) else { return false };
            bytes.drain(..written);
            if bytes.is_empty() {
                self.frame_written(now);
                continue;
            }
            if starts_frame && written == 0 {
                // No byte was written: the frame stays revocable, and its remaining time is encoded anew.
                self.writing.take().into_iter().for_each(|(frame, _)| self.queue.push_front(frame));
            }
            return true;
        }
    }

    /// Takes and encodes the next frame, without the attempts whose latest start time has passed.
    fn next_frame(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> Option<(Frame, Vec<u8>)> {
        while let Some(mut frame) = self.queue.pop_front() {
            let bytes = match &mut frame {
                Frame::Call(attempts) => {
                    drop_expired(now, attempts, events);
                    if attempts.is_empty() {
                        continue;
                    }
                    frames::call(now, attempts)
                }
                Frame::Cancel(part) => frames::cancel(part),
                Frame::HealthCheck => frames::health_check(),
            };
            return Some((frame, bytes));
        }
        None
    }

    /// Marks the parts of the completely written frame as in flight.
    fn frame_written(&mut self, now: Micros) {
        let Some((Frame::Call(attempts), _)) = self.writing.take() else { return };
        for attempt in attempts {
            let name = frames::part_name(&attempt);
            let part = InFlightPart {
                attempt: attempt.attempt,
                sent_at: now,
                deadline: attempt.deadline,
                cancelled: self.has_queued_cancel(&name),
            };
            self.in_flight.insert(name, part);
        }
    }

    /// Reads and handles the available input, with at most [`MAX_CONSECUTIVE_READS`] reads. Returns `false` if the
    /// connection has to be closed.
    fn read(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        self.more_to_read = false;
        for _ in 0..MAX_CONSECUTIVE_READS {
            let before = self.input.len();
            let end = self.stream.read(&mut self.input, MAX_INPUT_BYTES);
            if self.input.len() > before {
                (self.last_received, self.last_used) = (now, now);
            }
            if let Err(error) = self.read_frames(now, end == ReadEnd::Full, events) {
                return self.protocol_failure(&error);
            }
            match end {
                ReadEnd::Blocked => return true,
                ReadEnd::Closed | ReadEnd::Broken => return false,
                ReadEnd::Full => {}
            }
        }
        self.more_to_read = true;
        true
    }

    /// Logs a protocol error and returns `false`, since the start of the next frame is unknown. If nothing is in
    /// flight, the malformed input followed a valid response, which still counts, so it is not logged as a fault of
    /// the backend.
    fn protocol_failure(&self, error: &ProtocolError) -> bool {
        if self.awaits_response() {
            tracing::warn!("backend {}: {error}", self.backend.0);
        }
        false
    }

    /// Handles the complete frames in the input buffer and removes them. `more_received` states that the socket may
    /// hold further bytes.
    fn read_frames(
        &mut self,
        now: Micros,
        more_received: bool,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        loop {
            let frame = frames::read(&self.input);
            if self.is_confirmed(&frame, more_received) {
                self.confirm_response(events);
            }
            let Some((message, used)) = frame? else { break };
            self.input.drain(..used);
            self.partial_since = None;
            self.handle_message(message, events)?;
        }
        self.expire_cancelled(now);
        let expects_response = !self.in_flight.is_empty() || self.expects_health_check();
        if !self.input.is_empty() && !expects_response {
            // It would be taken for the beginning of the next response.
            return Err(ProtocolError::SurplusBytes);
        }
        if self.input.is_empty() {
            self.partial_since = None;
            // Frees the buffer, since there may be hundreds of idle connections.
            self.input = Vec::new();
        } else {
            self.partial_since.get_or_insert(now);
        }
        Ok(())
    }

    /// Whether the bytes behind the last response confirm its length. `next` is what they decode to.
    fn is_confirmed(
        &self,
        next: &Result<Option<(BackendMessage, usize)>, FrameError>,
        more_received: bool,
    ) -> bool {
        let Some(response) = &self.unconfirmed else { return false };
        let other_part_in_flight = self.in_flight.keys().any(|part| *part != response.part);
        let awaits_more = other_part_in_flight || self.expects_health_check();
        match next {
            Err(_) => {
                let may_be_cut = response.outcome == Outcome::Succeeded && is_text(&self.input);
                !awaits_more && !may_be_cut
            }
            _ if !awaits_more => true,
            Ok(Some(_)) => true,
            Ok(None) if self.input.is_empty() => !more_received,
            Ok(None) => self.input.len() >= frames::HEAD_BYTES,
        }
    }

    /// Ends the part of the last response.
    fn confirm_response(&mut self, events: &mut Vec<UpstreamEvent>) {
        let Some(UnconfirmedResponse { part, outcome, value }) = self.unconfirmed.take() else { return };
        let Some(ended) = self.in_flight.remove(&part) else { return };
        self.duplicates = 0;
        self.remember_answered(part);
        if !ended.cancelled {
            let value = (outcome == Outcome::Succeeded).then(|| value.into());
            events.push(UpstreamEvent::AttemptEnded(ended.attempt, outcome, value));
        }
    }

    fn expects_health_check(&self) -> bool {
        !self.health_checks.is_empty() || self.late_health_checks > 0
    }

    fn handle_message(
        &mut self,
        message: BackendMessage,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        match message {
            BackendMessage::PartEnded { part, outcome, value } => {
                if !self.in_flight.contains_key(&part) {
                    return self.handle_duplicate(&part);
                }
                self.unconfirmed = Some(UnconfirmedResponse { part, outcome, value });
            }
            // Responses come in the order of the checks, so those to timed-out checks come first. A late response of
            // a busy backend must not close the connection, which would lose the parts in flight.
            BackendMessage::HealthChecked(_) if self.late_health_checks > 0 => self.late_health_checks -= 1,
            BackendMessage::HealthChecked(passed) => {
                self.health_checks.pop_front().ok_or(ProtocolError::UnknownHealthCheck)?;
                events.push(UpstreamEvent::HealthCheckCompleted(self.backend, passed));
            }
            BackendMessage::FrameRejected(reason) => {
                tracing::warn!("backend {} rejected a frame: {reason}", self.backend.0);
                return Err(ProtocolError::ClosedByBackend);
            }
        }
        Ok(())
    }

    /// Ignores a duplicate response, or one to a part that was cancelled long ago. Limits their number, since a
    /// backend that sends them without end would starve the event loop.
    fn handle_duplicate(&mut self, part: &str) -> Result<(), ProtocolError> {
        self.duplicates += 1;
        if self.duplicates <= MAX_REMEMBERED_PARTS && self.answered.iter().any(|answered| answered == part) {
            return Ok(());
        }
        Err(ProtocolError::UnknownPart)
    }

    fn remember_answered(&mut self, part: String) {
        self.answered.push_back(part);
        self.answered.drain(..self.answered.len().saturating_sub(MAX_REMEMBERED_PARTS));
    }

    /// Moves cancelled parts whose responses are no longer expected to the answered ones.
    fn expire_cancelled(&mut self, now: Micros) {
        let is_expired =
            |part: &InFlightPart| part.cancelled && now >= part.deadline + CANCELLED_PART_RETENTION;
        let expired = self.in_flight.iter().filter(|(_, part)| is_expired(part));
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.in_flight.remove(&name);
            self.remember_answered(name);
        }
    }
}
