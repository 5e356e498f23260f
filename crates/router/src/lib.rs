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
//!     aim: 200_000, aim_stretch: 0.0, deadline: 600_000, late_worth: 0.1, effect: Idempotency::Idempotent,
//!     floor: 1.0, need: 1.0, partial_worth: 0.9, second_step: 0,
//! };
//! let settings = Settings {
//!     routers: 1,
//!     tick: 1_000,
//!     classes: vec![class],
//!     layout: ShardLayout { cells: 2, reach: 2, parts_per_call: 1, call_work: 0 },
//!     limits: DeploymentLimits {
//!         cancel: true, probes: false, second_copies: true, max_attempts: 3, max_retry_after: 0,
//!     },
//!     rules: RuleSettings {
//!         cold_from: 0.2, warm_within: 10_000_000, tip_multiple: 3.0, fall_window: 2_000_000,
//!         budget: None, ask_within: 0,
//!     },
//!     discovery: Discovery::Push, zone: None, crossing_costs: false,
//! };
//! let mut router = Router::new(42, settings)?;
//! let mut actions = Vec::new();
//!
//! // The list of servers, then a query of one part.
//! let entry = |server, cell| Endpoint {
//!     server: BackendId(server), cell, phase: EndpointState::Ready, started: None, zone: None,
//! };
//! let (query, part) = (QueryId(1), PartId(10));
//! router.handle(1_000, vec![
//!     Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![entry(0, 0), entry(1, 1)])),
//!     Event::QueryArrived(QueryArrival {
//!         query, class: ClassId(0), expires_in: 600_000, work_hint: None, retry: false, planned: false,
//!     }),
//!     Event::PartArrived(PartArrival { query, part, shard: ShardId(0), weight: 1.0, harmless: false }),
//! ], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { part: p, .. } if *p == part)));
//!
//! // The part's answer comes, and the query's goes.
//! actions.clear();
//! let served = Event::AttemptCompleted { part, attempt: 0, outcome: Outcome::Succeeded, took: 20_000 };
//! router.handle(21_000, vec![served], &mut actions);
//! assert!(actions.contains(&Action::Respond { query, whole: true }));
//! assert_eq!(router.drop_rate(ClassId(0)), Some(0.0));
//! # Ok::<(), SettingsError>(())
//! ```

mod interface;
mod rules;

pub use interface::*;
pub use rules::Router;
