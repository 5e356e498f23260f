//! A connection that carries the platform's frames ([`super::frames`]).
//!
//! Parts are answered in any order, by name; health checks in theirs. Of the queue only the frame in front is ever
//! written in part: until its first byte is written it can be revoked, after its last the backend may execute it.

use std::collections::{BTreeMap, VecDeque};

use mallowgauge_core::{AttemptId, AttemptRequest};
use mallowgauge_net::{ReadEnd, Stream};
use mallowgauge_router::{BackendId, Micros, Outcome};

use super::connection::BackendConnection;
use super::frames::{self, BackendMessage, FrameError};
use super::{drop_expired, drop_unsent, UpstreamEvent, MESSAGE_TIMEOUT};

/// How long after its deadline a cancelled part is remembered, for its late answer, in microseconds.
const REMEMBER_CANCELLED: Micros = 1_000_000;
/// How many of the last answered parts a connection remembers, for answers that come twice.
const REMEMBER_ANSWERED: usize = 64;
/// Most bytes read ahead: one frame and its length.
const LONGEST_INPUT: usize = frames::LONGEST + 4;

/// Why what a backend sends cannot be used, as the log has it.
#[derive(Debug, thiserror::Error)]
enum ProtocolError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("an answer to no part that was sent here")]
    UnknownPart,
    #[error("an answer to no probe")]
    UnknownHealthCheck,
    #[error("the host gives this connection up")]
    GivenUp,
    #[error("more than belongs to an answer")]
    SurplusBytes,
    #[error("a frame that does not become whole")]
    FrameTimeout,
}

/// A frame to the backend.
#[derive(Debug)]
enum Frame {
    Call(Vec<AttemptRequest>),
    /// Names the part.
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

    /// Whether it cancels the part of this name.
    fn cancels(&self, part: &str) -> bool {
        matches!(self, Frame::Cancel(cancelled) if cancelled == part)
    }
}

/// A part that was written completely and is not answered.
#[derive(Debug)]
struct InFlightPart {
    attempt: AttemptId,
    sent_at: Micros,
    /// Until then the backend may work on it, even if it is cancelled.
    deadline: Micros,
    cancelled: bool,
}

/// A connection that carries frames.
pub(super) struct FrameConnection {
    backend: BackendId,
    stream: Stream,
    /// While it is being opened: when that is given up.
    connect_deadline: Option<Micros>,
    /// Frames of which not a byte is written.
    queue: VecDeque<Frame>,
    /// The frame that is written in part, with its bytes that are not.
    writing: Option<(Frame, Vec<u8>)>,
    /// By name.
    in_flight: BTreeMap<String, InFlightPart>,
    /// The deadlines of health checks that wait for their answers.
    health_checks: VecDeque<Micros>,
    /// Health checks that failed by time, whose answers may still come.
    late_health_checks: u32,
    /// The names of the parts answered last: a second answer to one is ignored.
    answered: VecDeque<String>,
    /// Second answers since the last first one.
    duplicates: usize,
    input: Vec<u8>,
    /// Since when a frame has come in part.
    partial_since: Option<Micros>,
    last_received: Micros,
    last_used: Micros,
}

impl BackendConnection for FrameConnection {
    /// A cancelled part counts until its deadline, since the backend may work on it for so long.
    fn in_flight(&self, now: Micros) -> usize {
        let counts = |part: &&InFlightPart| !part.cancelled || part.deadline > now;
        self.unwritten().count() + self.in_flight.values().filter(counts).count()
    }

    /// Not in the middle of a frame that comes, nor where a part of the same name was sent: its late answer, or a
    /// second one, would be taken for the new part's.
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
        let writes = self.writing.is_some() || !self.queue.is_empty();
        !self.awaits_answers() && !writes && self.health_checks.is_empty() && self.input.is_empty()
    }

    fn opens_for_nothing(&self) -> bool {
        self.connect_deadline.is_some() && self.queue.is_empty()
    }

    fn silent_since(&self) -> Option<Micros> {
        let awaited = self.in_flight.values().filter(|part| !part.cancelled);
        awaited.map(|part| part.sent_at.max(self.last_received)).min()
    }

    fn last_used(&self) -> Micros {
        self.last_used
    }

    fn buffered_bytes(&self) -> usize {
        self.input.len() + self.writing.as_ref().map_or(0, |(_, bytes)| bytes.len())
    }

    fn poll_timeout(&self, idle_timeout: Micros) -> Option<Micros> {
        if let Some(deadline) = self.connect_deadline {
            return Some(deadline);
        }
        let idle = !self.awaits_answers() && self.queue.is_empty();
        let idle_at = idle.then_some(self.last_used + idle_timeout);
        let frame_at = self.partial_since.map(|since| since + MESSAGE_TIMEOUT);
        self.health_checks.front().copied().into_iter().chain(idle_at).chain(frame_at).min()
    }

    fn send(&mut self, now: Micros, attempts: Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) -> bool {
        self.last_used = now;
        self.queue.push_back(Frame::Call(attempts));
        self.handle_ready(now, events)
    }

    fn revoke_unsent(&mut self, which: impl Fn(&AttemptRequest) -> bool, events: &mut Vec<UpstreamEvent>) {
        for frame in &mut self.queue {
            if let Frame::Call(attempts) = frame {
                drop_unsent(attempts, &which, events);
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
        self.revoke_unsent(|send| send.attempt == attempt, events);
        if let Some(part) = self.partly_written(attempt) {
            return self.cancel_partly_written(part);
        }
        let was_silent = self.silent_since().is_some_and(|since| since + silent_timeout <= now);
        let mut in_flight = self.in_flight.iter_mut();
        let Some((name, part)) = in_flight.find(|(_, part)| part.attempt == attempt) else { return true };
        part.cancelled = true;
        let name = name.clone();
        if was_silent && !self.awaits_answers() && self.unwritten().next().is_none() {
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
            // What came before the connection broke still counts: a part that was written may have been executed.
            // Where that is malformed too, nobody is told more than that the connection is lost.
            self.stream.read(&mut self.input, LONGEST_INPUT);
            let _ = self.read_frames(now, events);
            return false;
        }
        if self.connect_deadline.is_some() {
            return true;
        }
        self.read(now, events)
    }

    fn handle_timeout(&mut self, now: Micros, idle_timeout: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        if self.connect_deadline.is_some() {
            tracing::info!("host {}: no connection in time", self.backend.0);
            return false;
        }
        if self.partial_since.is_some_and(|since| since + MESSAGE_TIMEOUT <= now) {
            return self.give_up(&ProtocolError::FrameTimeout);
        }
        if self.health_checks.front().is_some_and(|&deadline| deadline <= now) {
            // A connection with nothing else on it may be dead, and closes with its health check.
            if !self.awaits_answers() {
                return false;
            }
            self.health_checks.pop_front();
            self.late_health_checks += 1;
            events.push(UpstreamEvent::HealthCheckCompleted(self.backend, false));
        }
        self.awaits_answers() || self.last_used + idle_timeout > now
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
    /// A connection that is being opened until `connect_deadline`.
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
            input: Vec::new(),
            partial_since: None,
            last_received: now,
            last_used: now,
        }
    }

    /// The attempts that are queued, and those of the frame that is written in part.
    fn unwritten(&self) -> impl Iterator<Item = &AttemptRequest> {
        let writing = self.writing.iter().map(|(frame, _)| frame);
        writing.chain(&self.queue).flat_map(Frame::attempts)
    }

    /// Somebody waits for an answer of the backend.
    fn awaits_answers(&self) -> bool {
        self.in_flight.values().any(|part| !part.cancelled)
    }

    /// The name of an attempt's part if its frame is written in part.
    fn partly_written(&self, attempt: AttemptId) -> Option<String> {
        let (frame, _) = self.writing.as_ref()?;
        frame.attempts().iter().find(|send| send.attempt == attempt).map(frames::part_name)
    }

    /// The cancellation waits behind the part. With nobody waiting for anything else here, the connection is reset
    /// instead: the frame never becomes complete, and what the system holds of others is not worth sending either.
    fn cancel_partly_written(&mut self, part: String) -> bool {
        self.queue.push_back(Frame::Cancel(part));
        let is_wanted = self.writing.iter().any(|(frame, _)| !self.is_cancelled(frame))
            || self.queue.iter().any(|frame| matches!(frame, Frame::Call(_)))
            || self.awaits_answers();
        if !is_wanted {
            self.stream.reset_on_close();
        }
        is_wanted
    }

    /// Whether cancellations of all parts of this frame wait behind it.
    fn is_cancelled(&self, frame: &Frame) -> bool {
        let Frame::Call(attempts) = frame else { return false };
        attempts.iter().all(|attempt| self.has_queued_cancel(&frames::part_name(attempt)))
    }

    fn has_queued_cancel(&self, part: &str) -> bool {
        self.queue.iter().any(|frame| frame.cancels(part))
    }

    /// Writes what the socket takes; `false` when the connection is over.
    fn write(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        if self.connect_deadline.is_some() {
            match self.stream.connected() {
                None => return true,
                Some(false) => return false,
                Some(true) => (self.connect_deadline, self.last_received) = (None, now),
            }
        }
        loop {
            let begins = self.writing.is_none();
            if begins {
                self.writing = self.next_frame(now, events);
            }
            let Some((_, bytes)) = &mut self.writing else { return true };
            let Ok(written) = self.stream.write(bytes) else { return false };
            bytes.drain(..written);
            if bytes.is_empty() {
                self.frame_written(now);
                continue;
            }
            if begins && written == 0 {
                // Not begun: until it is, it can be revoked, and its time runs on.
                self.writing.take().into_iter().for_each(|(frame, _)| self.queue.push_front(frame));
            }
            return true;
        }
    }

    /// The next frame in its bytes, without the attempts that may not begin any more.
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

    /// The last byte of a frame is written: its parts are in flight from now on.
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

    /// Reads all that has come; `false` when the connection is over.
    fn read(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        loop {
            let before = self.input.len();
            let end = self.stream.read(&mut self.input, LONGEST_INPUT);
            if self.input.len() > before {
                (self.last_received, self.last_used) = (now, now);
            }
            if let Err(error) = self.read_frames(now, events) {
                return self.give_up(&error);
            }
            match end {
                ReadEnd::Blocked => return true,
                ReadEnd::Closed | ReadEnd::Broken => return false,
                ReadEnd::Full => {}
            }
        }
    }

    /// What came is malformed, and where the next frame begins is unknown; always `false`. With nothing in flight
    /// it came after a good answer, takes nothing from that, and is not held against the backend.
    fn give_up(&self, error: &ProtocolError) -> bool {
        if self.awaits_answers() {
            tracing::warn!("host {}: {error}", self.backend.0);
        }
        false
    }

    /// Takes the complete frames off what has come.
    fn read_frames(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> Result<(), ProtocolError> {
        while let Some((message, used)) = frames::read(&self.input)? {
            self.input.drain(..used);
            self.partial_since = None;
            self.handle_message(message, events)?;
        }
        self.forget_cancelled(now);
        let is_due =
            !self.in_flight.is_empty() || !self.health_checks.is_empty() || self.late_health_checks > 0;
        if !self.input.is_empty() && !is_due {
            // It would be taken for the beginning of the next answer.
            return Err(ProtocolError::SurplusBytes);
        }
        if self.input.is_empty() {
            self.partial_since = None;
            // Idle connections, of which there may be hundreds, hold no buffers.
            self.input = Vec::new();
        } else {
            self.partial_since.get_or_insert(now);
        }
        Ok(())
    }

    fn handle_message(
        &mut self,
        message: BackendMessage,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), ProtocolError> {
        match message {
            BackendMessage::PartEnded { part, outcome, value } => {
                let Some(ended) = self.in_flight.remove(&part) else { return self.handle_duplicate(&part) };
                self.duplicates = 0;
                self.remember_answered(part);
                if !ended.cancelled {
                    let value = (outcome == Outcome::Succeeded).then(|| value.into());
                    events.push(UpstreamEvent::AttemptEnded(ended.attempt, outcome, value));
                }
            }
            // Answers come in order: first those to health checks that failed by time. A busy backend's late answer
            // must not cost the parts that are in flight.
            BackendMessage::HealthChecked(_) if self.late_health_checks > 0 => self.late_health_checks -= 1,
            BackendMessage::HealthChecked(passed) => {
                self.health_checks.pop_front().ok_or(ProtocolError::UnknownHealthCheck)?;
                events.push(UpstreamEvent::HealthCheckCompleted(self.backend, passed));
            }
            BackendMessage::FrameRejected(reason) => {
                tracing::warn!("host {} could not use a frame: {reason}", self.backend.0);
                return Err(ProtocolError::GivenUp);
            }
        }
        Ok(())
    }

    /// An answer that came twice, or to a part that was cancelled long ago. A backend that goes on and on with
    /// these would keep the event loop from everything else.
    fn handle_duplicate(&mut self, part: &str) -> Result<(), ProtocolError> {
        self.duplicates += 1;
        if self.duplicates <= REMEMBER_ANSWERED && self.answered.iter().any(|answered| answered == part) {
            return Ok(());
        }
        Err(ProtocolError::UnknownPart)
    }

    fn remember_answered(&mut self, part: String) {
        self.answered.push_back(part);
        self.answered.drain(..self.answered.len().saturating_sub(REMEMBER_ANSWERED));
    }

    /// Cancelled parts whose answers are not expected any more count as answered.
    fn forget_cancelled(&mut self, now: Micros) {
        let is_old = |part: &InFlightPart| part.cancelled && now >= part.deadline + REMEMBER_CANCELLED;
        let old = self.in_flight.iter().filter(|(_, part)| is_old(part));
        let old: Vec<String> = old.map(|(name, _)| name.clone()).collect();
        for name in old {
            self.in_flight.remove(&name);
            self.remember_answered(name);
        }
    }
}
