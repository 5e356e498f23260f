//! What a client wants of a two-phase query.

/// Which blocks the second phase fetches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BlockSelection {
    /// So many, with the highest bounds.
    Best(usize),
    /// Each block whose bound can still bring a row among the best.
    Threshold,
    /// Each block whose bound is at least this fraction of the highest one.
    Share(f64),
    /// All, whatever their bounds: these only decide the order, and nothing is pruned.
    All,
}

/// What becomes of blocks whose scouts did not report within their budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingSketchPolicy {
    /// They are fetched before all others, since nothing bounds their rows.
    #[default]
    Fetch,
    /// They are left out, and the response says so.
    Skip,
}

/// What a client wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanSpec {
    /// Which blocks are fetched.
    pub selection: BlockSelection,
    /// How many rows are returned.
    pub row_limit: usize,
    /// How many blocks are fetched at a time.
    pub wave_size: usize,
    /// What becomes of blocks whose scouts did not report.
    pub missing_sketches: MissingSketchPolicy,
}

/// Most rows that a client may want.
pub const MAX_ROW_LIMIT: usize = 1000;
/// Most blocks of a wave.
pub const MAX_WAVE_SIZE: usize = 1000;
