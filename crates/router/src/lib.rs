//! The decisions of a co-ordinator of queries over replicated shards.
//!
//! A [`Router`] is told what happened ([`Event`]) and says what to do ([`Action`]). It has no clock, no threads,
//! no I/O and no global state; the same seed and the same events give the same actions.
//!
//! | question | module |
//! | --- | --- |
//! | Which queries are rejected on arrival? | [`admission`] |
//! | Which backends hold a shard, and when is the endpoint list watched again? | `endpoints` |
//! | Which replica is a part sent to? | `replica_selection` |
//! | What is a backend sent that warms up? | [`slow_start`] |
//! | Which backends are ejected, and how do they come back? | [`outlier`] |
//! | When is a part retried or hedged, and when never? | [`retry`], [`overdue`] |
//! | When does a query end, and how? | [`completion`] |
//!
//! `router` dispatches events and timers to the steps that pass facts to these rules and carry out what they
//! decide.
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
//! // The endpoint list, then a query of one part.
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
