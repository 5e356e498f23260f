//! What each method makes of its request, and what a call makes of an outcome.

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::polled_queries::{
    CancelResult, PolledQueryKey, PolledQuerySpec, PolledState, RejectReason, WaiterId,
};
use mallowgauge_core::sessions::{Bad, Options, Setting};
use mallowgauge_core::{Core, Failure, QueryResponse, ResponseHandle};
use mallowgauge_flight::answer::{self, Stream, Style};
use mallowgauge_flight::grpc::{self, Code, Encoding, Status};
use mallowgauge_flight::proto::*;
use mallowgauge_flight::seal;
use mallowgauge_router::{ClassId, Micros};
use prost::Message;
use prost_types::Timestamp;
use serde_json::{json, Value};

use super::auth::{Who, COOKIE};
use super::call::{Call, Item, Work};
use super::command::Command;
use super::long::{self, Form};
use super::{Office, Submitted};
use crate::front::query;

/// The methods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Handshake,
    ListFlights,
    GetFlightInfo,
    PollFlightInfo,
    GetSchema,
    DoGet,
    DoPut,
    DoExchange,
    DoAction,
    ListActions,
    HealthCheck,
    HealthWatch,
}

impl Method {
    /// The method of a path.
    pub fn of(path: &str) -> Option<Self> {
        if let Some(name) = path.strip_prefix(grpc::HEALTH) {
            return match name {
                "Check" => Some(Self::HealthCheck),
                "Watch" => Some(Self::HealthWatch),
                _ => None,
            };
        }
        Some(match path.strip_prefix(grpc::SERVICE)? {
            "Handshake" => Self::Handshake,
            "ListFlights" => Self::ListFlights,
            "GetFlightInfo" => Self::GetFlightInfo,
            "PollFlightInfo" => Self::PollFlightInfo,
            "GetSchema" => Self::GetSchema,
            "DoGet" => Self::DoGet,
            "DoPut" => Self::DoPut,
            "DoExchange" => Self::DoExchange,
            "DoAction" => Self::DoAction,
            "ListActions" => Self::ListActions,
            _ => return None,
        })
    }

    /// Whether callers have to say who they are.
    pub fn asks_who(self) -> bool {
        !matches!(self, Self::Handshake | Self::HealthCheck | Self::HealthWatch)
    }
}

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

/// A poll is answered after so long, whether something has changed or not.
const POLL: Micros = 1_000_000;
/// Most flights that are listed.
const LISTED: usize = 1000;

pub fn bad(words: &'static str) -> Status {
    Status::new(Code::InvalidArgument, words)
}

fn internal() -> Status {
    Status::new(Code::Internal, "the answer could not be written")
}

/// The actions, with what they do.
const ACTIONS: [(&str, &str); 7] = [
    ("CancelFlightInfo", "Gives a flight up. In: CancelFlightInfoRequest. Out: CancelFlightInfoResult."),
    ("RenewFlightEndpoint", "Makes an endpoint count for longer. In: RenewFlightEndpointRequest. Out: FlightEndpoint."),
    ("ExpireFlightEndpoint", "Makes an endpoint count no longer. In: FlightEndpoint. Out: nothing."),
    ("SetSessionOptions", "Sets compression, timeout_ms, whole_only. In: SetSessionOptionsRequest. Out: SetSessionOptionsResult."),
    ("GetSessionOptions", "Tells the session's options. In: nothing. Out: GetSessionOptionsResult."),
    ("CloseSession", "Forgets the session's options. In: nothing. Out: CloseSessionResult."),
    ("Advice", "Tells when a client that finds no room may come back. In: nothing. Out: JSON."),
];

fn timestamp(at: Micros) -> Timestamp {
    Timestamp { seconds: (at / 1_000_000) as i64, nanos: (at % 1_000_000) as i32 * 1000 }
}

/// What the front's wire makes of a final answer that is none to be shown. Standard clients may by themselves
/// repeat a call that ends with UNAVAILABLE, so that is only said where nothing can have run.
pub fn failure(answer: &QueryResponse) -> Option<Status> {
    Some(match answer {
        QueryResponse::Completed { .. } | QueryResponse::Ranked(_) => return None,
        QueryResponse::Rejected { retry_after, not_executed: untouched } => {
            let code = if *untouched { Code::Unavailable } else { Code::ResourceExhausted };
            Status::new(code, "refused").because("REFUSED").retry(*retry_after)
        }
        QueryResponse::Failed(Failure::Invalid(words)) => Status::new(Code::InvalidArgument, *words),
        QueryResponse::Failed(Failure::PartsFailed) => Status::new(Code::Internal, "parts could not be had"),
        QueryResponse::Failed(Failure::MemoryExhausted) => {
            Status::new(Code::Internal, "the tables found no room").because("NO_ROOM")
        }
        QueryResponse::Failed(Failure::DeadlineExceeded) => {
            Status::new(Code::DeadlineExceeded, "time ran out")
        }
    })
}

/// RejectReason a flight is not run, in the wire's words.
pub fn refusal(why: RejectReason) -> Status {
    match why {
        RejectReason::DifferentBody => {
            Status::new(Code::AlreadyExists, "the id stands for another query").because("ID_IN_USE")
        }
        RejectReason::Forgotten => {
            Status::new(Code::FailedPrecondition, "it may have run, and its outcome is forgotten")
                .because("OUTCOME_FORGOTTEN")
        }
        RejectReason::Cancelled => Status::new(Code::Cancelled, "it was cancelled").because("CANCELLED"),
        RejectReason::Full => {
            let status = Status::new(Code::Unavailable, "too many flights run");
            status.because("FULL").retry(250_000)
        }
    }
}

impl Call {
    /// The session's rule for partial answers, and the status of those that are none.
    fn shown(&self, answer: &Rc<QueryResponse>) -> Result<Rc<QueryResponse>, Status> {
        if let Some(status) = failure(answer) {
            return Err(status);
        }
        let part = match &**answer {
            QueryResponse::Completed { complete: whole, .. } => !whole,
            // What was pruned by proof is not missing.
            QueryResponse::Ranked(ranked) => !ranked.exact,
            _ => false,
        };
        if self.head.options.whole_only && part {
            return Err(Status::new(Code::Aborted, "only a part of it is in").because("PARTIAL"));
        }
        Ok(Rc::clone(answer))
    }

    fn style(&self) -> Style {
        let compression = self.head.options.compression;
        Style { compression, encoding: self.encoding(), ..Style::default() }
    }

    /// An outcome has come for this call.
    pub fn deliver(
        &mut self,
        now: Micros,
        tag: &str,
        id: &str,
        outcome: Result<Rc<QueryResponse>, Status>,
        office: &mut Office,
        core: &Core,
    ) {
        match &mut self.work {
            Work::Waiting(waiting) => match std::mem::replace(&mut waiting.form, Wanted::Table) {
                Wanted::Table => match outcome.and_then(|answer| self.shown(&answer)) {
                    Ok(answer) => self.table(now, &answer),
                    Err(status) => self.fail(now, &status),
                },
                Wanted::Poll(key, command) => match outcome {
                    Ok(_) => self.stands(now, &key, &command, office, core),
                    Err(status) => self.fail(now, &status),
                },
            },
            Work::Long(_) => self.deliver_long(now, tag, id, outcome),
            _ => {}
        }
    }

    /// An answer as a table, and the end of the call behind it.
    fn table(&mut self, now: Micros, answer: &QueryResponse) {
        let style = self.style();
        let stream = match answer {
            QueryResponse::Completed { complete: whole, values } => {
                let last = json!({ "total": whole }).to_string().into();
                Stream::new(values, Style { last, ..style })
            }
            QueryResponse::Ranked(ranked) => {
                let last = query::ranked_summary(ranked).to_string().into();
                Stream::ranked(&ranked.rows, Style { last, ..style })
            }
            _ => return,
        };
        match stream {
            Ok(stream) => {
                self.push(now, Item::Answer(Box::new(stream)));
                self.end(&Status::new(Code::Ok, ""));
            }
            Err(_) => self.fail(now, &internal()),
        }
    }

    /// An answer on a long stream: metadata that say which query it is for, and on an exchange its rows.
    fn deliver_long(&mut self, now: Micros, tag: &str, id: &str, outcome: Result<Rc<QueryResponse>, Status>) {
        let outcome = outcome.and_then(|answer| match failure(&answer) {
            // The refusal's own words say more than the status would.
            Some(_) => Ok(answer),
            None => self.shown(&answer),
        });
        let style = self.style();
        let Work::Long(long) = &mut self.work else { return };
        let mut told = long::told(long.form, tag, id, &outcome);
        let mut bytes = 256;
        let values = match outcome.as_deref() {
            Ok(QueryResponse::Completed { values, .. }) => values.as_slice(),
            _ => &[],
        };
        let ranked = match outcome.as_deref() {
            Ok(QueryResponse::Ranked(ranked)) => Some(ranked),
            _ => None,
        };
        let texts = ranked.iter().flat_map(|ranked| &ranked.rows).map(|row| row.text.len());
        let size = values.iter().map(|(_, value)| value.bytes()).chain(texts).sum::<usize>();
        let mut items = Vec::new();
        if long.form == Form::Put {
            if let Some(ranked) = ranked {
                told["rows"] = query::write_ranked(ranked)["rows"].take();
            }
            if !values.is_empty() {
                told["answers"] = values.iter().map(short).collect();
            }
            let metadata = told.to_string();
            bytes += metadata.len();
            let result = PutResult { app_metadata: metadata.into() }.encode_to_vec();
            items.push(Item::Pieces(grpc::frame_pieces(vec![result.into()], style.encoding).into()));
        } else {
            let header = match ranked {
                Some(_) => Some(Stream::ranked_header()),
                None => Stream::header(values).ok().filter(|_| !values.is_empty()),
            };
            let fits = match (&header, &long.schema) {
                (Some(ours), Some(sent)) => ours == sent,
                (header, _) => header.is_some(),
            };
            let each = json!({ "tag": tag }).to_string().into();
            let last = |told: &Value| Bytes::from(told.to_string());
            let style = Style { each, last: last(&told), headless: long.schema.is_some(), ..style };
            let stream = match ranked {
                Some(ranked) => Stream::ranked(&ranked.rows, style.clone()),
                None => Stream::new(values, style.clone()),
            };
            let stream = stream.ok().filter(|_| fits);
            match stream {
                Some(stream) => {
                    bytes += size;
                    long.schema = long.schema.take().or(header);
                    items.push(Item::Answer(Box::new(stream)));
                }
                None => {
                    if header.is_some() {
                        // Another table than the stream's: its rows cannot stand here, the outcome can.
                        told["rows"] = json!("another schema than this stream's; ask for them with DoGet");
                    }
                    let pieces = answer::flight_data(&Bytes::new(), &last(&told), Vec::new(), style.encoding);
                    items.push(Item::Pieces(pieces.into()));
                }
            }
        }
        if !long.batch.answer(&tag.to_owned(), bytes) {
            long.batch.say(bytes);
        }
        items.into_iter().for_each(|item| self.push(now, item));
    }

    /// The request of a method with one message is in.
    pub fn start(
        &mut self,
        now: Micros,
        number: u64,
        method: Method,
        message: &Bytes,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let ok = Status::new(Code::Ok, "");
        match method {
            Method::Handshake => {
                let request = Handshake::decode(message.clone()).map_err(|_| bad("this is no handshake"))?;
                let basic = BasicAuth::decode(request.payload).map_err(|_| bad("this is no BasicAuth"))?;
                let user = office.door.check(now, &basic.username, &basic.password, &mut office.admission)?;
                let token = office.token(now, &user);
                self.line("authorization", &format!("Bearer {token}"));
                self.message(now, &Handshake { protocol_version: 0, payload: token.into() });
                self.end(&ok);
            }
            Method::GetFlightInfo => {
                let descriptor = descriptor(message)?;
                let command = Command::of(&descriptor, core, &office.fresh())?;
                let info = office.info(now, descriptor, &command, &self.head.who, core)?;
                self.message(now, &info);
                self.end(&ok);
            }
            Method::GetSchema => {
                let descriptor = descriptor(message)?;
                let class = match descriptor.r#type {
                    PATH => descriptor.path.first().and_then(|name| core.class_id(name)),
                    _ => Some(Command::of(&descriptor, core, "x")?.class),
                };
                let class = class.ok_or_else(|| bad("the class is unknown"))?;
                let schema = office.schema(class).ok_or_else(|| {
                    Status::new(Code::NotFound, "no host has shown its columns yet").because("SCHEMA_UNKNOWN")
                })?;
                self.message(now, &SchemaResult { schema });
                self.end(&ok);
            }
            Method::ListFlights => {
                let criteria = Criteria::decode(message.clone()).map_err(|_| bad("these are no criteria"))?;
                for info in office.list(&criteria.expression, &self.head.who, core)? {
                    self.message(now, &info);
                }
                self.end(&ok);
            }
            Method::ListActions => {
                for (name, words) in ACTIONS {
                    let action = ActionType { r#type: name.to_owned(), description: words.to_owned() };
                    self.message(now, &action);
                }
                self.end(&ok);
            }
            Method::HealthCheck | Method::HealthWatch => {
                let request = HealthCheckRequest::decode(message.clone()).map_err(|_| bad("no request"))?;
                let known = matches!(request.service.as_str(), "" | "arrow.flight.protocol.FlightService");
                let status = if known { office.health() } else { 3 };
                if method == Method::HealthCheck && !known {
                    return Err(Status::new(Code::NotFound, "there is no such service"));
                }
                self.message(now, &HealthCheckResponse { status });
                if method == Method::HealthCheck {
                    self.end(&ok);
                } else {
                    self.work = Work::Watch(status);
                }
            }
            Method::DoGet => {
                let ticket = Ticket::decode(message.clone()).map_err(|_| bad("this is no ticket"))?;
                self.get(now, number, &ticket.ticket, office, core)?;
            }
            Method::PollFlightInfo => {
                let descriptor = descriptor(message)?;
                self.poll(now, number, &descriptor, office, core)?;
            }
            Method::DoAction => {
                let action = Action::decode(message.clone()).map_err(|_| bad("this is no action"))?;
                self.act(now, &action, office, core)?;
                self.end(&ok);
            }
            Method::DoPut | Method::DoExchange => {}
        }
        Ok(())
    }

    fn get(
        &mut self,
        now: Micros,
        number: u64,
        sealed: &[u8],
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let ticket = office.ticket(now, sealed, &self.head.who)?;
        let command = Command::read(&ticket.command, core, "x").map_err(|_| bad("a bad ticket"))?;
        let key = PolledQueryKey { user: Rc::clone(&self.head.who.user), id: command.id.as_str().into() };
        if ticket.polled {
            // It runs nothing: what it stands for runs, or is over.
            let outcome = match office.flights.state(now, &key) {
                Some(PolledState::Done(answer, _)) => Some(self.shown(&answer)?),
                Some(PolledState::Running(_)) => None,
                Some(PolledState::Cancelled) => return Err(refusal(RejectReason::Cancelled)),
                None => {
                    let status = Status::new(Code::NotFound, "its outcome is no longer kept");
                    return Err(status.because("OUTCOME_FORGOTTEN"));
                }
            };
            if let Some(answer) = outcome {
                self.table(now, &answer);
                return Ok(());
            }
        }
        if !core.is_idempotent(command.class) && !ticket.polled && ticket.issuer != office.issuer {
            let words = "a ticket with an effect counts only where it was made; ask for a new one";
            return Err(Status::new(Code::FailedPrecondition, words).because("OTHER_ISSUER"));
        }
        let ask = command.ask(self.left(now), self.head.options.timeout, core)?;
        let spec = PolledQuerySpec {
            body: command.fingerprint(),
            effect: !core.is_idempotent(command.class),
            polled: ticket.polled,
            made: Some(ticket.made),
        };
        match office.submit(now, core, number, "", key, spec, ask) {
            Submitted::Waiting(caller) => {
                let caller = Some(caller);
                self.work = Work::Waiting(Waiting { form: Wanted::Table, until: None, caller });
            }
            Submitted::Over(outcome) => {
                let answer = outcome.and_then(|answer| self.shown(&answer))?;
                self.table(now, &answer);
            }
        }
        Ok(())
    }

    fn poll(
        &mut self,
        now: Micros,
        number: u64,
        descriptor: &FlightDescriptor,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let command = Command::of(descriptor, core, &office.fresh())?;
        let key = PolledQueryKey { user: Rc::clone(&self.head.who.user), id: command.id.as_str().into() };
        let first = office.flights.state(now, &key).is_none();
        // The query goes on between calls: its time is its class's, not the call's.
        let ask = command.ask(None, self.head.options.timeout, core)?;
        let effect = !core.is_idempotent(command.class);
        let spec = PolledQuerySpec { body: command.fingerprint(), effect, polled: true, made: None };
        match office.submit(now, core, number, "", key.clone(), spec, ask) {
            Submitted::Waiting(caller) if first => {
                // The first call is answered at once, so that the client knows what to poll with.
                office.leave(caller, core);
                self.stands(now, &key, &command, office, core);
            }
            Submitted::Waiting(caller) => {
                let wait = self.left(now).map_or(POLL, |left| (left / 2).min(POLL));
                let form = Wanted::Poll(key, command);
                let (until, caller) = (Some(now + wait), Some(caller));
                self.work = Work::Waiting(Waiting { form, until, caller });
            }
            Submitted::Over(outcome) => {
                outcome?;
                self.stands(now, &key, &command, office, core);
            }
        }
        Ok(())
    }

    /// A poll whose time has come without an outcome.
    pub fn poll_over(&mut self, now: Micros, office: &mut Office, core: &mut Core) {
        let Work::Waiting(waiting) = &mut self.work else { return };
        if waiting.until.is_none_or(|until| until > now) {
            return;
        }
        let caller = waiting.caller.take();
        let Wanted::Poll(key, command) = std::mem::replace(&mut waiting.form, Wanted::Table) else { return };
        caller.into_iter().for_each(|caller| office.leave(caller, core));
        self.stands(now, &key, &command, office, core);
    }

    /// Says how a polled query stands, and ends the call.
    fn stands(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        command: &Command,
        office: &mut Office,
        core: &Core,
    ) {
        let standing = office.flights.state(now, key);
        match office.poll_info(now, &key.user, standing, command, core) {
            Ok(info) => {
                self.message(now, &info);
                self.end(&Status::new(Code::Ok, ""));
            }
            Err(status) => self.fail(now, &status),
        }
    }

    fn act(
        &mut self,
        now: Micros,
        action: &Action,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let body = action.body.clone();
        let unread = |_| bad("the action's body cannot be read");
        let reply = match action.r#type.as_str() {
            "CancelFlightInfo" => {
                let request = CancelFlightInfoRequest::decode(body).map_err(unread)?;
                let info = request.info.ok_or_else(|| bad("no FlightInfo"))?;
                let status = office.cancel(now, &info, &self.head.who, core)? as i32;
                Some(CancelFlightInfoResult { status }.encode_to_vec())
            }
            "RenewFlightEndpoint" => {
                let request = RenewFlightEndpointRequest::decode(body).map_err(unread)?;
                let endpoint = request.endpoint.ok_or_else(|| bad("no endpoint"))?;
                Some(office.renew(now, endpoint, &self.head.who, core)?.encode_to_vec())
            }
            "ExpireFlightEndpoint" => {
                let endpoint = FlightEndpoint::decode(body).map_err(unread)?;
                office.revoke(now, &endpoint, &self.head.who, core)?;
                None
            }
            "SetSessionOptions" => {
                let request = SessionOptions::decode(body).map_err(unread)?;
                let id = self.session(office);
                let options = office.sessions.open(now, id);
                let mut errors = HashMap::new();
                for (name, value) in request.session_options {
                    let set = setting(value).map_or(Err(Bad::Value), |value| options.set(&name, &value));
                    if let Err(bad) = set {
                        let value = if bad == Bad::Name { 1 } else { 2 };
                        errors.insert(name, SessionError { value });
                    }
                }
                Some(SetSessionOptionsResult { errors }.encode_to_vec())
            }
            "GetSessionOptions" => {
                let id = self.head.who.session;
                let options = id.and_then(|id| office.sessions.touch(now, id)).unwrap_or_default();
                let all = options.all().into_iter();
                let session_options = all.map(|(name, value)| (name.to_owned(), unset(value))).collect();
                Some(SessionOptions { session_options }.encode_to_vec())
            }
            "CloseSession" => {
                let closed = self.head.who.session.is_some_and(|id| office.sessions.close(id));
                let status = if closed { 1 } else { 3 };
                Some(CloseSessionResult { status }.encode_to_vec())
            }
            "Advice" => {
                let wait = core.retry_after();
                let advice = json!({"retry_after_ms": wait.div_ceil(1000), "serving": office.health() == 1});
                Some(advice.to_string().into_bytes())
            }
            _ => {
                let status = Status::new(Code::Unimplemented, "there is no such action here");
                return Err(status.because("NO_SUCH_ACTION"));
            }
        };
        if let Some(body) = reply {
            self.message(now, &ActionResult { body: body.into() });
        }
        Ok(())
    }

    /// The call's session; one that has none is given one, which its client keeps as a cookie.
    fn session(&mut self, office: &mut Office) -> mallowgauge_core::sessions::SessionId {
        if let Some(id) = self.head.who.session {
            return id;
        }
        let id = office.session();
        self.line("set-cookie", &format!("{COOKIE}={:032x}", id.0));
        id
    }
}

/// A text of an answer as it goes into a result; of a table only how long it is.
fn short((shard, value): &(mallowgauge_router::ShardId, mallowgauge_core::Value)) -> Value {
    match value {
        mallowgauge_core::Value::Text(text) => json!({"range": shard.0, "blob": **text}),
        mallowgauge_core::Value::Table(table) => json!({"range": shard.0, "rows": table.rows}),
    }
}

fn setting(value: SessionOptionValue) -> Option<Setting> {
    Some(match value.option_value {
        None => Setting::Unset,
        Some(OptionValue::Text(text)) => Setting::Text(text),
        Some(OptionValue::Flag(flag)) => Setting::Flag(flag),
        Some(OptionValue::Whole(number)) => Setting::Whole(number),
        Some(OptionValue::Number(_) | OptionValue::Texts(_)) => return None,
    })
}

fn unset(value: Setting) -> SessionOptionValue {
    let option_value = match value {
        Setting::Unset => None,
        Setting::Text(text) => Some(OptionValue::Text(text)),
        Setting::Flag(flag) => Some(OptionValue::Flag(flag)),
        Setting::Whole(number) => Some(OptionValue::Whole(number)),
    };
    SessionOptionValue { option_value }
}

fn descriptor(message: &Bytes) -> Result<FlightDescriptor, Status> {
    FlightDescriptor::decode(message.clone()).map_err(|_| bad("this is no descriptor"))
}

/// The columns of an answer as `FlightInfo` carries them.
fn encapsulated(values: &[(mallowgauge_router::ShardId, mallowgauge_core::Value)]) -> Option<Bytes> {
    Stream::columns(values).ok().and_then(|schema| answer::schema_message(&schema).ok())
}

impl Office {
    /// The schema of a class's answers, as far as it is known.
    fn schema(&self, class: ClassId) -> Option<Bytes> {
        let learned = self.learned.get(class.0).and_then(Option::as_ref);
        learned.cloned().or_else(|| if self.tables { None } else { self.text_schema.clone() })
    }

    /// An answer has shown what a class's columns are.
    pub fn learn(&mut self, class: ClassId, answer: &QueryResponse) {
        let QueryResponse::Completed { values, .. } = answer else { return };
        let Some(slot) = self.learned.get_mut(class.0) else { return };
        // The schema as it lies was seen before in nearly every case.
        let first = values.iter().find_map(|(_, value)| match value {
            mallowgauge_core::Value::Table(table) => Some(&table.schema),
            mallowgauge_core::Value::Text(_) => None,
        });
        let same = match (&self.shown.get(class.0), first) {
            (Some(Some(seen)), Some(header)) => seen == header,
            (_, None) => slot.is_some() && self.shown.get(class.0).is_some_and(Option::is_none),
            _ => false,
        };
        if same || values.is_empty() {
            return;
        }
        *slot = encapsulated(values);
        if let Some(seen) = self.shown.get_mut(class.0) {
            *seen = first.cloned();
        }
    }

    /// Seals a ticket for a command.
    fn sealed(
        &self,
        now: Micros,
        command: &Command,
        user: &str,
        made: Micros,
        polled: bool,
    ) -> FlightEndpoint {
        let expires = now.saturating_add(self.ticket_life);
        let ticket = seal::Ticket {
            command: command.text(),
            made,
            expires,
            user: user.to_owned(),
            issuer: self.issuer,
            polled,
        };
        let ticket = Some(Ticket { ticket: self.key.ticket(&ticket) });
        FlightEndpoint { ticket, expiration_time: Some(timestamp(expires)), ..FlightEndpoint::default() }
    }

    /// Reads a ticket of this caller's.
    fn ticket(&self, now: Micros, sealed: &[u8], who: &Who) -> Result<seal::Ticket, Status> {
        let ticket = self.key.read_ticket(now, sealed).map_err(|bad| match bad {
            seal::Bad::Expired => {
                Status::new(Code::NotFound, "the ticket has expired").because("TICKET_EXPIRED")
            }
            seal::Bad::Forged => Status::new(Code::InvalidArgument, "a bad ticket").because("TICKET_FORGED"),
        })?;
        if *ticket.user != *who.user {
            return Err(Status::new(Code::PermissionDenied, "the ticket is another user's"));
        }
        Ok(ticket)
    }

    fn info(
        &mut self,
        now: Micros,
        descriptor: FlightDescriptor,
        command: &Command,
        who: &Who,
        core: &Core,
    ) -> Result<FlightInfo, Status> {
        // What cannot be asked is told now and not when the ticket is used.
        let commands = command.split(core)?;
        commands.iter().try_for_each(|command| command.ask(Some(1), None, core).map(|_| ()))?;
        let endpoint = commands.iter().map(|command| self.sealed(now, command, &who.user, now, false));
        let endpoint: Vec<FlightEndpoint> = endpoint.collect();
        Ok(FlightInfo {
            schema: self.schema(command.class).unwrap_or_default(),
            flight_descriptor: Some(descriptor),
            ordered: endpoint.len() > 1,
            endpoint,
            total_records: -1,
            total_bytes: -1,
            app_metadata: json!({"id": command.id}).to_string().into(),
        })
    }

    /// How a polled query stands.
    fn poll_info(
        &mut self,
        now: Micros,
        user: &str,
        standing: Option<PolledState<Rc<QueryResponse>>>,
        command: &Command,
        core: &Core,
    ) -> Result<PollInfo, Status> {
        let next = FlightDescriptor::command(command.text());
        let mut info = FlightInfo {
            schema: self.schema(command.class).unwrap_or_default(),
            flight_descriptor: Some(next.clone()),
            total_records: -1,
            total_bytes: -1,
            ..FlightInfo::default()
        };
        match standing {
            Some(PolledState::Running(run)) => {
                let progress = core.progress(ResponseHandle::Flight(run.0));
                let share = progress.map_or(0.0, |(done, all)| done as f64 / all.max(1) as f64);
                let until = now + self.unpolled;
                let expiration_time = Some(timestamp(until));
                let flight_descriptor = Some(next);
                Ok(PollInfo { info: Some(info), flight_descriptor, progress: Some(share), expiration_time })
            }
            Some(PolledState::Done(answer, until)) => {
                if let Some(status) = failure(&answer) {
                    return Err(status);
                }
                if let QueryResponse::Ranked(ranked) = &*answer {
                    info.total_records = ranked.rows.len() as i64;
                    info.app_metadata = query::ranked_summary(ranked).to_string().into();
                    info.schema = answer::schema_message(&answer::ranked_schema()).unwrap_or_default();
                }
                if let QueryResponse::Completed { complete: whole, values } = &*answer {
                    let rows = |value: &mallowgauge_core::Value| match value {
                        mallowgauge_core::Value::Text(_) => 1,
                        mallowgauge_core::Value::Table(table) => table.rows as i64,
                    };
                    info.total_records = values.iter().map(|(_, value)| rows(value)).sum();
                    info.total_bytes = values.iter().map(|(_, value)| value.bytes() as i64).sum();
                    info.app_metadata = json!({ "total": whole }).to_string().into();
                    info.schema = encapsulated(values).unwrap_or_default();
                }
                info.endpoint = vec![self.sealed(now, command, user, now, true)];
                let expiration_time = Some(timestamp(until));
                Ok(PollInfo {
                    info: Some(info),
                    flight_descriptor: None,
                    progress: Some(1.0),
                    expiration_time,
                })
            }
            Some(PolledState::Cancelled) => Err(refusal(RejectReason::Cancelled)),
            None => Err(Status::new(Code::NotFound, "it is no longer known").because("OUTCOME_FORGOTTEN")),
        }
    }

    /// The classes that can be asked, and the caller's flights.
    fn list(&self, expression: &[u8], who: &Who, core: &Core) -> Result<Vec<FlightInfo>, Status> {
        let criteria: Value = match expression {
            b"" => json!({}),
            text => serde_json::from_slice(text).map_err(|_| bad("the criteria are not JSON"))?,
        };
        let fields = criteria.as_object().ok_or_else(|| bad("the criteria are no object"))?;
        if fields.keys().any(|key| key != "kind" && key != "state") {
            return Err(bad("criteria are kind and state"));
        }
        let wanted = |name: &str, value: &str| fields.get(name).is_none_or(|wish| wish == value);
        let mut all = Vec::new();
        for (index, name) in core.classes().enumerate() {
            if wanted("kind", name) && wanted("state", "class") {
                let class = ClassId(index);
                let told = json!({"kind": name, "state": "class", "harmless": core.is_idempotent(class),
                                  "deadline_ms": core.deadline(class) / 1000});
                let descriptor =
                    FlightDescriptor { r#type: PATH, cmd: Bytes::new(), path: vec![name.to_owned()] };
                all.push(FlightInfo {
                    schema: self.schema(class).unwrap_or_default(),
                    flight_descriptor: Some(descriptor),
                    total_records: -1,
                    total_bytes: -1,
                    app_metadata: told.to_string().into(),
                    ..FlightInfo::default()
                });
            }
        }
        for (key, state) in self.flights.list(&who.user).take(LISTED) {
            if wanted("state", state) && !fields.contains_key("kind") {
                let path = vec!["flights".to_owned(), key.id.to_string()];
                let descriptor = FlightDescriptor { r#type: PATH, cmd: Bytes::new(), path };
                all.push(FlightInfo {
                    flight_descriptor: Some(descriptor),
                    total_records: -1,
                    total_bytes: -1,
                    app_metadata: json!({"id": *key.id, "state": state}).to_string().into(),
                    ..FlightInfo::default()
                });
            }
        }
        Ok(all)
    }

    /// What a `FlightInfo` is about: the commands of its tickets, or of its descriptor.
    fn about(
        &self,
        now: Micros,
        info: &FlightInfo,
        who: &Who,
        core: &Core,
    ) -> Result<Vec<(Command, Micros)>, Status> {
        let tickets = info.endpoint.iter().filter_map(|endpoint| endpoint.ticket.as_ref());
        let mut all = Vec::new();
        for ticket in tickets {
            let ticket = self.ticket(now, &ticket.ticket, who)?;
            all.push((Command::read(&ticket.command, core, "x")?, ticket.made));
        }
        if all.is_empty() {
            let descriptor =
                info.flight_descriptor.as_ref().ok_or_else(|| bad("neither ticket nor descriptor"))?;
            all.push((Command::of(descriptor, core, "x")?, now));
        }
        Ok(all)
    }

    fn cancel(
        &mut self,
        now: Micros,
        info: &FlightInfo,
        who: &Who,
        core: &mut Core,
    ) -> Result<CancelStatus, Status> {
        let mut status = CancelStatus::Cancelled;
        for (command, made) in self.about(now, info, who, core)? {
            let key = PolledQueryKey { user: Rc::clone(&who.user), id: command.id.as_str().into() };
            let done =
                self.flights.cancel(now, &key, |run| core.possibly_executed(ResponseHandle::Flight(run.0)));
            match done {
                CancelResult::Cancelled(run, callers) => {
                    self.give_up(run, core);
                    self.tell(callers, &Err(refusal(RejectReason::Cancelled)));
                }
                CancelResult::AlreadyCancelled => {}
                CancelResult::TooLate => status = CancelStatus::NotCancellable,
                CancelResult::Unknown => {
                    let effect = !core.is_idempotent(command.class);
                    let spec = PolledQuerySpec {
                        body: command.fingerprint(),
                        effect,
                        polled: false,
                        made: Some(made),
                    };
                    self.cancel_plain(&key, core);
                    self.flights.revoke(now, &key, spec).map_err(refusal)?;
                }
            }
        }
        Ok(status)
    }

    fn renew(
        &mut self,
        now: Micros,
        endpoint: FlightEndpoint,
        who: &Who,
        core: &Core,
    ) -> Result<FlightEndpoint, Status> {
        let sealed = endpoint.ticket.as_ref().ok_or_else(|| bad("no ticket"))?;
        let ticket = self.ticket(now, &sealed.ticket, who)?;
        let command = Command::read(&ticket.command, core, "x")?;
        let key = PolledQueryKey { user: Rc::clone(&who.user), id: command.id.as_str().into() };
        if matches!(self.flights.state(now, &key), Some(PolledState::Cancelled)) {
            return Err(refusal(RejectReason::Cancelled));
        }
        if !core.is_idempotent(command.class) && ticket.issuer != self.issuer {
            return Err(Status::new(Code::FailedPrecondition, "it counts only where it was made")
                .because("OTHER_ISSUER"));
        }
        self.flights.renew(now, &key);
        // It stays as old as it is: what may have been forgotten of it does not become new.
        let fresh = self.sealed(now, &command, &who.user, ticket.made, ticket.polled);
        Ok(FlightEndpoint { app_metadata: endpoint.app_metadata, location: endpoint.location, ..fresh })
    }

    fn revoke(
        &mut self,
        now: Micros,
        endpoint: &FlightEndpoint,
        who: &Who,
        core: &Core,
    ) -> Result<(), Status> {
        let sealed = endpoint.ticket.as_ref().ok_or_else(|| bad("no ticket"))?;
        let ticket = self.ticket(now, &sealed.ticket, who)?;
        let command = Command::read(&ticket.command, core, "x")?;
        let key = PolledQueryKey { user: Rc::clone(&who.user), id: command.id.as_str().into() };
        let effect = !core.is_idempotent(command.class);
        let spec =
            PolledQuerySpec { body: command.fingerprint(), effect, polled: false, made: Some(ticket.made) };
        self.flights.revoke(now, &key, spec).map_err(refusal)
    }
}
