//! One connection to a peer: its phase, its timeouts, and its input and output.

use std::io::{self, IoSlice};

use mallowgauge_cluster::connections::PeerConnectionLimits;
use mallowgauge_cluster::inbound_rate_limit::InboundRateLimit;
use mallowgauge_cluster::outbound_queue::{MessageBatch, OutboundQueue};
use mallowgauge_cluster::{Incarnation, PeerId};
use mallowgauge_net::Stream;
use mallowgauge_router::Micros;

use super::errors::LostReason;
use super::wire::{self, Frame, FrameError};

/// Timeout for establishing a dialed connection, and again for receiving the hello, in microseconds.
const HANDSHAKE_TIMEOUT: Micros = 1_000_000;
/// Timeout for receiving the rest of a frame, in microseconds.
const PARTIAL_FRAME_TIMEOUT: Micros = 1_000_000;
/// Timeout for progress in writing queued bytes, in microseconds.
const WRITE_TIMEOUT: Micros = 2_000_000;
/// How long a connection stays open after sending a goodbye, in microseconds, so that the peer can read the reason.
const GOODBYE_LINGER: Micros = 200_000;

/// Maximum size in bytes of the takeover messages in one frame.
const BATCH_BYTES: usize = 4096;
/// Maximum number of frames written in one system call.
const FRAMES_PER_WRITE: usize = 64;
/// Size of the socket's send buffer, which bounds the bytes held for a peer that does not read.
const SOCKET_SEND_BUFFER_BYTES: usize = 32 * 1024;

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The connection is being established.
    Dialing,
    /// The other side's hello is awaited.
    Handshaking,
    /// The handshake succeeded: this is the connection to the given peer.
    Connected(PeerId),
    /// A goodbye was sent; input is ignored.
    Closing,
}

/// The consequence of a timeout of a connection.
pub(super) enum TimeoutResult {
    /// The peer had time to read the goodbye: the connection can be closed.
    LingerEnded,
    /// The connection is lost.
    Lost(LostReason),
}

/// One connection to a peer, or an accepted one whose peer is not identified yet.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) phase: Phase,
    /// When the current phase began.
    pub(super) phase_since: Micros,
    /// The peer's incarnation, from its hello.
    pub(super) incarnation: Incarnation,
    /// The peer that was dialed; `None` for an accepted connection.
    pub(super) dialed: Option<PeerId>,
    pub(super) input: Vec<u8>,
    pub(super) batch: MessageBatch,
    pub(super) queue: OutboundQueue,
    pub(super) rate_limit: InboundRateLimit,
    /// Since when the input has held an incomplete frame.
    partial_since: Option<Micros>,
    /// Since when writing queued bytes has made no progress.
    blocked_since: Option<Micros>,
    /// Reading is paused until this time, though more input is available.
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

    /// The peer at the other end, if it is known.
    pub(super) fn peer(&self) -> Option<PeerId> {
        match self.phase {
            Phase::Connected(peer) => Some(peer),
            _ => self.dialed,
        }
    }

    /// The time of the connection's next timer.
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

    /// The consequence of the connection's timeouts at this time, if one has expired.
    pub(super) fn check_timeouts(&self, now: Micros) -> Option<TimeoutResult> {
        let is_expired = |since: Option<Micros>, timeout| since.is_some_and(|since| since + timeout <= now);
        let phase_since = Some(self.phase_since);
        let reason = match self.phase {
            Phase::Closing if is_expired(phase_since, GOODBYE_LINGER) => {
                return Some(TimeoutResult::LingerEnded)
            }
            Phase::Dialing if is_expired(phase_since, HANDSHAKE_TIMEOUT) => LostReason::ConnectTimeout,
            Phase::Handshaking if is_expired(phase_since, HANDSHAKE_TIMEOUT) => LostReason::HelloTimeout,
            _ if is_expired(self.partial_since, PARTIAL_FRAME_TIMEOUT) => LostReason::PartialFrameTimeout,
            _ if is_expired(self.blocked_since, WRITE_TIMEOUT) => LostReason::WriteTimeout,
            _ => return None,
        };
        Some(TimeoutResult::Lost(reason))
    }

    /// Writes queued frames, as far as the socket accepts them.
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

    /// Removes the complete frames from the input, at most `budget` of them and as many as the rate limit admits. Sets
    /// `resume_at` if more are available. The error refers to the bytes after these frames.
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

    /// When the next frame may be processed; `None` if it may be processed now.
    fn resume_after(&mut self, now: Micros, budget: usize) -> Option<Micros> {
        if budget == 0 {
            return Some(now);
        }
        (!self.rate_limit.admit(now)).then(|| self.rate_limit.retry_at())
    }
}
