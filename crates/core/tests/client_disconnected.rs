//! Clients that leave while their query is open.

use mallowgauge_core::{Action, Core, CoreLimits, PartRequest, QueryRequest, ResponseHandle};
use mallowgauge_router::{
    BackendId, Class, ClassId, DeploymentLimits, Discovery, Endpoint, EndpointState, EndpointUpdate,
    Idempotency, Micros, RuleSettings, Settings, ShardId, ShardLayout,
};

const START: Micros = 100_000_000;

/// A core whose only class has an effect, in a fleet that gives leave for each attempt.
fn core() -> Core {
    let class = Class {
        latency_objective: 2_000_000,
        objective_per_work: 0.0,
        deadline: 6_000_000,
        late_value: 0.1,
        idempotency: Idempotency::NonIdempotent,
        minimum_completeness: 1.0,
        required_completeness: 1.0,
        partial_value: 0.9,
        second_step_parts: 0,
    };
    let settings = Settings {
        routers: 1,
        batch_interval: 5_000,
        classes: vec![class],
        layout: ShardLayout { ring_positions: 1, replication_factor: 1, parts_per_call: 1, call_work: 0 },
        limits: DeploymentLimits {
            cancellation: true,
            health_checks: true,
            hedging: true,
            max_attempts: 3,
            max_retry_after: 1_000_000,
        },
        rules: RuleSettings {
            initial_capacity: 0.2,
            warm_up_time: 10_000_000,
            overload_multiple: 3.0,
            overload_window: 2_000_000,
            retry_budget: None,
            max_poll_interval: 0,
        },
        discovery: Discovery::Push,
        zone: None,
        cross_zone_costs: false,
    };
    let bounds = CoreLimits { max_open: 100, shards: 1 };
    let mut core = Core::new(7, settings, vec!["hold".to_owned()], bounds).expect("sound settings");
    core.require_permits();
    core
}

fn hold(retry: bool) -> QueryRequest {
    QueryRequest {
        id: "a".into(),
        class: ClassId(0),
        expires_in: 5_000_000,
        retry,
        work_hint: None,
        body: b"q".as_slice().into(),
        parts: vec![PartRequest { shard: ShardId(0), weight: 1.0 }],
        plan: None,
    }
}

/// The only host is told; how many attempts wait for leave after some turns.
fn attempts(core: &mut Core) -> usize {
    let host = Endpoint {
        backend: BackendId(0),
        ring_position: 0,
        state: EndpointState::Ready,
        started_at: None,
        zone: None,
    };
    core.endpoint_update(EndpointUpdate::Snapshot(vec![host]));
    let turns = (1..100).map(|turn| START + turn * 10_000);
    turns
        .flat_map(|now| core.run_batch(now))
        .filter(|effect| matches!(effect, Action::RequestPermit(..)))
        .count()
}

#[test]
fn a_hold_whose_client_left_before_its_first_attempt_is_not_begun() {
    let mut core = core();
    core.submit(START, ResponseHandle::Http(1), hold(false)).expect("it is taken");
    core.client_disconnected(ResponseHandle::Http(1));
    assert_eq!((core.open_queries(), attempts(&mut core)), (0, 0));
}

#[test]
fn a_hold_that_was_begun_goes_on_without_its_client() {
    let mut core = core();
    core.submit(START, ResponseHandle::Http(1), hold(false)).expect("it is taken");
    assert_eq!(attempts(&mut core), 1);
    core.client_disconnected(ResponseHandle::Http(1));
    assert_eq!(core.open_queries(), 1);
}

#[test]
fn a_hold_goes_on_for_who_asked_again() {
    for leaves in [[1, 2], [2, 1]] {
        let mut core = core();
        core.submit(START, ResponseHandle::Http(1), hold(false)).expect("it is taken");
        core.submit(START, ResponseHandle::Http(2), hold(true)).expect("it waits for the same outcome");
        core.client_disconnected(ResponseHandle::Http(leaves[0]));
        assert_eq!(core.open_queries(), 1);
        core.client_disconnected(ResponseHandle::Http(leaves[1]));
        assert_eq!((core.open_queries(), attempts(&mut core)), (0, 0));
    }
}
