//! Two-phase queries: scouts find the promising blocks, and a second phase fetches only those.
//!
//! ```text
//!   start --> Scouting --(all reported, or budget spent)--> Waves --(no remaining block matters)--> Over
//!      \____ no time for scouts, or all sketches cached ____^   ^___ next wave ___/
//! ```
//!
//! - A **block** is one part of the query's data, stored in one shard.
//! - A **scout** is a cheap part whose value, a [`Sketch`], bounds the scores of its block's rows.
//! - The second phase fetches blocks by descending bound, one **wave** at a time. Each wave's rows raise the
//!   **threshold**, the score that a row has to reach to be in the response. A block whose bound lies below
//!   the threshold is pruned: it is never fetched.
//!
//! A response is complete if every block was fetched and its rows received. It is exact if each block without
//! rows is proved not to matter: its scout reported in this query, its bound lies below the threshold (or the
//! block was reported as empty), and no fetched block contradicted its sketch. A block that failed or was
//! skipped for lack of time counts against the class's minimum completeness; one that was pruned, or excluded
//! by the client's selection, does not.
//!
//! [`Plan`] is a pure state machine without a clock or I/O: it is passed results and the time, and returns
//! which parts to send, which to cancel, and the response.

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
