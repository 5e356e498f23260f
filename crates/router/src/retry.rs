//! When one more attempt of a part is allowed, and when never.
//!
//! Three questions, each answered in one place: would a repeat be harmless and within the limits
//! ([`RetryPolicy`])? Is there budget for it ([`RetryBudget`])? Does the query seem to bring its backends down
//! (`is_poison_query`)? When an attempt that is in flight calls for another is in [`crate::overdue`].

use std::collections::{BTreeSet, VecDeque};

use crate::events::Outcome;
use crate::ids::Micros;
use crate::query::{answered_weight, Attempt, Part};
use crate::settings::{DeploymentLimits, Idempotency, RetryBudgetSettings};

/// The retry budget where the settings state none: while everything is slow, repeats only add load.
const DEFAULT_RETRY_BUDGET: RetryBudgetSettings =
    RetryBudgetSettings { min_retries: 4.0, retry_ratio: 0.1, window: 5_000_000 };
/// Fraction of the retry budget that hedges may use; the rest is kept for attempts that failed.
const HEDGE_BUDGET_FRACTION: f64 = 0.5;
/// A query on whose parts so many backends dropped the connection is not sent to another.
const POISON_BACKENDS: usize = 2;

/// What the policy needs to know of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartHistory {
    /// What a repeat of the part may do.
    pub idempotency: Idempotency,
    /// Attempts so far.
    pub attempts: usize,
    /// Whether one of them is in flight.
    pub in_flight: bool,
    /// When the first attempt was sent that may have run.
    pub possibly_executed_at: Option<Micros>,
}

impl PartHistory {
    pub(crate) fn of(part: &Part, class: Idempotency) -> Self {
        let possibly_executed = part.attempts.iter().filter(|attempt| !attempt.was_not_executed());
        Self {
            idempotency: if part.idempotent { Idempotency::Idempotent } else { class },
            attempts: part.attempts.len(),
            in_flight: part.is_in_flight(),
            possibly_executed_at: possibly_executed.map(|attempt| attempt.sent_at).min(),
        }
    }
}

/// What to do about an overdue attempt of a part that may have one more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueResponse {
    /// Send another attempt beside it.
    Hedge,
    /// Cancel it; the part is sent elsewhere once that is confirmed, so that never two are in flight.
    Cancel,
    /// Leave it, and look at it again later.
    CheckAgain,
}

/// Which repeats are harmless and within the deployment's limits.
#[derive(Debug)]
pub struct RetryPolicy {
    max_attempts: usize,
    hedging: bool,
    cancellation: bool,
}

impl RetryPolicy {
    /// Takes the most attempts of a part, and whether two may be in flight at once and one be cancelled.
    pub fn new(limits: &DeploymentLimits) -> Self {
        let DeploymentLimits { hedging, cancellation, .. } = *limits;
        Self { max_attempts: limits.max_attempts as usize, hedging, cancellation }
    }

    /// Whether one more attempt may begin now. `after_cancelling`: the one in flight is cancelled first.
    pub fn may_repeat(&self, now: Micros, part: &PartHistory, after_cancelling: bool) -> bool {
        let blocked = part.in_flight && !self.hedging && !after_cancelling;
        !blocked && part.attempts < self.max_attempts && now < self.repeat_by(part)
    }

    /// What to do about an overdue attempt. Without hedging, only a backend that was ejected before and is silent
    /// loses the part: one that still answers, if slowly, does the work in any case, and moving it does it twice.
    pub fn overdue_response(&self, was_ejected: bool, is_silent: bool) -> OverdueResponse {
        if self.hedging {
            OverdueResponse::Hedge
        } else if was_ejected && is_silent && self.cancellation {
            OverdueResponse::Cancel
        } else {
            OverdueResponse::CheckAgain
        }
    }

    /// Until when one more attempt may begin without taking effect a second time: without limit for an
    /// idempotent part, inside the dedup window for one with an idempotency key, and never for another,
    /// unless no attempt can have run.
    pub fn repeat_by(&self, part: &PartHistory) -> Micros {
        match (part.idempotency, part.possibly_executed_at) {
            (Idempotency::Keyed { dedup_window }, Some(first)) => first + dedup_window,
            (Idempotency::NonIdempotent, Some(_)) => 0,
            _ => Micros::MAX,
        }
    }
}

/// How many attempts beyond the first of their parts are allowed in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetSettings,
    /// Whether the deployment states the budget.
    configured: bool,
    recent_retries: VecDeque<Micros>,
}

impl RetryBudget {
    /// Takes the deployment's budget, or the default where there is none.
    pub fn new(configured: Option<&RetryBudgetSettings>) -> Self {
        Self {
            limits: configured.unwrap_or(&DEFAULT_RETRY_BUDGET).clone(),
            configured: configured.is_some(),
            recent_retries: VecDeque::new(),
        }
    }

    /// Length of the window, in microseconds.
    pub fn window(&self) -> Micros {
        self.limits.window
    }

    /// Forgets the retries that have left the window.
    pub fn advance(&mut self, now: Micros) {
        let from = now.saturating_sub(self.limits.window);
        self.recent_retries.retain(|&at| at >= from);
    }

    /// Whether one more attempt of a part draws on the budget: every retry and hedge, except that the default
    /// budget leaves out parts that were only rejected or never sent, while their class sheds no load. No
    /// work is done twice for these, and a wide query needs each of its parts.
    pub fn applies_to(&self, attempts: usize, not_executed: bool, shedding: bool) -> bool {
        let exempt = !self.configured && not_executed && !shedding;
        attempts > 0 && !exempt
    }

    /// Whether one more retry fits, with so many queries and parts that arrived within the window.
    pub fn allows_retry(&self, arrivals: usize) -> bool {
        self.fits(1.0, arrivals)
    }

    /// Whether one more hedge fits.
    pub fn allows_hedge(&self, arrivals: usize) -> bool {
        self.fits(HEDGE_BUDGET_FRACTION, arrivals)
    }

    fn fits(&self, fraction: f64, arrivals: usize) -> bool {
        let budget = self.limits.min_retries + self.limits.retry_ratio * arrivals as f64;
        self.recent_retries.len() as f64 + 1.0 <= fraction * budget
    }

    /// Counts a retry or a hedge that is sent now.
    pub fn record(&mut self, now: Micros) {
        self.recent_retries.push_back(now);
    }

    /// How many instants are kept.
    pub(crate) fn len(&self) -> usize {
        self.recent_retries.len()
    }
}

/// Whether a query seems to bring down the backends that take it: several dropped the connection on its parts,
/// and no part was answered. It may hit a sound query whose backends died of something else; its client may
/// come back.
pub(crate) fn is_poison_query<'a, P: Iterator<Item = &'a Part>>(parts: impl Fn() -> P) -> bool {
    let lost = |attempt: &&Attempt| attempt.outcome == Some(Outcome::ConnectionLost);
    let attempts = parts().flat_map(|part| &part.attempts).filter(lost);
    let backends: BTreeSet<_> = attempts.map(|attempt| attempt.backend).collect();
    backends.len() >= POISON_BACKENDS && answered_weight(parts()) == 0.0
}
