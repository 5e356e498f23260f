//! The plan that a client requests for a two-phase query.

/// Which blocks the second phase fetches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BlockSelection {
    /// This number of blocks, those with the highest bounds.
    Best(usize),
    /// Each block whose bound reaches the current threshold.
    Threshold,
    /// Each block whose bound is at least this fraction of the highest one.
    Share(f64),
    /// All blocks. Bounds only decide the order, and nothing is pruned.
    All,
}

/// How blocks are treated whose scouts did not report within their budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingSketchPolicy {
    /// Fetches them before all others, since nothing bounds their rows.
    #[default]
    Fetch,
    /// Excludes them, and lists them as skipped in the response.
    Skip,
}

/// The plan that a client requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanSpec {
    /// Which blocks are fetched.
    pub selection: BlockSelection,
    /// Maximum number of rows in the response.
    pub row_limit: usize,
    /// Number of blocks that are fetched at a time.
    pub wave_size: usize,
    /// How blocks are treated whose scouts did not report.
    pub missing_sketches: MissingSketchPolicy,
}

/// Maximum row limit that a client may request.
pub const MAX_ROW_LIMIT: usize = 1000;
/// Maximum wave size that a client may request.
pub const MAX_WAVE_SIZE: usize = 1000;
