//! Helpers shared by several test files.

use mallowgauge_core::{PartRequest, QueryRequest};
use mallowgauge_router::{
    BackendId, Class, ClassId, DeploymentLimits, Discovery, Endpoint, EndpointState, EndpointUpdate,
    Idempotency, Micros, RuleSettings, Settings, ShardId, ShardLayout,
};

/// Milliseconds in microseconds.
pub const MS: Micros = 1_000;
/// Seconds in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Interval between batches of the router.
pub const BATCH_INTERVAL: Micros = 5 * MS;

/// Returns a class that requires complete responses.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: SECOND,
        objective_per_work: 0.0,
        deadline: 4 * SECOND,
        late_value: 0.1,
        idempotency,
        minimum_completeness: 1.0,
        required_completeness: 1.0,
        partial_value: 0.9,
        second_step_parts: 0,
    }
}

/// Returns settings of one router, with one replica of each shard.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        routers: 1,
        batch_interval: BATCH_INTERVAL,
        classes,
        layout: ShardLayout { ring_positions: 1, replication_factor: 1, parts_per_call: 1, call_work: 0 },
        limits: DeploymentLimits {
            cancellation: true,
            health_checks: true,
            hedging: true,
            max_attempts: 3,
            max_retry_after: SECOND,
        },
        rules: RuleSettings {
            initial_capacity: 0.2,
            warm_up_time: 10 * SECOND,
            overload_multiple: 3.0,
            overload_window: 2 * SECOND,
            retry_budget: None,
        },
        discovery: Discovery::Push,
        zone: None,
        cross_zone_costs: false,
    }
}

/// Returns an endpoint list with one backend, which is ready.
#[allow(dead_code)] // Not every file of tests lists a backend.
pub fn one_ready_backend() -> EndpointUpdate {
    EndpointUpdate::Snapshot(vec![Endpoint {
        backend: BackendId(0),
        ring_position: 0,
        state: EndpointState::Ready,
        started_at: None,
        zone: None,
    }])
}

/// Returns a request of the first class for one part.
pub fn request(id: &str) -> QueryRequest {
    QueryRequest {
        id: id.into(),
        class: ClassId(0),
        expires_in: 5 * SECOND,
        retry: false,
        work_hint: None,
        body: b"q".as_slice().into(),
        parts: vec![PartRequest { shard: ShardId(0), weight: 1.0 }],
        plan: None,
    }
}
