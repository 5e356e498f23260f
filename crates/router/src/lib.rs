//! Routing decisions for queries over replicated shards.
//!
//! A [`Router`] takes [`Event`]s and returns [`Action`]s. It has no clock, no threads, no I/O and no global
//! state: the same seed and the same events give the same actions.
//!
//! | decision | module |
//! | --- | --- |
//! | Which queries are rejected on arrival | [`admission`] |
//! | Which backends hold a shard, and when the endpoint list is watched again | `endpoints` |
//! | Which replica a part is sent to | `replica_selection` |
//! | How much work a warming-up backend is sent | [`slow_start`] |
//! | Which backends are ejected, and how they recover | [`outlier`] |
//! | When a part is retried or hedged, and when never | [`retry`], [`overdue`] |
//! | When a query ends, and with what result | [`completion`] |
//!
//! `router` dispatches events and timers to handlers, which pass facts to these rules and carry out their
//! decisions.
//!
//! ```
//! use mallowgauge_router::{
//!     Action, BackendId, Class, ClassId, DeploymentLimits, Endpoint, EndpointState, EndpointUpdate, Event,
//!     Idempotency, Outcome, PartArrival, PartId, QueryArrival, QueryId, Router, RuleSettings, Settings,
//!     SettingsError, ShardId, ShardLayout,
//! };
//!
//! let class = Class {
//!     latency_objective: 200_000,
//!     objective_per_work: 0.0,
//!     deadline: 600_000,
//!     late_value: 0.1,
//!     idempotency: Idempotency::Idempotent,
//!     minimum_completeness: 1.0,
//!     required_completeness: 1.0,
//!     partial_value: 0.9,
//!     second_step_parts: 0,
//! };
//! let settings = Settings {
//!     routers: 1,
//!     batch_interval: 1_000,
//!     classes: vec![class],
//!     layout: ShardLayout { ring_positions: 2, replication_factor: 2, parts_per_call: 1, call_work: 0 },
//!     limits: DeploymentLimits { cancellation: true, hedging: true, max_attempts: 3, ..Default::default() },
//!     rules: RuleSettings {
//!         initial_capacity: 0.2,
//!         warm_up_time: 10_000_000,
//!         overload_multiple: 3.0,
//!         overload_window: 2_000_000,
//!         ..RuleSettings::default()
//!     },
//!     ..Settings::default()
//! };
//! let mut router = Router::new(42, settings)?;
//! let mut actions = Vec::new();
//!
//! // An endpoint list and a query with one part arrive.
//! let endpoint = |backend, ring_position| Endpoint {
//!     backend: BackendId(backend),
//!     ring_position,
//!     state: EndpointState::Ready,
//!     started_at: None,
//!     zone: None,
//! };
//! let (query, part) = (QueryId(1), PartId(10));
//! let arrival = QueryArrival {
//!     query,
//!     class: ClassId(0),
//!     expires_in: 600_000,
//!     work_hint: None,
//!     retry: false,
//!     planned: false,
//! };
//! let events = vec![
//!     Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![endpoint(0, 0), endpoint(1, 1)])),
//!     Event::QueryArrived(arrival),
//!     Event::PartArrived(PartArrival { query, part, shard: ShardId(0), weight: 1.0, idempotent: false }),
//! ];
//! router.handle(1_000, events, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { part: sent, .. } if *sent == part)));
//!
//! // The attempt succeeds, and the query is answered.
//! actions.clear();
//! let completed = Event::AttemptCompleted { part, attempt: 0, outcome: Outcome::Succeeded, latency: 20_000 };
//! router.handle(21_000, vec![completed], &mut actions);
//! assert!(actions.contains(&Action::Respond { query, complete: true }));
//! assert_eq!(router.drop_rate(ClassId(0)), Some(0.0));
//! # Ok::<(), SettingsError>(())
//! ```

pub mod admission;
pub mod completion;
pub mod outlier;
pub mod overdue;
pub mod random;
pub mod retry;
pub mod settings_error;
pub mod slow_start;
pub mod traffic;

mod backend;
mod endpoints;
mod events;
mod hash;
mod ids;
mod latency;
mod query;
mod replica_selection;
mod router;
mod settings;
mod timers;

pub use events::{
    Action, BackendView, Endpoint, EndpointState, EndpointUpdate, Event, Outcome, PartArrival, QueryArrival,
};
pub use ids::{BackendId, ClassId, Micros, PartId, QueryId, ShardId, ZoneId};
pub use query::Step;
pub use router::Router;
pub use settings::{
    Class, DeploymentLimits, Discovery, Idempotency, RetryBudgetSettings, RuleSettings, Settings, ShardLayout,
};
pub use settings_error::SettingsError;
