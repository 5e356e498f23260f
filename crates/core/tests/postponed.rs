//! Queries that are postponed beside a client with many open queries, and those that are rejected at once as before.

mod common;

use mallowgauge_core::{Action, ClientId, Core, CoreLimits, QueryRequest, QueryResponse, ResponseHandle};
use mallowgauge_router::{Idempotency, Micros, Outcome};

use common::{request, MS, SECOND};

const START: Micros = 100 * SECOND;
/// The client with many queries.
const DOMINANT: ClientId = ClientId::Flight(1);
/// As many queries with one part as may be open.
const CAPACITY: u64 = 4;

fn core() -> Core {
    let limits = CoreLimits { max_open: 2 * CAPACITY as usize, shards: 1 };
    let settings = common::settings(vec![common::class(Idempotency::Idempotent)]);
    let mut core = Core::new(7, settings, vec!["search".to_owned()], limits).expect("valid settings");
    core.endpoint_update(common::one_ready_backend());
    core
}

/// Fills the core with queries of one client. Returns the first batch's actions.
fn fill(core: &mut Core, client: impl Fn(u64) -> ClientId) -> Vec<Action> {
    for number in 0..CAPACITY {
        let request = request(&format!("row-{number}"));
        core.submit_for(START, client(number), ResponseHandle::Flight(number), request)
            .expect("it is opened");
    }
    core.run_batch(START)
}

fn run(core: &mut Core, from: Micros, to: Micros) -> Vec<Action> {
    (from..to).step_by(5 * MS as usize).flat_map(|now| core.run_batch(now)).collect()
}

fn sent_ids(actions: &[Action]) -> Vec<String> {
    let attempts = actions.iter().filter_map(|action| match action {
        Action::SendBatch(_, attempts) => Some(attempts),
        _ => None,
    });
    attempts.flatten().map(|attempt| attempt.request_id.to_string()).collect()
}

fn is_rejected(result: &Result<(), QueryResponse>) -> bool {
    matches!(result, Err(QueryResponse::Rejected { not_executed: true, .. }))
}

// Guards against one client's rows that keep another client's query out of the limit on open queries.
#[test]
fn query_beside_a_dominant_client_waits_and_the_client_starts_none_meanwhile() {
    let mut core = core();
    let actions = fill(&mut core, |_| DOMINANT);
    assert!(!core.must_yield(DOMINANT), "a client that is alone keeps what it has");
    core.submit(START, ResponseHandle::Http(1), request("usual")).expect("it is postponed");
    assert!(core.must_yield(DOMINANT) && core.is_open("usual"));
    let attempt = actions.iter().find_map(|action| match action {
        Action::SendBatch(_, attempts) => Some(attempts[0].attempt),
        _ => None,
    });
    core.attempt_completed(START + MS, attempt.expect("an attempt"), Outcome::Succeeded, Some("x".into()));
    let more = core.submit_for(START + MS, DOMINANT, ResponseHandle::Flight(9), request("row-9"));
    assert!(is_rejected(&more), "{more:?}");
    let actions = run(&mut core, START + 5 * MS, START + 100 * MS);
    assert_eq!(sent_ids(&actions), ["usual"]);
    assert!(!core.must_yield(DOMINANT));
}

// Ordinary days decide as before: beside clients with one query each nothing waits, and a dominant client's own further
// query does not.
#[test]
fn query_is_rejected_at_once_unless_another_client_is_dominant() {
    let mut crowded = core();
    fill(&mut crowded, ClientId::Http);
    assert!(is_rejected(&crowded.submit(START, ResponseHandle::Http(9), request("usual"))));
    let mut dominated = core();
    fill(&mut dominated, |_| DOMINANT);
    let more = dominated.submit_for(START, DOMINANT, ResponseHandle::Flight(9), request("row-9"));
    assert!(is_rejected(&more));
}

// Guards against a postponed query without a final answer, or with one that comes after half of its time.
#[test]
fn postponed_query_is_rejected_in_time_and_ends_with_its_client() {
    let mut core = core();
    fill(&mut core, |_| DOMINANT);
    let usual = QueryRequest { expires_in: 2 * SECOND, ..request("usual") };
    core.submit(START, ResponseHandle::Http(1), usual).expect("it is postponed");
    core.submit(START, ResponseHandle::Http(2), request("leaves")).expect("it is postponed");
    core.client_disconnected(ResponseHandle::Http(2));
    let actions = run(&mut core, START + 5 * MS, START + SECOND);
    let responses: Vec<&Action> =
        actions.iter().filter(|action| matches!(action, Action::Respond(..))).collect();
    let [Action::Respond(handle, QueryResponse::Rejected { not_executed: true, .. })] = responses[..] else {
        panic!("{responses:?}");
    };
    assert_eq!(
        (*handle, core.is_open("usual"), core.is_open("leaves")),
        (ResponseHandle::Http(1), false, false)
    );
}
