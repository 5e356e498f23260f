//! Hands the queries of calls to the core and brings their outcomes back to the calls that wait.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{
    PolledQueryKey, PolledQuerySpec, PolledState, RejectReason, RunId, Submission, WaiterId,
};
use mallowgauge_core::{Core, QueryRequest, QueryResponse, ResponseHandle};
use mallowgauge_flight::grpc::Status;
use mallowgauge_router::{ClassId, Micros};

use super::service::{random, Office, Outcome};
use super::status::refusal;

/// What came of a query that a call has handed in.
pub enum Submitted {
    /// Its outcome will come for this caller.
    Waiting(WaiterId),
    /// It is over already.
    Over(Result<Rc<QueryResponse>, Status>),
}

/// A query in the core, and who waits for it.
pub struct Run {
    pub class: ClassId,
    pub key: PolledQueryKey,
    /// Who waits, unless the flight of that key knows.
    pub plain: Option<WaiterId>,
}

/// Where an outcome goes: a call, and which of its queries.
pub struct Place {
    pub call: u64,
    pub tag: Rc<str>,
    pub id: Rc<str>,
}

impl Office {
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
            return Submitted::Over(Err(refusal(RejectReason::Cancelled)));
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
    pub fn unlike(mut ask: QueryRequest, core: &Core) -> QueryRequest {
        if core.is_open(&ask.id) {
            let short: String = ask.id.chars().take(40).collect();
            ask.id = format!("{short}~{:08x}", u32::from_le_bytes(random())).into();
        }
        ask
    }

    pub fn place(&mut self, caller: WaiterId, call: u64, tag: &str, key: &PolledQueryKey) {
        let id = Rc::clone(&key.id);
        self.callers.insert(caller, Place { call, tag: tag.into(), id });
    }

    /// A run has its final answer: the callers that wait for it.
    pub fn over(&mut self, now: Micros, run: RunId, answer: &Rc<QueryResponse>) -> Vec<WaiterId> {
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
    pub fn tell(&mut self, callers: Vec<WaiterId>, outcome: &Outcome) {
        for caller in callers {
            if let Some(place) = self.callers.remove(&caller) {
                self.outbox.push((place.call, place.tag, place.id, outcome.clone()));
            }
        }
    }

    /// A run is not wanted any more.
    pub fn give_up(&mut self, run: RunId, core: &mut Core) {
        if self.runs.remove(&run).is_some() {
            core.client_disconnected(ResponseHandle::Flight(run.0));
        }
    }

    /// Gives up what runs under this key for one call each.
    pub fn cancel_plain(&mut self, key: &PolledQueryKey, core: &mut Core) {
        let of = |(run, known): (&RunId, &Run)| Some((*run, known.plain?)).filter(|_| known.key == *key);
        let found: Vec<(RunId, WaiterId)> = self.runs.iter().filter_map(of).collect();
        for (run, caller) in found {
            self.give_up(run, core);
            self.tell(vec![caller], &Err(refusal(RejectReason::Cancelled)));
        }
    }

    /// A call no longer waits for an outcome.
    pub fn leave(&mut self, caller: WaiterId, core: &mut Core) {
        self.callers.remove(&caller);
        let plain = self.runs.iter().find(|(_, known)| known.plain == Some(caller)).map(|(&run, _)| run);
        let run = plain.or_else(|| self.flights.remove_waiter(caller));
        run.into_iter().for_each(|run| self.give_up(run, core));
    }
}
