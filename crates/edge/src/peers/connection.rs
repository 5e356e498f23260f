//! One connection to a peer: its phase, its deadlines, and its bytes in both directions.

use std::io::{self, IoSlice};

use mallowgauge_cluster::connections::PeerConnectionLimits;
use mallowgauge_cluster::inbound_rate_limit::InboundRateLimit;
use mallowgauge_cluster::outbound_queue::{MessageBatch, OutboundQueue};
use mallowgauge_cluster::{Incarnation, PeerId};
use mallowgauge_net::Stream;
use mallowgauge_router::Micros;

use super::errors::LostReason;
use super::wire::{self, Frame, FrameError};

/// A dial has to come up within this time, and a hello to come within as much again, in microseconds.
const HANDSHAKE_TIMEOUT: Micros = 1_000_000;
/// A frame that has begun to come has to be complete within this time, in microseconds.
const PARTIAL_FRAME_TIMEOUT: Micros = 1_000_000;
/// Bytes that wait to be sent have to move within this time, in microseconds.
const WRITE_TIMEOUT: Micros = 2_000_000;
/// A connection on which goodbye was said is kept for so long, in microseconds, so that the peer can read the
/// reason.
const GOODBYE_LINGER: Micros = 200_000;

/// Bytes of takeover messages that go as one frame.
const BATCH_BYTES: usize = 4096;
/// Frames that are written in one system call.
const FRAMES_PER_WRITE: usize = 64;
/// Bytes that the system may hold for a peer that does not read them.
const SOCKET_SEND_BUFFER_BYTES: usize = 32 * 1024;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The dial is under way.
    Dialing,
    /// The other side's hello is awaited.
    Handshaking,
    /// The handshake succeeded: this is the connection to that peer.
    Connected(PeerId),
    /// Goodbye was said; what comes is ignored.
    Closing,
}

/// What is over on a connection.
pub(super) enum Overdue {
    /// The peer had time to read the goodbye: the connection can be dropped.
    Closed,
    /// The connection counts as lost.
    Lost(LostReason),
}

/// One connection to a peer, or to one that has yet to say who it is.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) phase: Phase,
    /// When the present phase began.
    pub(super) phase_since: Micros,
    /// The peer's incarnation, as its hello named it.
    pub(super) incarnation: Incarnation,
    /// The peer that this side dialed.
    pub(super) dialed: Option<PeerId>,
    pub(super) input: Vec<u8>,
    pub(super) batch: MessageBatch,
    pub(super) queue: OutboundQueue,
    pub(super) rate_limit: InboundRateLimit,
    /// Since when a frame is incomplete.
    partial_since: Option<Micros>,
    /// Since when nothing that waits has moved.
    blocked_since: Option<Micros>,
    /// More is to be read, but not before then.
    pub(super) resume_at: Option<Micros>,
}

impl Connection {
    pub(super) fn new(
        now: Micros,
        stream: Stream,
        phase: Phase,
        dialed: Option<PeerId>,
        limits: &PeerConnectionLimits,
    ) -> Self {
        stream.limit_send_buffer(SOCKET_SEND_BUFFER_BYTES);
        Self {
            stream,
            phase,
            phase_since: now,
            incarnation: Incarnation::default(),
            dialed,
            input: Vec::new(),
            batch: MessageBatch::new(BATCH_BYTES.min(limits.message_bytes - wire::TAKEOVER_OVERHEAD_BYTES)),
            queue: OutboundQueue::new(limits.queue_bytes),
            rate_limit: InboundRateLimit::new(now, limits.messages_per_second),
            partial_since: None,
            blocked_since: None,
            resume_at: None,
        }
    }

    pub(super) fn enter(&mut self, now: Micros, phase: Phase) {
        (self.phase, self.phase_since) = (phase, now);
    }

    pub(super) fn is_connected(&self) -> bool {
        matches!(self.phase, Phase::Connected(_))
    }

    /// The peer at the other end, as far as it is known.
    pub(super) fn peer(&self) -> Option<PeerId> {
        match self.phase {
            Phase::Connected(peer) => Some(peer),
            _ => self.dialed,
        }
    }

    /// The next deadline of this connection.
    pub(super) fn poll_timeout(&self) -> Option<Micros> {
        let phase = match self.phase {
            Phase::Dialing | Phase::Handshaking => Some(self.phase_since + HANDSHAKE_TIMEOUT),
            Phase::Connected(_) => None,
            Phase::Closing => Some(self.phase_since + GOODBYE_LINGER),
        };
        let partial = self.partial_since.map(|since| since + PARTIAL_FRAME_TIMEOUT);
        let blocked = self.blocked_since.map(|since| since + WRITE_TIMEOUT);
        let deadlines = [phase, partial, blocked, self.resume_at, self.batch.poll_timeout()];
        deadlines.into_iter().flatten().min()
    }

    /// What is over by now.
    pub(super) fn overdue(&self, now: Micros) -> Option<Overdue> {
        let is_over = |since: Option<Micros>, timeout| since.is_some_and(|since| since + timeout <= now);
        let phase_since = Some(self.phase_since);
        let reason = match self.phase {
            Phase::Closing if is_over(phase_since, GOODBYE_LINGER) => return Some(Overdue::Closed),
            Phase::Dialing if is_over(phase_since, HANDSHAKE_TIMEOUT) => LostReason::ConnectTimeout,
            Phase::Handshaking if is_over(phase_since, HANDSHAKE_TIMEOUT) => LostReason::HelloTimeout,
            _ if is_over(self.partial_since, PARTIAL_FRAME_TIMEOUT) => LostReason::PartialFrameTimeout,
            _ if is_over(self.blocked_since, WRITE_TIMEOUT) => LostReason::WriteTimeout,
            _ => return None,
        };
        Some(Overdue::Lost(reason))
    }

    /// Writes what the socket takes.
    pub(super) fn flush(&mut self, now: Micros) -> io::Result<()> {
        loop {
            let frames: Vec<IoSlice> = self.queue.unsent().take(FRAMES_PER_WRITE).map(IoSlice::new).collect();
            if frames.is_empty() {
                break;
            }
            let length: usize = frames.iter().map(|frame| frame.len()).sum();
            let written = self.stream.write_vectored(&frames)?;
            self.queue.written(written);
            if written > 0 {
                self.blocked_since = None;
            }
            if written < length {
                self.blocked_since.get_or_insert(now);
                return Ok(());
            }
        }
        self.blocked_since = None;
        Ok(())
    }

    /// Takes the complete frames out of the input, at most `budget` of them and as many as the rate limit
    /// admits; `resume_at` is set if more are there. The error is of the bytes after these frames.
    pub(super) fn take_frames(
        &mut self,
        now: Micros,
        max: usize,
        budget: &mut usize,
    ) -> (Vec<Frame>, Result<(), FrameError>) {
        let (mut frames, mut used, mut result) = (Vec::new(), 0, Ok(()));
        loop {
            match wire::decode(&self.input[used..], max) {
                Ok(Some((frame, length))) => {
                    self.resume_at = self.resume_after(now, *budget);
                    if self.resume_at.is_some() {
                        break;
                    }
                    *budget -= 1;
                    used += length;
                    frames.push(frame);
                }
                Ok(None) => break,
                Err(error) => {
                    result = Err(error);
                    break;
                }
            }
        }
        self.input.drain(..used);
        if self.input.is_empty() || used > 0 {
            self.partial_since = None;
        }
        if !self.input.is_empty() && self.resume_at.is_none() {
            self.partial_since.get_or_insert(now);
        }
        (frames, result)
    }

    /// When the next frame may be taken; `None` if it may be now.
    fn resume_after(&mut self, now: Micros, budget: usize) -> Option<Micros> {
        if budget == 0 {
            return Some(now);
        }
        (!self.rate_limit.admit(now)).then(|| self.rate_limit.retry_at())
    }
}
