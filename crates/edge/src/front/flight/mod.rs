//! The Flight front: clients that speak Arrow Flight, which is gRPC over HTTP/2.
//!
//! `call` is one call, `methods` what each method makes of it, `long` the two long streams, `auth` who calls,
//! `command` how a query is written. The [`Office`] is what all calls share. What the front decides stands in
//! `core`: who is let in (`admission`), what becomes of a ticket and of a polled query (`flights`), what a
//! long stream may begin (`batch`), which sessions are kept (`sessions`).

mod auth;
mod call;
mod command;
mod long;
mod methods;

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use h2::server::{self, SendResponse};
use h2::RecvStream;
use http::{HeaderMap, Request, Response};
use mallowgauge_core::batch::{Phase, Why as Busy};
use mallowgauge_core::polled_queries::{
    self, PolledQueries, PolledQueryKey, PolledQuerySpec, PolledState, RunId, Submission, WaiterId,
};
use mallowgauge_core::sessions::{SessionId, Sessions};
use mallowgauge_core::stream_admission::{Admission, Limits, CONNECTION_WINDOW};
use mallowgauge_core::{Core, QueryRequest, QueryResponse, ResponseHandle};
use mallowgauge_flight::answer::{schema_message, text_schema};
use mallowgauge_flight::grpc::{self, Code, Encoding, Status};
use mallowgauge_flight::proto::HealthCheckResponse;
use mallowgauge_flight::seal;
use mallowgauge_net::{Handle, ReadEnd, Stream};
use mallowgauge_router::{ClassId, Micros};
use mallowgauge_settings::Flight as Settings;

use self::auth::Door;
use self::call::{Call, Read, Work};
use self::command::Command;
use self::long::{Form, Long, Said};
use self::methods::{refusal, Head, Method, Waiting};
use crate::http2_socket::{Http2Socket, WakeFlag};
use crate::tls::{self, Acceptor, TlsError};
use crate::token::SocketKind;

/// A handshake has to be over by then.
const SLOWEST_HANDSHAKE: Micros = 2_000_000;
/// A connection without a call is kept for so long.
const KEEP_ALIVE: Micros = 120_000_000;
/// Outcomes are kept for so long, and sessions after their last call.
const KEEP: Micros = 600_000_000;
const REST: Micros = 3_600_000_000;
/// A client that goes on sending behind the end of its connection is listened to for so long, and so much: a close
/// over unread bytes would reset the connection and could take the last answer with it.
const LINGER: Micros = 500_000;
const LINGER_BYTES: usize = 256 * 1024;
/// A polled query that nobody asks about for so long is given up.
const UNPOLLED: Micros = 30_000_000;

/// Numbers that nobody can foretell, and that no two copies share: the system's, not the platform's seed.
fn random<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    if let Err(e) = getrandom::fill(&mut bytes) {
        // The system has given some since long before this program began.
        tracing::error!("no random numbers: {e}");
    }
    bytes
}

type Handshake = Pin<Box<dyn Future<Output = Result<server::Connection<Http2Socket, Bytes>, h2::Error>>>>;

enum State {
    Handshake(Handshake),
    Up(Box<server::Connection<Http2Socket, Bytes>>),
}

struct Connection {
    stream: Rc<Stream>,
    state: State,
    flag: Arc<WakeFlag>,
    waker: Waker,
    calls: BTreeMap<u64, Call>,
    draining: bool,
    since: Micros,
}

/// A connection that has ended here and not yet at its client.
struct Lingering {
    stream: Rc<Stream>,
    until: Micros,
    /// So much more of what its client sends is passed over.
    left: usize,
}

impl Lingering {
    /// Passes over what has come; `false` once the client has closed too, or sends too much.
    fn goes_on(&mut self) -> bool {
        let mut passed = Vec::new();
        match self.stream.read(&mut passed, self.left) {
            ReadEnd::Blocked => {
                self.left -= passed.len();
                self.left > 0
            }
            ReadEnd::Full | ReadEnd::Closed | ReadEnd::Broken => false,
        }
    }
}

/// What came of a query that a call has handed in.
pub enum Submitted {
    /// Its outcome will come for this caller.
    Waiting(WaiterId),
    /// It is over already.
    Over(Result<Rc<QueryResponse>, Status>),
}

/// A query in the core, and who waits for it.
struct Run {
    class: ClassId,
    key: PolledQueryKey,
    /// Who waits, unless the flight of that key knows.
    plain: Option<WaiterId>,
}

/// Where an outcome goes: a call, and which of its queries.
struct Place {
    call: u64,
    tag: Rc<str>,
    id: Rc<str>,
}

type Outcome = Result<Rc<QueryResponse>, Status>;

/// What all calls share.
pub struct Office {
    admission: Admission,
    flights: PolledQueries<Rc<QueryResponse>>,
    runs: BTreeMap<RunId, Run>,
    callers: BTreeMap<WaiterId, Place>,
    sessions: Sessions,
    door: Door,
    key: seal::Key,
    issuer: u64,
    ticket_life: Micros,
    unpolled: Micros,
    /// Some hosts may answer with tables of their own columns.
    tables: bool,
    text_schema: Option<Bytes>,
    /// What each class's columns were last, as `FlightInfo` carries them, and as the first host wrote them.
    learned: Vec<Option<Bytes>>,
    shown: Vec<Option<Bytes>>,
    /// Outcomes that are on their way to calls.
    outbox: Vec<(u64, Rc<str>, Rc<str>, Outcome)>,
    next: u64,
    draining: bool,
}

/// The connections of the Flight front.
pub struct Front {
    connections: BTreeMap<u64, Connection>,
    lingering: BTreeMap<u64, Lingering>,
    /// Which connection a call is on.
    homes: BTreeMap<u64, u64>,
    office: Office,
    acceptor: Option<Acceptor>,
    /// Connections without a call are not kept any longer.
    finishing: bool,
}

impl Office {
    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// An id for a query whose client names none.
    fn fresh(&self) -> String {
        format!("{:016x}", u64::from_le_bytes(random()))
    }

    fn session(&self) -> SessionId {
        SessionId(u128::from_le_bytes(random()))
    }

    fn token(&mut self, now: Micros, user: &str) -> String {
        let session = self.session();
        self.door.token(now, user, session.0)
    }

    /// The status of the service in the words of gRPC's health checks.
    fn health(&self) -> i32 {
        if self.draining {
            2
        } else {
            1
        }
    }

    /// Hands a query in. One with an effect, and a polled one, has one outcome whoever asks.
    #[allow(clippy::too_many_arguments)] // They belong to one call and are named where it is made
    fn submit(
        &mut self,
        now: Micros,
        core: &mut Core,
        call: u64,
        tag: &str,
        key: PolledQueryKey,
        spec: PolledQuerySpec,
        ask: QueryRequest,
    ) -> Submitted {
        let (run, caller) = (RunId(self.number()), WaiterId(self.number()));
        let shared = spec.effect || spec.polled;
        if shared {
            match self.flights.submit(now, &key, spec, Some(caller), run) {
                Submission::Run(_) => {}
                Submission::Join(_) => {
                    self.place(caller, call, tag, &key);
                    return Submitted::Waiting(caller);
                }
                Submission::Replay(answer) => return Submitted::Over(Ok(answer)),
                Submission::Reject(why) => return Submitted::Over(Err(refusal(why))),
            }
        } else if matches!(self.flights.state(now, &key), Some(PolledState::Cancelled)) {
            return Submitted::Over(Err(refusal(polled_queries::RejectReason::Cancelled)));
        }
        let plain = (!shared).then_some(caller);
        self.runs.insert(run, Run { class: ask.class, key: key.clone(), plain });
        self.place(caller, call, tag, &key);
        let ask = Self::unlike(ask, core);
        match core.submit(now, ResponseHandle::Flight(run.0), ask) {
            Ok(()) => Submitted::Waiting(caller),
            Err(answer) => {
                self.callers.remove(&caller);
                let answer = Rc::new(answer);
                self.over(now, run, &answer);
                Submitted::Over(Ok(answer))
            }
        }
    }

    /// Hosts tell queries apart by their ids: a ticket that is used twice at a time is given another.
    fn unlike(mut ask: QueryRequest, core: &Core) -> QueryRequest {
        if core.is_open(&ask.id) {
            let short: String = ask.id.chars().take(40).collect();
            ask.id = format!("{short}~{:08x}", u32::from_le_bytes(random())).into();
        }
        ask
    }

    fn place(&mut self, caller: WaiterId, call: u64, tag: &str, key: &PolledQueryKey) {
        let id = Rc::clone(&key.id);
        self.callers.insert(caller, Place { call, tag: tag.into(), id });
    }

    /// A run has its final answer: the callers that wait for it.
    fn over(&mut self, now: Micros, run: RunId, answer: &Rc<QueryResponse>) -> Vec<WaiterId> {
        let Some(known) = self.runs.remove(&run) else { return Vec::new() };
        self.learn(known.class, answer);
        if let Some(caller) = known.plain {
            return vec![caller];
        }
        let (bytes, untouched) = match &**answer {
            QueryResponse::Completed { values, .. } => {
                (values.iter().map(|(_, value)| value.bytes()).sum(), false)
            }
            QueryResponse::Ranked(ranked) => {
                (ranked.rows.iter().map(|row| row.text.len() + row.id.len()).sum(), false)
            }
            QueryResponse::Rejected { not_executed: untouched, .. } => (0, *untouched),
            // What makes no sense has not run.
            QueryResponse::Failed(failure) => (0, matches!(failure, mallowgauge_core::Failure::Invalid(_))),
        };
        self.flights.complete(now, run, Rc::clone(answer), bytes, untouched)
    }

    /// Puts an outcome into the outbox for these callers.
    fn tell(&mut self, callers: Vec<WaiterId>, outcome: &Outcome) {
        for caller in callers {
            if let Some(place) = self.callers.remove(&caller) {
                self.outbox.push((place.call, place.tag, place.id, outcome.clone()));
            }
        }
    }

    /// A run is not wanted any more.
    fn give_up(&mut self, run: RunId, core: &mut Core) {
        if self.runs.remove(&run).is_some() {
            core.client_disconnected(ResponseHandle::Flight(run.0));
        }
    }

    /// Gives up what runs under this key for one call each.
    fn cancel_plain(&mut self, key: &PolledQueryKey, core: &mut Core) {
        let of = |(run, known): (&RunId, &Run)| Some((*run, known.plain?)).filter(|_| known.key == *key);
        let found: Vec<(RunId, WaiterId)> = self.runs.iter().filter_map(of).collect();
        for (run, caller) in found {
            self.give_up(run, core);
            self.tell(vec![caller], &Err(refusal(polled_queries::RejectReason::Cancelled)));
        }
    }

    /// A call no longer waits for an outcome.
    fn leave(&mut self, caller: WaiterId, core: &mut Core) {
        self.callers.remove(&caller);
        let plain = self.runs.iter().find(|(_, known)| known.plain == Some(caller)).map(|(&run, _)| run);
        let run = plain.or_else(|| self.flights.remove_waiter(caller));
        run.into_iter().for_each(|run| self.give_up(run, core));
    }
}

/// Why changed settings of the Flight frontend are not taken without a restart.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The certificate or key cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// A listener with TLS cannot become one without, or the reverse.
    #[error("flight.tls is turned on or off by a restart alone")]
    TlsNeedsRestart,
}

/// The bounds of the table that the front uses, and what is told of it.
pub struct Setup<'a> {
    /// The table of bounds.
    pub limits: Limits,
    /// What the operator's file says.
    pub settings: &'a Settings,
    /// How many classes there are.
    pub classes: usize,
}

impl Front {
    /// A front on which nobody has called.
    ///
    /// # Errors
    /// Its certificate or key makes no sense.
    pub fn new(setup: &Setup<'_>) -> Result<Self, TlsError> {
        let Setup { limits, settings, classes } = setup;
        // Without a key of the operator's, tickets and tokens count until this copy ends.
        let secret: [u8; 32] = random();
        let key = seal::Key::new(settings.key.as_deref().unwrap_or(&secret));
        let bounds = polled_queries::PolledQueryLimits {
            flights: limits.flights,
            bytes: limits.outcomes,
            keep: KEEP,
            unpolled: UNPOLLED,
        };
        let office = Office {
            admission: Admission::new(*limits),
            flights: PolledQueries::new(bounds),
            runs: BTreeMap::new(),
            callers: BTreeMap::new(),
            sessions: Sessions::new(limits.sessions, REST),
            door: Door::new(settings.users.clone(), key.clone(), settings.token_life),
            key,
            issuer: u64::from_le_bytes(random()),
            ticket_life: settings.ticket_life,
            unpolled: UNPOLLED,
            tables: settings.every_host || !settings.hosts.is_empty(),
            text_schema: schema_message(&text_schema()).ok(),
            learned: vec![None; *classes],
            shown: vec![None; *classes],
            outbox: Vec::new(),
            next: 0,
            draining: false,
        };
        let acceptor = settings.tls.as_ref().map(Acceptor::new).transpose()?;
        let (connections, lingering, homes) = Default::default();
        Ok(Self { connections, lingering, homes, office, acceptor, finishing: false })
    }

    /// Takes certificate, key and users from settings that were read again; what is open goes on.
    ///
    /// # Errors
    /// They make no sense, and nothing has changed.
    pub fn reload(&mut self, settings: &Settings) -> Result<(), ReloadError> {
        let acceptor = settings.tls.as_ref().map(Acceptor::new).transpose()?;
        if acceptor.is_some() != self.acceptor.is_some() {
            return Err(ReloadError::TlsNeedsRestart);
        }
        self.acceptor = acceptor;
        if settings.users.is_some() == self.office.door.asks() {
            self.office.door.replace(settings.users.clone());
        }
        Ok(())
    }

    /// Whether one more connection fits; the one that has had no call for longest goes to make room.
    pub fn has_room(&mut self) -> bool {
        if !self.office.admission.has_room() && self.lingering.pop_first().is_some() {
            self.office.admission.disconnected();
        }
        if !self.office.admission.has_room() {
            let idle = self.connections.iter().filter(|(_, c)| c.calls.is_empty());
            if let Some(id) = idle.min_by_key(|(_, c)| c.since).map(|(&id, _)| id) {
                self.connections.remove(&id);
                self.office.admission.disconnected();
            }
        }
        self.office.admission.has_room()
    }

    /// Takes an accepted connection.
    pub fn accept(&mut self, now: Micros, handle: &Handle, socket: std::net::TcpStream) {
        let id = self.office.number();
        let stream = match Stream::accepted(handle, socket, SocketKind::FlightClient.token(id)) {
            Ok(stream) => Rc::new(stream),
            Err(e) => return tracing::warn!("connection not taken: {e}"),
        };
        let session = match self.acceptor.as_ref().map(Acceptor::accept).transpose() {
            Ok(session) => session,
            Err(e) => return tracing::warn!("connection not taken: {e}"),
        };
        let (wire, _) = Http2Socket::new(Rc::clone(&stream), session.map(tls::Session::Server));
        let limits = self.office.admission.limits();
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(limits.streams)
            .max_header_list_size(limits.head)
            .initial_window_size(limits.message as u32 + 5)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_send_buffer_size(limits.send_buffer);
        let state = State::Handshake(Box::pin(builder.handshake(wire)));
        let (flag, waker) = WakeFlag::waker();
        let calls = BTreeMap::new();
        let draining = false;
        self.connections.insert(id, Connection { stream, state, flag, waker, calls, draining, since: now });
        self.office.admission.connected();
    }

    /// A connection's socket is ready, or something of it has to go out.
    pub fn ready(&mut self, now: Micros, id: u64, core: &mut Core) {
        self.touch(now, id, core);
        self.post(now, core);
    }

    fn touch(&mut self, now: Micros, id: u64, core: &mut Core) {
        if let Some(lingering) = self.lingering.get_mut(&id) {
            if !lingering.goes_on() {
                self.lingering.remove(&id);
                self.office.admission.disconnected();
            }
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.ready(now, id, &mut self.homes, &mut self.office, core) {
            self.close(now, id, core);
        }
    }

    /// Brings outcomes to the calls that wait for them, until none is left.
    fn post(&mut self, now: Micros, core: &mut Core) {
        while !self.office.outbox.is_empty() {
            let mut moved = std::collections::BTreeSet::new();
            for (call, tag, id, outcome) in std::mem::take(&mut self.office.outbox) {
                let Some(&home) = self.homes.get(&call) else { continue };
                let held = self.connections.get_mut(&home).and_then(|c| c.calls.get_mut(&call));
                if let Some(held) = held {
                    held.deliver(now, &tag, &id, outcome, &mut self.office, core);
                    moved.insert(home);
                }
            }
            moved.into_iter().for_each(|id| self.touch(now, id, core));
        }
    }

    fn close(&mut self, now: Micros, id: u64, core: &mut Core) {
        let Some(connection) = self.connections.remove(&id) else { return };
        for (number, mut call) in connection.calls {
            self.homes.remove(&number);
            call.abandon(&mut self.office, core);
            self.office.admission.call_over();
        }
        let stream = connection.stream;
        stream.finish();
        let mut lingering = Lingering { stream, until: now + LINGER, left: LINGER_BYTES };
        if lingering.goes_on() {
            self.lingering.insert(id, lingering);
        } else {
            self.office.admission.disconnected();
        }
    }

    /// The core has decided.
    pub fn answer(&mut self, now: Micros, run: u64, answer: QueryResponse, core: &mut Core) {
        let answer = Rc::new(answer);
        let callers = self.office.over(now, RunId(run), &answer);
        self.office.tell(callers, &Ok(answer));
        self.post(now, core);
    }

    /// Whether an answer is owed or being written, or a flight runs that nobody waits for just now. What h2 holds
    /// of an answer is on its way for as long as the connection is open.
    #[must_use]
    pub fn busy(&self) -> bool {
        let owes = |c: &Connection| c.calls.is_empty() || c.calls.values().any(Call::is_owed);
        !self.office.runs.is_empty() || !self.lingering.is_empty() || self.connections.values().any(owes)
    }

    /// Asks every client to take new calls elsewhere; long streams end once what is open on them is answered.
    pub fn drain(&mut self, now: Micros, core: &mut Core) {
        self.office.draining = true;
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        for id in ids {
            if let Some(connection) = self.connections.get_mut(&id) {
                if let State::Up(up) = &mut connection.state {
                    if !std::mem::replace(&mut connection.draining, true) {
                        up.graceful_shutdown();
                    }
                }
                connection.calls.values_mut().for_each(Call::drain);
            }
            self.ready(now, id, core);
        }
    }

    /// The program takes no more connections: those without a call end soon.
    pub fn finish(&mut self, now: Micros, core: &mut Core) {
        self.finishing = true;
        self.drain(now, core);
    }

    /// When the first client has kept it waiting for too long, or a flight is over.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        let calls = self.connections.values().flat_map(|c| c.calls.values());
        let idle = self.connections.values().filter_map(|c| c.idle_until(self.finishing));
        let lingering = self.lingering.values().map(|lingering| lingering.until);
        calls
            .filter_map(Call::due)
            .chain(idle)
            .chain(lingering)
            .chain(self.office.flights.poll_timeout())
            .min()
    }

    /// Looks at the clock: calls and connections whose clients have kept it waiting for too long are cut off.
    pub fn expire(&mut self, now: Micros, core: &mut Core) {
        for run in self.office.flights.handle_timeout(now) {
            self.office.give_up(run, core);
        }
        let late = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let (mut idle, mut moved) = (Vec::new(), Vec::new());
        let before = self.lingering.len();
        self.lingering.retain(|_, lingering| lingering.until > now);
        (self.lingering.len()..before).for_each(|_| self.office.admission.disconnected());
        for (&id, connection) in &mut self.connections {
            if late(connection.idle_until(self.finishing)) {
                idle.push(id);
            }
            let mut any = false;
            for call in connection.calls.values_mut().filter(|call| late(call.due())) {
                any = true;
                call.poll_over(now, &mut self.office, core);
                if late(call.due()) {
                    call.abandon(&mut self.office, core);
                    call.expire(now);
                }
            }
            if any {
                moved.push(id);
            }
        }
        idle.into_iter().for_each(|id| self.close(now, id, core));
        // What was decided about these calls has to go out.
        moved.into_iter().for_each(|id| self.ready(now, id, core));
    }
}

impl Connection {
    /// How long it is kept while there is no call on it.
    fn idle_until(&self, finishing: bool) -> Option<Micros> {
        let rest = match self.state {
            _ if finishing => LINGER,
            State::Handshake(_) => SLOWEST_HANDSHAKE,
            State::Up(_) => KEEP_ALIVE,
        };
        self.calls.is_empty().then_some(self.since + rest)
    }

    /// Goes on as far as the socket lets it; `false` when the connection is over.
    fn ready(
        &mut self,
        now: Micros,
        id: u64,
        homes: &mut BTreeMap<u64, u64>,
        office: &mut Office,
        core: &mut Core,
    ) -> bool {
        loop {
            self.flag.take();
            let waker = self.waker.clone();
            let alive = self.drive(now, id, &mut Context::from_waker(&waker), homes, office, core);
            if !alive || !self.flag.take() {
                return alive;
            }
        }
    }

    fn drive(
        &mut self,
        now: Micros,
        home: u64,
        cx: &mut Context<'_>,
        homes: &mut BTreeMap<u64, u64>,
        office: &mut Office,
        core: &mut Core,
    ) -> bool {
        if let State::Handshake(handshake) = &mut self.state {
            match handshake.as_mut().poll(cx) {
                Poll::Pending => return true,
                Poll::Ready(Err(e)) => {
                    tracing::debug!("client speaks no HTTP/2: {e}");
                    return false;
                }
                Poll::Ready(Ok(connection)) => self.state = State::Up(Box::new(connection)),
            }
        }
        let State::Up(connection) = &mut self.state else { return true };
        let mut over = false;
        loop {
            match connection.poll_accept(cx) {
                Poll::Pending => break,
                Poll::Ready(Some(Ok((request, respond)))) => {
                    if let Some(call) = accept(now, request, respond, office) {
                        let id = office.number();
                        homes.insert(id, home);
                        self.calls.insert(id, call);
                    }
                }
                Poll::Ready(_) => {
                    over = true;
                    break;
                }
            }
        }
        let mut moved = false;
        self.calls.retain(|&id, call| {
            call.drive(now, id, cx, office, core);
            if call.is_over() {
                homes.remove(&id);
                office.admission.call_over();
                moved = true;
            }
            !call.is_over()
        });
        if moved {
            self.since = now;
        }
        !over
    }
}

/// Ends a stream with a status alone.
fn refuse(status: &Status, extra: &[(&'static str, &'static str)], mut respond: SendResponse<Bytes>) {
    let mut response = Response::new(());
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert("content-type", http::HeaderValue::from_static(grpc::CONTENT_TYPE));
    for &(name, value) in extra {
        headers.insert(name, http::HeaderValue::from_static(value));
    }
    headers.extend(status.trailers());
    let _ = respond.send_response(response, true);
}

/// Takes a stream; `None` if it is answered at once.
fn accept(
    now: Micros,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    office: &mut Office,
) -> Option<Call> {
    let headers = request.headers();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let kind = text("content-type").and_then(|kind| kind.strip_prefix(grpc::CONTENT_TYPE));
    if request.method() != http::Method::POST
        || !kind.is_some_and(|rest| rest.is_empty() || rest.starts_with(['+', ';']))
    {
        let response = Response::builder().status(415).body(()).ok()?;
        let _ = respond.send_response(response, true);
        return None;
    }
    let mut head = Head::default();
    let mut understand = || -> Result<Method, Status> {
        let method = Method::of(request.uri().path())
            .ok_or_else(|| Status::new(Code::Unimplemented, "there is no such method here"))?;
        head.timeout = match text("grpc-timeout") {
            None => None,
            Some(text) => {
                Some(grpc::read_timeout(text).ok_or_else(|| methods::bad("grpc-timeout makes no sense"))?)
            }
        };
        let encoding = text("grpc-encoding").map_or(Some(Encoding::Identity), Encoding::named);
        head.encoding = encoding.ok_or_else(|| {
            Status::new(Code::Unimplemented, "this grpc-encoding is not understood").because("ENCODING")
        })?;
        if method.asks_who() {
            head.who = office.door.who(now, headers, &mut office.admission)?;
        }
        let options = head.who.session.and_then(|id| office.sessions.touch(now, id));
        head.options = options.unwrap_or_default();
        office.admission.call().map_err(|full| {
            Status::new(Code::Unavailable, full.what).because("FULL").retry(full.retry_after)
        })?;
        Ok(method)
    };
    let method = match understand() {
        Ok(method) => method,
        Err(status) => {
            refuse(&status, &[("grpc-accept-encoding", grpc::ACCEPTED)], respond);
            return None;
        }
    };
    let limits = *office.admission.limits();
    let work = match method {
        Method::DoPut => Work::Long(Box::new(Long::new(Form::Put, &limits))),
        Method::DoExchange => Work::Long(Box::new(Long::new(Form::Exchange, &limits))),
        method => Work::Request(method),
    };
    // A handshake by header lines alone is answered at once: its client may keep its side open.
    let named = method == Method::Handshake && headers.contains_key("authorization");
    let basic_headers = named.then(|| headers.clone());
    let mut call = Call::new(now, head, work, request, respond, (limits.message, limits.send_buffer));
    if let Some(headers) = basic_headers {
        match office.door.who(now, &headers, &mut office.admission) {
            Ok(who) => {
                let token = office.token(now, &who.user);
                call.line("authorization", &format!("Bearer {token}"));
                call.message(now, &mallowgauge_flight::proto::Handshake::default());
                call.end(&Status::new(Code::Ok, ""));
            }
            Err(status) => call.fail(now, &status),
        }
    }
    Some(call)
}

impl Call {
    /// Goes on as far as it can.
    fn drive(&mut self, now: Micros, id: u64, cx: &mut Context<'_>, office: &mut Office, core: &mut Core) {
        match self.work {
            Work::Request(method) => self.request(now, id, method, cx, office, core),
            Work::Long(_) => {
                if let Err(status) = self.long(now, id, cx, office, core) {
                    self.abandon(office, core);
                    self.fail(now, &status);
                }
            }
            Work::Watch(told) if told != office.health() => {
                self.work = Work::Watch(office.health());
                self.message(now, &HealthCheckResponse { status: office.health() });
                if office.draining {
                    self.end(&Status::new(Code::Unavailable, "this gatherer ends"));
                }
            }
            _ => {}
        }
        if !self.is_over() && self.is_reset(cx) {
            self.abandon(office, core);
            self.reset(h2::Reason::CANCEL);
        }
        loop {
            let written = self.write(now, cx);
            let Work::Long(long) = &mut self.work else { break };
            long.batch.taken(written);
            // What was taken makes room for more queries.
            if written == 0 || !(long.reads() || long.begins()) {
                break;
            }
            if let Err(status) = self.long(now, id, cx, office, core) {
                self.abandon(office, core);
                self.fail(now, &status);
            }
        }
    }

    fn request(
        &mut self,
        now: Micros,
        id: u64,
        method: Method,
        cx: &mut Context<'_>,
        office: &mut Office,
        core: &mut Core,
    ) {
        let message = match self.read(now, cx) {
            Ok(Read::Pending) => return,
            Ok(Read::Message(message)) => Ok(message),
            Ok(Read::End) => Err(methods::bad("the request is not one message")),
            Err(status) => Err(status),
        };
        self.work = Work::Ending;
        let begun = message.and_then(|message| self.start(now, id, method, &message, office, core));
        if let Err(status) = begun {
            self.fail(now, &status);
        }
    }

    /// Reads queries off a long stream and begins those that may begin.
    fn long(
        &mut self,
        now: Micros,
        id: u64,
        cx: &mut Context<'_>,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        loop {
            let Work::Long(long) = &mut self.work else { return Ok(()) };
            if long.begins() {
                let Some(said) = long.queue.pop_front() else { return Ok(()) };
                self.begin(now, id, said, office, core)?;
                continue;
            }
            if !long.reads() {
                break;
            }
            match self.read(now, cx)? {
                Read::Pending => break,
                Read::Message(message) => {
                    let Work::Long(long) = &mut self.work else { return Ok(()) };
                    long.take(message)?;
                }
                Read::End => {
                    let Work::Long(long) = &mut self.work else { return Ok(()) };
                    long.settle(true);
                    break;
                }
            }
        }
        let Work::Long(long) = &mut self.work else { return Ok(()) };
        if long.batch.phase() == Phase::Over && long.queue.is_empty() {
            let status = long.last.take().unwrap_or_else(|| Status::new(Code::Ok, ""));
            self.end(&status);
        }
        Ok(())
    }

    /// Begins one query of a long stream, or cancels one.
    fn begin(
        &mut self,
        now: Micros,
        call: u64,
        said: Said,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let left = self.left(now);
        let options = self.head.options;
        let user = Rc::clone(&self.head.who.user);
        let Work::Long(long) = &mut self.work else { return Ok(()) };
        let (tag, value) = match said {
            Said::Query(tag, value) => (tag, value),
            Said::Cancel(tag) => {
                if let Some(caller) = long.batch.find(&tag) {
                    let key = office
                        .callers
                        .get(&caller)
                        .map(|place| PolledQueryKey { user, id: Rc::clone(&place.id) });
                    // One with an effect that may have run is not cancelled: its outcome will come.
                    let touched = |run: RunId| core.possibly_executed(ResponseHandle::Flight(run.0));
                    let cancel = key.as_ref().map(|key| office.flights.cancel(now, key, touched));
                    match (cancel, key) {
                        (Some(polled_queries::CancelResult::Cancelled(run, callers)), _) => {
                            office.give_up(run, core);
                            office.tell(callers, &Err(refusal(polled_queries::RejectReason::Cancelled)));
                        }
                        (Some(polled_queries::CancelResult::Unknown), Some(key)) => {
                            office.cancel_plain(&key, core)
                        }
                        _ => {}
                    }
                }
                return Ok(());
            }
        };
        let over = |call: &mut Self, id: &str, outcome, office: &mut Office, core: &Core| {
            call.deliver(now, &tag, id, outcome, office, core);
        };
        // The tag is taken first, so that its answer finds it.
        match long.batch.begin(tag.clone(), WaiterId(0)) {
            Ok(()) => {}
            Err(Busy::Busy) => {
                let status = Status::new(Code::AlreadyExists, "the tag stands for an open query");
                return Err(status.because("TAG_IN_USE"));
            }
            Err(Busy::Closed) => {
                let status =
                    Status::new(Code::Unavailable, "this gatherer ends").because("DRAINING").retry(1);
                over(self, "", Err(status), office, core);
                return Ok(());
            }
        }
        let command = match Command::from_value(value, core, &office.fresh()) {
            Ok(command) => command,
            Err(status) => {
                over(self, "", Err(status), office, core);
                return Ok(());
            }
        };
        let ask = match command.ask(left, options.timeout, core) {
            Ok(ask) => ask,
            Err(status) => {
                over(self, &command.id, Err(status), office, core);
                return Ok(());
            }
        };
        let key = PolledQueryKey { user, id: command.id.as_str().into() };
        let effect = !core.is_idempotent(command.class);
        let spec = PolledQuerySpec { body: command.fingerprint(), effect, polled: false, made: None };
        match office.submit(now, core, call, &tag, key, spec, ask) {
            Submitted::Waiting(caller) => {
                if let Work::Long(long) = &mut self.work {
                    long.batch.known(&tag, caller);
                }
            }
            Submitted::Over(outcome) => over(self, &command.id, outcome, office, core),
        }
        Ok(())
    }

    /// Nobody waits for what this call has asked any more.
    fn abandon(&mut self, office: &mut Office, core: &mut Core) {
        match &mut self.work {
            Work::Waiting(Waiting { caller, .. }) => {
                caller.take().into_iter().for_each(|caller| office.leave(caller, core));
            }
            Work::Long(long) => {
                for (_, caller) in long.batch.abort() {
                    office.leave(caller, core);
                }
                long.queue.clear();
            }
            _ => {}
        }
    }

    /// The program ends.
    fn drain(&mut self) {
        if let Work::Long(long) = &mut self.work {
            long.batch.drain();
            long.last =
                Some(Status::new(Code::Unavailable, "this gatherer ends").because("DRAINING").retry(1));
        }
    }
}
