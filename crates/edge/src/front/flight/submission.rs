//! Hands the queries of calls to the core and brings their outcomes back to the calls that wait.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{
    PolledQueryKey, PolledQuerySpec, PolledState, RejectReason, RunId, Submission, WaiterId,
};
use mallowgauge_core::{Core, QueryRequest, QueryResponse, ResponseHandle};
use mallowgauge_flight::grpc::Status;
use mallowgauge_router::{ClassId, Micros};

use super::service::{random, FlightService, Outcome};
use super::status::rejection_status;

/// What came of a query that a call has handed in.
pub enum SubmitResult {
    /// Its outcome will come for this caller.
    Pending(WaiterId),
    /// It is over already.
    Completed(Result<Rc<QueryResponse>, Status>),
}

/// A query in the core, and who waits for it.
pub struct ActiveRun {
    pub class: ClassId,
    pub key: PolledQueryKey,
    /// Identity waits, unless the flight of that key knows.
    pub only_waiter: Option<WaiterId>,
}

/// Where an outcome goes: a call, and which of its queries.
pub struct OutcomeTarget {
    pub call: u64,
    pub tag: Rc<str>,
    pub id: Rc<str>,
}

impl FlightService {
    /// Hands a query in. One with an effect, and a polled one, has one outcome whoever asks.
    #[allow(clippy::too_many_arguments)] // They belong to one call and are named where it is made
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
        let shared = spec.effect || spec.polled;
        if shared {
            match self.polled_queries.submit(now, &key, spec, Some(waiter), run) {
                Submission::Run(_) => {}
                Submission::Join(_) => {
                    self.add_waiter(waiter, call, tag, &key);
                    return SubmitResult::Pending(waiter);
                }
                Submission::Replay(answer) => return SubmitResult::Completed(Ok(answer)),
                Submission::Reject(why) => return SubmitResult::Completed(Err(rejection_status(why))),
            }
        } else if matches!(self.polled_queries.state(now, &key), Some(PolledState::Cancelled)) {
            return SubmitResult::Completed(Err(rejection_status(RejectReason::Cancelled)));
        }
        let plain = (!shared).then_some(waiter);
        self.runs.insert(run, ActiveRun { class: request.class, key: key.clone(), only_waiter: plain });
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

    /// Hosts tell queries apart by their ids: a ticket that is used twice at a time is given another.
    pub fn with_unique_id(mut request: QueryRequest, core: &Core) -> QueryRequest {
        if core.is_open(&request.id) {
            let short: String = request.id.chars().take(40).collect();
            request.id = format!("{short}~{:08x}", u32::from_le_bytes(random())).into();
        }
        request
    }

    pub fn add_waiter(&mut self, waiter: WaiterId, call: u64, tag: &str, key: &PolledQueryKey) {
        let id = Rc::clone(&key.id);
        self.waiters.insert(waiter, OutcomeTarget { call, tag: tag.into(), id });
    }

    /// A run has its final answer: the callers that wait for it.
    pub fn run_completed(&mut self, now: Micros, run: RunId, answer: &Rc<QueryResponse>) -> Vec<WaiterId> {
        let Some(known) = self.runs.remove(&run) else { return Vec::new() };
        self.learn_schema(known.class, answer);
        if let Some(waiter) = known.only_waiter {
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
            // What makes no sense has not run.
            QueryResponse::Failed(failure) => (0, matches!(failure, mallowgauge_core::Failure::Invalid(_))),
        };
        self.polled_queries.complete(now, run, Rc::clone(answer), bytes, not_executed)
    }

    /// Puts an outcome into the outbox for these callers.
    pub fn queue_outcome(&mut self, waiters: Vec<WaiterId>, outcome: &Outcome) {
        for waiter in waiters {
            if let Some(place) = self.waiters.remove(&waiter) {
                self.outbox.push((place.call, place.tag, place.id, outcome.clone()));
            }
        }
    }

    /// A run is not wanted any more.
    pub fn cancel_run(&mut self, run: RunId, core: &mut Core) {
        if self.runs.remove(&run).is_some() {
            core.client_disconnected(ResponseHandle::Flight(run.0));
        }
    }

    /// Gives up what runs under this key for one call each.
    pub fn cancel_unshared_runs(&mut self, key: &PolledQueryKey, core: &mut Core) {
        let of = |(run, known): (&RunId, &ActiveRun)| {
            Some((*run, known.only_waiter?)).filter(|_| known.key == *key)
        };
        let found: Vec<(RunId, WaiterId)> = self.runs.iter().filter_map(of).collect();
        for (run, waiter) in found {
            self.cancel_run(run, core);
            self.queue_outcome(vec![waiter], &Err(rejection_status(RejectReason::Cancelled)));
        }
    }

    /// A call no longer waits for an outcome.
    pub fn remove_waiter(&mut self, waiter: WaiterId, core: &mut Core) {
        self.waiters.remove(&waiter);
        let plain =
            self.runs.iter().find(|(_, known)| known.only_waiter == Some(waiter)).map(|(&run, _)| run);
        let run = plain.or_else(|| self.polled_queries.remove_waiter(waiter));
        run.into_iter().for_each(|run| self.cancel_run(run, core));
    }
}
