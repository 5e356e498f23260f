//! Submits the queries of calls to the core, and routes their outcomes to the calls that wait.
//!
//! A query that must run once, or that is polled, is shared: every call that submits it under the same key waits for the
//! same run. Any other query has a run, and one waiter, of its own.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{
    PolledQueryKey, PolledQuerySpec, PolledState, RejectReason, RunId, Submission, WaiterId,
};
use mallowgauge_core::{Core, Failure, QueryRequest, QueryResponse, ResponseHandle};
use mallowgauge_router::{ClassId, Micros};

use super::service::{random, FlightService, Outcome};
use super::status::rejection_status;

/// Characters of a query's id that are kept where it is made unique.
const UNIQUE_ID_PREFIX: usize = 40;

/// What came of a query that a call has submitted.
pub enum SubmitResult {
    /// Its outcome will come for this waiter.
    Pending(WaiterId),
    /// It has its outcome already.
    Completed(Outcome),
}

/// A query in the core.
pub struct ActiveRun {
    /// Its class.
    pub class: ClassId,
    /// What it is known by.
    pub key: PolledQueryKey,
    /// Who waits for a run that is not shared.
    pub only_waiter: Option<WaiterId>,
}

/// Where an outcome goes.
pub struct OutcomeTarget {
    /// The call.
    pub call: u64,
    /// Which of the call's queries; empty where a call has one.
    pub tag: Rc<str>,
    /// The client's id of the query.
    pub id: Rc<str>,
}

/// An outcome on its way to a call.
pub struct Delivery {
    /// Where it goes.
    pub target: OutcomeTarget,
    /// The outcome.
    pub outcome: Outcome,
}

impl FlightService {
    /// Submits a query. One that is not idempotent, and a polled one, has one outcome whoever submits it.
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
                Submission::Replay(answer) => return SubmitResult::Completed(Ok(answer)),
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
        let request = Self::with_unique_id(request, core);
        match core.submit(now, ResponseHandle::Flight(run.0), request) {
            Ok(()) => SubmitResult::Pending(waiter),
            Err(answer) => {
                self.waiters.remove(&waiter);
                let answer = Rc::new(answer);
                self.run_completed(now, run, &answer);
                SubmitResult::Completed(Ok(answer))
            }
        }
    }

    /// Backends tell queries apart by their ids: a ticket that is used twice at a time gets another id.
    fn with_unique_id(mut request: QueryRequest, core: &Core) -> QueryRequest {
        if core.is_open(&request.id) {
            let prefix: String = request.id.chars().take(UNIQUE_ID_PREFIX).collect();
            request.id = format!("{prefix}~{:08x}", u32::from_le_bytes(random())).into();
        }
        request
    }

    fn add_waiter(&mut self, waiter: WaiterId, call: u64, tag: &str, key: &PolledQueryKey) {
        let id = Rc::clone(&key.id);
        self.waiters.insert(waiter, OutcomeTarget { call, tag: tag.into(), id });
    }

    /// Takes the final response of a run, and returns who waits for it.
    pub fn run_completed(&mut self, now: Micros, run: RunId, answer: &Rc<QueryResponse>) -> Vec<WaiterId> {
        let Some(completed) = self.runs.remove(&run) else { return Vec::new() };
        self.learn_schema(completed.class, answer);
        if let Some(waiter) = completed.only_waiter {
            return vec![waiter];
        }
        let (bytes, not_executed) = match &**answer {
            QueryResponse::Completed { values, .. } => {
                (values.iter().map(|(_, value)| value.bytes()).sum(), false)
            }
            QueryResponse::Ranked(ranked) => {
                (ranked.rows.iter().map(|row| row.text.len() + row.id.len()).sum(), false)
            }
            QueryResponse::Rejected { not_executed, .. } => (0, *not_executed),
            // An invalid query has not been executed.
            QueryResponse::Failed(failure) => (0, matches!(failure, Failure::Invalid(_))),
        };
        self.polled_queries.complete(now, run, Rc::clone(answer), bytes, not_executed)
    }

    /// Queues an outcome for the calls of these waiters.
    pub fn queue_outcome(&mut self, waiters: Vec<WaiterId>, outcome: &Outcome) {
        for waiter in waiters {
            if let Some(target) = self.waiters.remove(&waiter) {
                self.outbox.push(Delivery { target, outcome: outcome.clone() });
            }
        }
    }

    /// Cancels a run that nobody waits for.
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

    /// A call no longer waits for an outcome.
    pub fn remove_waiter(&mut self, waiter: WaiterId, core: &mut Core) {
        self.waiters.remove(&waiter);
        let unshared = self.runs.iter().find(|(_, run)| run.only_waiter == Some(waiter)).map(|(&id, _)| id);
        let run = unshared.or_else(|| self.polled_queries.remove_waiter(waiter));
        run.into_iter().for_each(|run| self.cancel_run(run, core));
    }
}
