//! Two-phase queries: scouts find the promising blocks, a second phase queries only those.
//!
//! ```text
//!   start --> Scouting --(all reported, or the budget is spent)--> Waves --(none left can matter)--> Over
//!      \________ no time for scouts, or all known _____________^  ^___next wave___/
//! ```
//!
//! - A **block** is one part of the query's data: one shard.
//! - A **scout** is a cheap part whose value bounds the scores of its block's rows: its [`Sketch`].
//! - The second phase fetches blocks in the order of their bounds, a **wave** at a time. Each wave's rows raise
//!   the **threshold** that a row has to reach to be among the best `top`, and a block whose bound lies below
//!   the threshold is pruned: it is never fetched.
//!
//! A response is `whole` if every block was fetched and its rows received. It is `exact` if each block without
//! rows is proved not to matter: its scout reported in this very query, its bound lies below the threshold (or
//! it reported that the block is empty), and no block that was fetched contradicted its sketch. A block that
//! failed or was skipped for want of time counts against the class's minimum completeness; one that was
//! pruned, or left out by the client's own selection, does not.
//!
//! [`Plan`] knows no clock, backend or wire: it is told what arrived and what time it is, and says which parts
//! to send, which to cancel, and what the response is.

mod actions;
mod blocks;
mod phase_times;
mod plan;
mod rows;
mod sketch;
mod sketch_cache;
mod spec;

pub use actions::{BlockEffect, BlockSetup, PartLoss, PhaseTimes, PlanAction, PlanSetup, Ranked};
pub use phase_times::{PhaseTimeEstimator, ScoutBudget, ScoutBudgetRule};
pub use plan::Plan;
pub use rows::{parse_rows, Row, RowsError, TopRows, MAX_ROWS_PER_BLOCK};
pub use sketch::{parse_sketch, Sketch, SketchError};
pub use sketch_cache::{SketchCache, SketchCacheLimits};
pub use spec::{BlockSelection, MissingSketchPolicy, PlanSpec, MAX_ROW_LIMIT, MAX_WAVE_SIZE};
