//! The decisions of a co-ordinator of queries over replicated shards.
//!
//! A [`Router`] is told what happened and says what to do. It has no clock, no threads, no I/O and no
//! global state; the same seed and the same events give the same actions. It keeps the tail of each
//! class of query inside its aim by refusing whole queries at random while too many miss it, and sends
//! each part to the replica with the fewest of its own parts out.
//!
//! ```
//! use mallowgauge_router::*;
//!
//! let class = Class {
//!     latency_objective: 200_000, objective_per_work: 0.0, deadline: 600_000, late_value: 0.1, idempotency: Idempotency::Idempotent,
//!     minimum_completeness: 1.0, required_completeness: 1.0, partial_value: 0.9, second_step_parts: 0,
//! };
//! let settings = Settings {
//!     routers: 1,
//!     batch_interval: 1_000,
//!     classes: vec![class],
//!     layout: ShardLayout { ring_positions: 2, replication_factor: 2, parts_per_call: 1, call_work: 0 },
//!     limits: DeploymentLimits {
//!         cancellation: true, health_checks: false, hedging: true, max_attempts: 3, max_retry_after: 0,
//!     },
//!     rules: RuleSettings {
//!         initial_capacity: 0.2, warm_up_time: 10_000_000, overload_multiple: 3.0, overload_window: 2_000_000,
//!         retry_budget: None, max_poll_interval: 0,
//!     },
//!     discovery: Discovery::Push, zone: None, cross_zone_costs: false,
//! };
//! let mut router = Router::new(42, settings)?;
//! let mut actions = Vec::new();
//!
//! // The list of servers, then a query of one part.
//! let entry = |backend, ring_position| Endpoint {
//!     backend: BackendId(backend), ring_position, state: EndpointState::Ready, started_at: None, zone: None,
//! };
//! let (query, part) = (QueryId(1), PartId(10));
//! router.handle(1_000, vec![
//!     Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![entry(0, 0), entry(1, 1)])),
//!     Event::QueryArrived(QueryArrival {
//!         query, class: ClassId(0), expires_in: 600_000, work_hint: None, retry: false, planned: false,
//!     }),
//!     Event::PartArrived(PartArrival { query, part, shard: ShardId(0), weight: 1.0, idempotent: false }),
//! ], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { part: p, .. } if *p == part)));
//!
//! // The part's answer comes, and the query's goes.
//! actions.clear();
//! let served = Event::AttemptCompleted { part, attempt: 0, outcome: Outcome::Succeeded, took: 20_000 };
//! router.handle(21_000, vec![served], &mut actions);
//! assert!(actions.contains(&Action::Respond { query, complete: true }));
//! assert_eq!(router.drop_rate(ClassId(0)), Some(0.0));
//! # Ok::<(), SettingsError>(())
//! ```

mod interface;
mod rules;

pub use interface::*;
pub use rules::Router;
