//! Submits the queries of calls to the core, and routes their outcomes to the waiting calls.
//!
//! A non-idempotent or polled query is shared: all calls that submit it under the same key wait for the same run. Any
//! other query gets a separate run with one waiter.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{
    PolledQueryKey, PolledQuerySpec, PolledState, RejectReason, RunId, Submission, WaiterId,
};
use mallowgauge_core::{Core, Failure, QueryRequest, QueryResponse, ResponseHandle};
use mallowgauge_router::{ClassId, Micros};

use super::service::{random_bytes, FlightService, Outcome};
use super::status::rejection_status;

/// How many characters of a query's id are kept when it is made unique.
const UNIQUE_ID_PREFIX_CHARS: usize = 40;

/// The result of submitting a query.
pub enum SubmitResult {
    /// The outcome will be delivered to this waiter.
    Pending(WaiterId),
    /// The outcome is already known.
    Completed(Outcome),
}

/// A query submitted to the core.
pub struct ActiveRun {
    /// The class of the query.
    pub class: ClassId,
    /// The user and id of the query.
    pub key: PolledQueryKey,
    /// The waiter of a run that is not shared.
    pub only_waiter: Option<WaiterId>,
}

/// The destination of an outcome.
pub struct OutcomeTarget {
    /// The id of the call.
    pub call: u64,
    /// Identifies the query within its call; empty if the call has one query only.
    pub tag: Rc<str>,
    /// The client's id of the query.
    pub id: Rc<str>,
}

/// An outcome to be delivered to a call.
pub struct Delivery {
    /// The destination.
    pub target: OutcomeTarget,
    /// The outcome.
    pub outcome: Outcome,
}

impl FlightService {
    /// Submits a query. A non-idempotent or polled one has one outcome, however many calls submit it.
    #[allow(clippy::too_many_arguments)] // All of them describe one query of one call.
    pub fn submit(
        &mut self,
        now: Micros,
        core: &mut Core,
        call: u64,
        tag: &str,
        key: PolledQueryKey,
        spec: PolledQuerySpec,
        request: QueryRequest,
    ) -> SubmitResult {
        let (run, waiter) = (RunId(self.next_id()), WaiterId(self.next_id()));
        let shared = spec.non_idempotent || spec.polled;
        if shared {
            match self.polled_queries.submit(now, &key, spec, Some(waiter), run) {
                Submission::Run(_) => {}
                Submission::Join(_) => {
                    self.add_waiter(waiter, call, tag, &key);
                    return SubmitResult::Pending(waiter);
                }
                Submission::Replay(response) => return SubmitResult::Completed(Ok(response)),
                Submission::Reject(reason) => {
                    return SubmitResult::Completed(Err(rejection_status(reason)));
                }
            }
        } else if matches!(self.polled_queries.state(now, &key), Some(PolledState::Cancelled)) {
            return SubmitResult::Completed(Err(rejection_status(RejectReason::Cancelled)));
        }
        let only_waiter = (!shared).then_some(waiter);
        self.runs.insert(run, ActiveRun { class: request.class, key: key.clone(), only_waiter });
        self.add_waiter(waiter, call, tag, &key);
        let request = self.with_distinct_id(request, &key, core);
        match core.submit_for(now, self.client_of(call), ResponseHandle::Flight(run.0), request) {
            Ok(()) => SubmitResult::Pending(waiter),
            Err(response) => {
                self.waiters.remove(&waiter);
                let response = Rc::new(response);
                self.run_completed(now, run, &response);
                SubmitResult::Completed(Ok(response))
            }
        }
    }

    /// Replaces the id of a query if another open query has it: backends distinguish queries by their ids.
    ///
    /// An idempotent query is another one each time, since a ticket may be used twice at the same time. A non-idempotent
    /// one keeps its id, so that the core recognises the open query, whichever frontend or instance it came from: under
    /// another id it would be executed again. Only the open query of another user is known to be another one.
    fn with_distinct_id(&self, mut request: QueryRequest, key: &PolledQueryKey, core: &Core) -> QueryRequest {
        let may_be_the_same = !core.is_idempotent(request.class) && !self.another_user_runs(key);
        if core.is_open(&request.id) && !may_be_the_same {
            let prefix: String = request.id.chars().take(UNIQUE_ID_PREFIX_CHARS).collect();
            request.id = format!("{prefix}~{:08x}", u32::from_le_bytes(random_bytes())).into();
        }
        request
    }

    /// Returns whether a query with this id runs for another user.
    fn another_user_runs(&self, key: &PolledQueryKey) -> bool {
        self.runs.values().any(|run| run.key.id == key.id && run.key.user != key.user)
    }

    fn add_waiter(&mut self, waiter: WaiterId, call: u64, tag: &str, key: &PolledQueryKey) {
        let id = Rc::clone(&key.id);
        self.waiters.insert(waiter, OutcomeTarget { call, tag: tag.into(), id });
    }

    /// Records the final response of a run, and returns its waiters.
    pub fn run_completed(&mut self, now: Micros, run: RunId, response: &Rc<QueryResponse>) -> Vec<WaiterId> {
        let Some(completed) = self.runs.remove(&run) else { return Vec::new() };
        self.learn_schema(completed.class, response);
        if let Some(waiter) = completed.only_waiter {
            return vec![waiter];
        }
        let (bytes, not_executed) = match &**response {
            QueryResponse::Completed { values, .. } => {
                (values.iter().map(|(_, value)| value.bytes()).sum(), false)
            }
            QueryResponse::Ranked(ranked) => {
                (ranked.rows.iter().map(|row| row.text.len() + row.id.len()).sum(), false)
            }
            QueryResponse::Rejected { not_executed, .. } => (0, *not_executed),
            // Of the failures, only an invalid query is certain not to have been executed.
            QueryResponse::Failed(failure) => (0, matches!(failure, Failure::Invalid(_))),
        };
        self.polled_queries.complete(now, run, Rc::clone(response), bytes, not_executed)
    }

    /// Queues an outcome for the calls of these waiters.
    pub fn queue_outcome(&mut self, waiters: Vec<WaiterId>, outcome: &Outcome) {
        for waiter in waiters {
            if let Some(target) = self.waiters.remove(&waiter) {
                self.outbox.push(Delivery { target, outcome: outcome.clone() });
            }
        }
    }

    /// Cancels a run.
    pub fn cancel_run(&mut self, run: RunId, core: &mut Core) {
        if self.runs.remove(&run).is_some() {
            core.client_disconnected(ResponseHandle::Flight(run.0));
        }
    }

    /// Cancels the runs under this key that are not shared.
    pub fn cancel_unshared_runs(&mut self, key: &PolledQueryKey, core: &mut Core) {
        let unshared =
            |(id, run): (&RunId, &ActiveRun)| Some((*id, run.only_waiter?)).filter(|_| run.key == *key);
        let found: Vec<(RunId, WaiterId)> = self.runs.iter().filter_map(unshared).collect();
        for (run, waiter) in found {
            self.cancel_run(run, core);
            self.queue_outcome(vec![waiter], &Err(rejection_status(RejectReason::Cancelled)));
        }
    }

    /// Removes the waiter of a call. A run that is not shared is cancelled; a non-idempotent or polled query
    /// continues.
    pub fn remove_waiter(&mut self, waiter: WaiterId, core: &mut Core) {
        self.waiters.remove(&waiter);
        let unshared = self.runs.iter().find(|(_, run)| run.only_waiter == Some(waiter)).map(|(&id, _)| id);
        let run = unshared.or_else(|| self.polled_queries.remove_waiter(waiter));
        run.into_iter().for_each(|run| self.cancel_run(run, core));
    }
}
