//! Carries queries with an effect between the core, which runs them, and the fleet, which gives leave for their
//! attempts and records how they end. What is allowed is decided in `mallowgauge_cluster::register`.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use mallowgauge_cluster::takeover::{Action, ClientRequest, QueryEnd, RequestState};
use mallowgauge_core::{
    AttemptId, AttemptRequest, CompletedQuery, Core, Failure, PartRequest, QueryRequest, QueryResponse,
    ResponseHandle, ValidationError, Value,
};
use mallowgauge_router::{BackendId, ClassId, Micros, Outcome, ShardId};
use serde::{Deserialize, Serialize};

use crate::peers::Peers;

/// What was payload, as another gatherer needs it to run it.
#[derive(Serialize, Deserialize)]
struct StoredRequest {
    class: u32,
    /// How long its client still waited when it was written.
    left: u64,
    text: Vec<u8>,
    parts: Vec<(u32, f64)>,
}

/// An answer as a record holds it.
#[derive(Serialize, Deserialize)]
struct StoredResponse {
    complete: bool,
    values: Vec<(u32, String)>,
}

/// Queries too old for anything to come of them are ended without a part sent.
const MIN_TIME_LEFT_US: Micros = 20_000;

fn parts(request: &QueryRequest) -> Vec<(u32, f64)> {
    request.parts.iter().map(|part| (part.shard.0, part.weight)).collect()
}

/// Eight bytes that tell one body from another.
fn digest(request: &QueryRequest) -> [u8; 8] {
    let body =
        postcard::to_stdvec(&(request.class.0 as u32, &*request.body, parts(request))).unwrap_or_default();
    mallowgauge_cluster::digest(body).to_be_bytes()
}

/// Eight bytes that tell one body from another, and then what was payload.
fn write(request: &QueryRequest, left: Micros) -> Arc<[u8]> {
    let parts = parts(request);
    let payload = StoredRequest { class: request.class.0 as u32, left, text: request.body.to_vec(), parts };
    // Who takes over cannot plan phases anew: of these it only learns whether something may have run.
    let payload = if request.plan.is_some() { None } else { postcard::to_stdvec(&payload).ok() };
    [&digest(request)[..], &payload.unwrap_or_default()].concat().into()
}

/// What was payload, with what is left of its client's time.
fn read(id: &str, payload: &[u8], age: Micros) -> Option<QueryRequest> {
    let payload: StoredRequest = postcard::from_bytes(payload.get(8..)?).ok()?;
    let left = payload.left.checked_sub(age).filter(|left| *left > MIN_TIME_LEFT_US)?;
    let parts = payload.parts.iter().map(|&(shard, weight)| PartRequest { shard: ShardId(shard), weight });
    Some(QueryRequest {
        id: id.into(),
        class: ClassId(payload.class as usize),
        expires_in: left,
        retry: true,
        work_hint: None,
        body: payload.text.into(),
        parts: parts.collect(),
        plan: None,
    })
}

fn ended(answer: &QueryResponse, possibly_executed: bool, most: usize) -> QueryEnd {
    let texts = |values: &[(ShardId, Value)]| {
        let text = |(shard, value): &(ShardId, Value)| match value {
            Value::Text(text) => Some((shard.0, text.to_string())),
            Value::Table(_) => None,
        };
        values.iter().map(text).collect::<Option<Vec<_>>>()
    };
    if let QueryResponse::Completed { complete, values } = answer {
        let values = texts(values)
            .and_then(|values| postcard::to_stdvec(&StoredResponse { complete: *complete, values }).ok());
        let values = values.filter(|bytes| bytes.len() <= most);
        return values.map_or(QueryEnd::PossiblyExecuted, |bytes| QueryEnd::Answered(bytes.into()));
    }
    if possibly_executed {
        QueryEnd::PossiblyExecuted
    } else {
        QueryEnd::NotExecuted
    }
}

fn answer(ended: &QueryEnd, core: &mut Core) -> QueryResponse {
    match ended {
        QueryEnd::Answered(bytes) => match postcard::from_bytes::<StoredResponse>(bytes) {
            Ok(StoredResponse { complete, values }) => {
                let values = values.into_iter().map(|(shard, text)| (ShardId(shard), text.into()));
                QueryResponse::Completed { complete, values: values.collect() }
            }
            Err(_) => QueryResponse::Failed(Failure::PartsFailed),
        },
        QueryEnd::PossiblyExecuted => QueryResponse::Failed(Failure::PartsFailed),
        QueryEnd::NotExecuted => {
            QueryResponse::Rejected { retry_after: core.retry_after(), not_executed: true }
        }
    }
}

/// Queries between the core and the fleet.
#[derive(Default)]
pub struct TakeoverAdapter {
    /// Attempts that wait for leave.
    held: BTreeMap<(Rc<str>, u32, u32), (BackendId, AttemptRequest)>,
    /// Who waits for how an id ends, once the core has done with it.
    waiting: BTreeMap<Rc<str>, Vec<ResponseHandle>>,
    taken_over: u64,
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
        backend: BackendId,
        send: AttemptRequest,
        core: &mut Core,
        peers: &mut Peers,
    ) -> Vec<Task> {
        let Some((request, left)) = core.open_request(now, &send.query) else { return Vec::new() };
        let (id, part, attempt) = (Rc::clone(&send.query), send.shard.0, send.attempt.number);
        if peers.with_takeover_manager(now, |manager| manager.request_state(&send.query))
            == Some(RequestState::AwaitingOutcome)
        {
            // Submitted again here, while its end comes from elsewhere or it is being taken over.
            let handles = core.release_query(&send.query);
            self.await_end(now, &send.query, now + left, handles, peers);
            return Vec::new();
        }
        let (payload, first) = (write(request, left), !request.retry);
        if payload.len() > peers.largest_record() {
            let answer = QueryResponse::Failed(Failure::Invalid(ValidationError::TooLargeToReplicate));
            let handles = core.release_query(&send.query);
            return handles.into_iter().map(|handle| Task::Reply(handle, answer.clone())).collect();
        }
        self.held.insert((Rc::clone(&id), part, attempt), (backend, send));
        let id = Arc::from(&*id);
        let client_request =
            ClientRequest { id: &id, payload: &payload, deadline: now + left, is_first_attempt: first };
        peers
            .with_takeover_manager(now, |manager| manager.request_permit(now, client_request, part, attempt));
        Vec::new()
    }

    /// Nobody waits for an attempt any more; `true` if it was not sent yet, and will not be.
    pub fn cancel_unsent(&mut self, now: Micros, attempt: AttemptId, peers: &mut Peers) -> bool {
        let found = self.held.iter().find(|(_, (_, send))| send.attempt == attempt);
        let Some(key) = found.map(|(key, _)| key.clone()) else { return false };
        self.held.remove(&key);
        peers.with_takeover_manager(now, |manager| manager.mark_not_executed(&key.0, key.1, key.2));
        true
    }

    /// An attempt ended in a way that proves that it never ran.
    pub fn attempt_not_executed(&mut self, now: Micros, attempt: AttemptId, core: &Core, peers: &mut Peers) {
        if let Some((id, shard)) = core.attempt_target(attempt) {
            peers.with_takeover_manager(now, |manager| {
                manager.mark_not_executed(&id, shard.0, attempt.number)
            });
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
            request,
            deadline: end,
            response_handles: handles,
            response: answer,
            possibly_executed,
        } = recorded;
        self.drop_held(&request.id);
        let state = peers
            .with_takeover_manager(now, |manager| manager.request_state(&request.id))
            .unwrap_or(RequestState::Unknown);
        // One that was payload before may have run elsewhere, whatever was decided here.
        let told =
            matches!(answer, QueryResponse::Completed { .. } | QueryResponse::Failed(Failure::Invalid(_)));
        let elsewhere = request.retry && !told;
        if state == RequestState::Unknown && !elsewhere {
            // No attempt ever payload for leave.
            return handles.into_iter().map(|handle| Task::Reply(handle, answer.clone())).collect();
        }
        let (id, most) = (Arc::from(&*request.id), peers.largest_record());
        match state {
            RequestState::Unknown
                if handles.iter().all(|handle| matches!(handle, ResponseHandle::TakenOver(_))) => {}
            RequestState::Unknown => {
                // Nobody is to run it: what tells its body from another is enough, however large it is.
                let payload = digest(&request).into();
                let client_request =
                    ClientRequest { id: &id, payload: &payload, deadline: end, is_first_attempt: false };
                peers.with_takeover_manager(now, |manager| manager.reject(now, client_request));
            }
            RequestState::Running => {
                self.await_end(now, &request.id, end, handles, peers);
                let ended = ended(&answer, possibly_executed, most);
                peers.with_takeover_manager(now, |manager| manager.query_ended(now, &id, ended));
                return Vec::new();
            }
            RequestState::AwaitingOutcome => {}
        }
        self.await_end(now, &request.id, end, handles, peers);
        Vec::new()
    }

    /// These are told once it is known how an id ended; of one that was taken over nobody here is.
    fn await_end(
        &mut self,
        now: Micros,
        id: &Rc<str>,
        until: Micros,
        handles: Vec<ResponseHandle>,
        peers: &mut Peers,
    ) {
        let here = handles.into_iter().filter(|handle| !matches!(handle, ResponseHandle::TakenOver(_)));
        let here: Vec<ResponseHandle> = here.collect();
        if !here.is_empty() {
            self.waiting.entry(Rc::clone(id)).or_default().extend(here);
            peers.with_takeover_manager(now, |manager| manager.await_outcome(id, until));
        }
    }

    fn drop_held(&mut self, id: &str) {
        self.held.retain(|(of, ..), _| &**of != id);
    }

    /// What the fleet has decided.
    pub fn handle_action(
        &mut self,
        now: Micros,
        action: Action,
        core: &mut Core,
        peers: &mut Peers,
    ) -> Vec<Task> {
        match action {
            Action::PermitDecided { id, part, attempt, granted } => {
                let held = self.held.remove(&(Rc::from(&*id), part, attempt));
                let Some((backend, send)) = held else { return Vec::new() };
                if !granted {
                    core.attempt_completed(now, send.attempt, Outcome::NotSent, None);
                } else if core.is_in_flight(send.attempt) {
                    return vec![Task::Send(backend, send)];
                } else {
                    peers.with_takeover_manager(now, |manager| manager.mark_not_executed(&id, part, attempt));
                }
                Vec::new()
            }
            Action::QueryEnded { id, end: ended } => {
                let handles = self.handles(&id, core);
                let answer = answer(&ended, core);
                handles.into_iter().map(|handle| Task::Reply(handle, answer.clone())).collect()
            }
            Action::OwnedByPeer { id } => {
                let handles = core.release_query(&id);
                self.drop_held(&id);
                self.waiting.entry(Rc::from(&*id)).or_default().extend(handles);
                Vec::new()
            }
            Action::RequestIdConflict { id } => {
                let answer =
                    QueryResponse::Failed(Failure::Invalid(ValidationError::IdReplicatedWithDifferentBody));
                let handles = self.handles(&id, core);
                handles.into_iter().map(|handle| Task::Reply(handle, answer.clone())).collect()
            }
            Action::OutcomeUnknown { id, not_executed } => {
                let answer = if not_executed {
                    QueryResponse::Rejected { retry_after: core.retry_after(), not_executed }
                } else {
                    QueryResponse::Failed(Failure::DeadlineExceeded)
                };
                let handles = self.handles(&id, core);
                handles.into_iter().map(|handle| Task::Reply(handle, answer.clone())).collect()
            }
            Action::TakeOver { id, payload, age } => {
                self.taken_over += 1;
                let handle = ResponseHandle::TakenOver(self.taken_over);
                let known = |request: &QueryRequest| request.class.0 < core.classes().count();
                let request = read(&id, &payload, age).filter(known);
                let taken = request.map(|request| core.submit(now, handle, request));
                if !matches!(taken, Some(Ok(()))) {
                    peers.with_takeover_manager(now, |manager| {
                        manager.query_ended(now, &id, QueryEnd::NotExecuted)
                    });
                }
                Vec::new()
            }
            Action::Send { .. } => Vec::new(),
        }
    }

    /// Everybody who waits for an id here.
    fn handles(&mut self, id: &str, core: &mut Core) -> Vec<ResponseHandle> {
        self.drop_held(id);
        let mut handles = self.waiting.remove(id).unwrap_or_default();
        handles.extend(core.release_query(id));
        handles
    }
}
