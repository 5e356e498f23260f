//! Carries queries with an effect between the core, which runs them, and the fleet, which gives leave for their
//! attempts and records how they end. What is allowed is decided in `mallowgauge_cluster::register`.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use mallowgauge_cluster::takeover::{Ended, Request, Stands, Wish};
use mallowgauge_core::{
    AttemptId, AttemptRequest, CompletedQuery, Core, Failure, PartRequest, QueryRequest, QueryResponse,
    ResponseHandle, ValidationError, Value,
};
use mallowgauge_router::{BackendId, ClassId, Micros, Outcome, ShardId};
use serde::{Deserialize, Serialize};

use crate::peers::Peers;

/// What was asked, as another gatherer needs it to run it.
#[derive(Serialize, Deserialize)]
struct Asked {
    class: u32,
    /// How long its client still waited when it was written.
    left: u64,
    text: Vec<u8>,
    parts: Vec<(u32, f64)>,
}

/// An answer as a record holds it.
#[derive(Serialize, Deserialize)]
struct Served {
    whole: bool,
    values: Vec<(u32, String)>,
}

/// Queries too old for anything to come of them are ended without a part sent.
const TOO_OLD: Micros = 20_000;

fn parts(ask: &QueryRequest) -> Vec<(u32, f64)> {
    ask.parts.iter().map(|part| (part.shard.0, part.weight)).collect()
}

/// Eight bytes that tell one body from another.
fn digest(ask: &QueryRequest) -> [u8; 8] {
    let body = postcard::to_stdvec(&(ask.class.0 as u32, &*ask.body, parts(ask))).unwrap_or_default();
    mallowgauge_cluster::digest(body).to_be_bytes()
}

/// Eight bytes that tell one body from another, and then what was asked.
fn write(ask: &QueryRequest, left: Micros) -> Arc<[u8]> {
    let parts = parts(ask);
    let asked = Asked { class: ask.class.0 as u32, left, text: ask.body.to_vec(), parts };
    // Who takes over cannot plan phases anew: of these it only learns whether something may have run.
    let asked = if ask.plan.is_some() { None } else { postcard::to_stdvec(&asked).ok() };
    [&digest(ask)[..], &asked.unwrap_or_default()].concat().into()
}

/// What was asked, with what is left of its client's time.
fn read(id: &str, asked: &[u8], age: Micros) -> Option<QueryRequest> {
    let asked: Asked = postcard::from_bytes(asked.get(8..)?).ok()?;
    let left = asked.left.checked_sub(age).filter(|left| *left > TOO_OLD)?;
    let parts = asked.parts.iter().map(|&(shard, weight)| PartRequest { shard: ShardId(shard), weight });
    Some(QueryRequest {
        id: id.into(),
        class: ClassId(asked.class as usize),
        expires_in: left,
        retry: true,
        work_hint: None,
        body: asked.text.into(),
        parts: parts.collect(),
        plan: None,
    })
}

fn ended(answer: &QueryResponse, touched: bool, most: usize) -> Ended {
    let texts = |values: &[(ShardId, Value)]| {
        let text = |(shard, value): &(ShardId, Value)| match value {
            Value::Text(text) => Some((shard.0, text.to_string())),
            Value::Table(_) => None,
        };
        values.iter().map(text).collect::<Option<Vec<_>>>()
    };
    if let QueryResponse::Completed { complete: whole, values } = answer {
        let values =
            texts(values).and_then(|values| postcard::to_stdvec(&Served { whole: *whole, values }).ok());
        let values = values.filter(|bytes| bytes.len() <= most);
        return values.map_or(Ended::MayHaveRun, |bytes| Ended::Said(bytes.into()));
    }
    if touched {
        Ended::MayHaveRun
    } else {
        Ended::NeverRan
    }
}

fn answer(ended: &Ended, core: &mut Core) -> QueryResponse {
    match ended {
        Ended::Said(bytes) => match postcard::from_bytes::<Served>(bytes) {
            Ok(Served { whole, values }) => {
                let values = values.into_iter().map(|(shard, text)| (ShardId(shard), text.into()));
                QueryResponse::Completed { complete: whole, values: values.collect() }
            }
            Err(_) => QueryResponse::Failed(Failure::PartsFailed),
        },
        Ended::MayHaveRun => QueryResponse::Failed(Failure::PartsFailed),
        Ended::NeverRan => QueryResponse::Rejected { retry_after: core.retry_after(), not_executed: true },
    }
}

/// Queries between the core and the fleet.
#[derive(Default)]
pub struct TakeoverAdapter {
    /// Attempts that wait for leave.
    held: BTreeMap<(Rc<str>, u32, u32), (BackendId, AttemptRequest)>,
    /// Who waits for how an id ends, once the core has done with it.
    waiting: BTreeMap<Rc<str>, Vec<ResponseHandle>>,
    adopted: u64,
}

/// What is to be done with the rest of the program.
pub enum Task {
    /// An attempt has leave.
    Send(BackendId, AttemptRequest),
    /// A final answer.
    Reply(ResponseHandle, QueryResponse),
}

impl TakeoverAdapter {
    /// An attempt wants leave.
    pub fn request_permit(
        &mut self,
        now: Micros,
        server: BackendId,
        send: AttemptRequest,
        core: &mut Core,
        peers: &mut Peers,
    ) -> Vec<Task> {
        let Some((ask, left)) = core.open_request(now, &send.query) else { return Vec::new() };
        let (id, part, attempt) = (Rc::clone(&send.query), send.shard.0, send.attempt.number);
        if peers.with_takeover_manager(now, |desk| desk.stands(&send.query)) == Some(Stands::Awaited) {
            // Asked again here, while its end comes from elsewhere or it is being taken over.
            let askers = core.release_query(&send.query);
            self.await_end(now, &send.query, now + left, askers, peers);
            return Vec::new();
        }
        let (asked, first) = (write(ask, left), !ask.retry);
        if asked.len() > peers.largest_record() {
            let answer = QueryResponse::Failed(Failure::Invalid(ValidationError::TooLargeToReplicate));
            let askers = core.release_query(&send.query);
            return askers.into_iter().map(|asker| Task::Reply(asker, answer.clone())).collect();
        }
        self.held.insert((Rc::clone(&id), part, attempt), (server, send));
        let id = Arc::from(&*id);
        let request = Request { id: &id, asked: &asked, until: now + left, first };
        peers.with_takeover_manager(now, |desk| desk.want(now, request, part, attempt));
        Vec::new()
    }

    /// Nobody waits for an attempt any more; `true` if it was not sent yet, and will not be.
    pub fn cancel_unsent(&mut self, now: Micros, attempt: AttemptId, peers: &mut Peers) -> bool {
        let found = self.held.iter().find(|(_, (_, send))| send.attempt == attempt);
        let Some(key) = found.map(|(key, _)| key.clone()) else { return false };
        self.held.remove(&key);
        peers.with_takeover_manager(now, |desk| desk.void(&key.0, key.1, key.2));
        true
    }

    /// An attempt ended in a way that proves that it never ran.
    pub fn attempt_not_executed(&mut self, now: Micros, attempt: AttemptId, core: &Core, peers: &mut Peers) {
        if let Some((id, shard)) = core.attempt_target(attempt) {
            peers.with_takeover_manager(now, |desk| desk.void(&id, shard.0, attempt.number));
        }
    }

    /// A query with an effect has ended.
    pub fn replicate_outcome(
        &mut self,
        now: Micros,
        recorded: CompletedQuery,
        peers: &mut Peers,
    ) -> Vec<Task> {
        let CompletedQuery {
            request: ask,
            deadline: end,
            response_handles: askers,
            response: answer,
            possibly_executed: touched,
        } = recorded;
        self.drop_held(&ask.id);
        let stands = peers.with_takeover_manager(now, |desk| desk.stands(&ask.id)).unwrap_or(Stands::Unknown);
        // One that was asked before may have run elsewhere, whatever was decided here.
        let told =
            matches!(answer, QueryResponse::Completed { .. } | QueryResponse::Failed(Failure::Invalid(_)));
        let elsewhere = ask.retry && !told;
        if stands == Stands::Unknown && !elsewhere {
            // No attempt ever asked for leave.
            return askers.into_iter().map(|asker| Task::Reply(asker, answer.clone())).collect();
        }
        let (id, most) = (Arc::from(&*ask.id), peers.largest_record());
        match stands {
            Stands::Unknown if askers.iter().all(|asker| matches!(asker, ResponseHandle::TakenOver(_))) => {}
            Stands::Unknown => {
                // Nobody is to run it: what tells its body from another is enough, however large it is.
                let asked = digest(&ask).into();
                let request = Request { id: &id, asked: &asked, until: end, first: false };
                peers.with_takeover_manager(now, |desk| desk.refuse(now, request));
            }
            Stands::Runs => {
                self.await_end(now, &ask.id, end, askers, peers);
                let ended = ended(&answer, touched, most);
                peers.with_takeover_manager(now, |desk| desk.finish(now, &id, ended));
                return Vec::new();
            }
            Stands::Awaited => {}
        }
        self.await_end(now, &ask.id, end, askers, peers);
        Vec::new()
    }

    /// These are told once it is known how an id ended; of one that was taken over nobody here is.
    fn await_end(
        &mut self,
        now: Micros,
        id: &Rc<str>,
        until: Micros,
        askers: Vec<ResponseHandle>,
        peers: &mut Peers,
    ) {
        let here = askers.into_iter().filter(|asker| !matches!(asker, ResponseHandle::TakenOver(_)));
        let here: Vec<ResponseHandle> = here.collect();
        if !here.is_empty() {
            self.waiting.entry(Rc::clone(id)).or_default().extend(here);
            peers.with_takeover_manager(now, |desk| desk.wait(id, until));
        }
    }

    fn drop_held(&mut self, id: &str) {
        self.held.retain(|(of, ..), _| &**of != id);
    }

    /// What the fleet has decided.
    pub fn handle_action(
        &mut self,
        now: Micros,
        wish: Wish,
        core: &mut Core,
        peers: &mut Peers,
    ) -> Vec<Task> {
        match wish {
            Wish::Leave { id, part, attempt, given } => {
                let held = self.held.remove(&(Rc::from(&*id), part, attempt));
                let Some((server, send)) = held else { return Vec::new() };
                if !given {
                    core.attempt_completed(now, send.attempt, Outcome::NotSent, None);
                } else if core.is_in_flight(send.attempt) {
                    return vec![Task::Send(server, send)];
                } else {
                    peers.with_takeover_manager(now, |desk| desk.void(&id, part, attempt));
                }
                Vec::new()
            }
            Wish::Ended(id, ended) => {
                let askers = self.askers(&id, core);
                let answer = answer(&ended, core);
                askers.into_iter().map(|asker| Task::Reply(asker, answer.clone())).collect()
            }
            Wish::Elsewhere(id) => {
                let askers = core.release_query(&id);
                self.drop_held(&id);
                self.waiting.entry(Rc::from(&*id)).or_default().extend(askers);
                Vec::new()
            }
            Wish::Another(id) => {
                let answer =
                    QueryResponse::Failed(Failure::Invalid(ValidationError::IdReplicatedWithDifferentBody));
                let askers = self.askers(&id, core);
                askers.into_iter().map(|asker| Task::Reply(asker, answer.clone())).collect()
            }
            Wish::Unsure { id, untouched } => {
                let answer = if untouched {
                    QueryResponse::Rejected { retry_after: core.retry_after(), not_executed: untouched }
                } else {
                    QueryResponse::Failed(Failure::DeadlineExceeded)
                };
                let askers = self.askers(&id, core);
                askers.into_iter().map(|asker| Task::Reply(asker, answer.clone())).collect()
            }
            Wish::Adopt(id, asked, age) => {
                self.adopted += 1;
                let asker = ResponseHandle::TakenOver(self.adopted);
                let known = |ask: &QueryRequest| ask.class.0 < core.classes().count();
                let ask = read(&id, &asked, age).filter(known);
                let taken = ask.map(|ask| core.submit(now, asker, ask));
                if !matches!(taken, Some(Ok(()))) {
                    peers.with_takeover_manager(now, |desk| desk.finish(now, &id, Ended::NeverRan));
                }
                Vec::new()
            }
            Wish::Tell(..) => Vec::new(),
        }
    }

    /// Everybody who waits for an id here.
    fn askers(&mut self, id: &str, core: &mut Core) -> Vec<ResponseHandle> {
        self.drop_held(id);
        let mut askers = self.waiting.remove(id).unwrap_or_default();
        askers.extend(core.release_query(id));
        askers
    }
}
