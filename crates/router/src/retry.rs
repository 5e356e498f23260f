//! When one more attempt of a part is allowed, and when never.
//!
//! [`RetryPolicy`] decides whether a repeat is safe and within the deployment's limits, [`RetryBudget`]
//! whether there is budget for it, and `is_poison_query` whether the query seems to crash its backends. When
//! an attempt in flight needs another one is decided in [`crate::overdue`].

use std::collections::{BTreeSet, VecDeque};

use crate::events::Outcome;
use crate::ids::Micros;
use crate::query::{answered_weight, Attempt, Part};
use crate::settings::{DeploymentLimits, Idempotency, RetryBudgetSettings};

/// Retry budget where the settings state none. It is small: while all backends are slow, repeats only add
/// load.
const DEFAULT_RETRY_BUDGET: RetryBudgetSettings =
    RetryBudgetSettings { min_retries: 4.0, retry_ratio: 0.1, window: 5_000_000 };
/// Fraction of the retry budget that hedges may use; the rest is reserved for attempts that failed.
const HEDGE_BUDGET_FRACTION: f64 = 0.5;
/// A query is not retried once this number of backends dropped the connection on its parts.
const POISON_BACKENDS: usize = 2;

/// The attempts of a part, as [`RetryPolicy`] sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartHistory {
    /// Effect of repeating the part.
    pub idempotency: Idempotency,
    /// Number of attempts so far.
    pub attempts: usize,
    /// Whether one of them is in flight.
    pub in_flight: bool,
    /// When the first possibly executed attempt was sent.
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
    /// Send another attempt in parallel.
    Hedge,
    /// Cancel it. The part is sent elsewhere once that is confirmed, so that two are never in flight.
    Cancel,
    /// Keep waiting and check it again later.
    CheckAgain,
}

/// Decides which repeats are safe and within the deployment's limits.
#[derive(Debug)]
pub struct RetryPolicy {
    max_attempts: usize,
    hedging: bool,
    cancellation: bool,
}

impl RetryPolicy {
    /// Creates a policy from the deployment's limits.
    pub fn new(limits: &DeploymentLimits) -> Self {
        let DeploymentLimits { hedging, cancellation, .. } = *limits;
        Self { max_attempts: limits.max_attempts as usize, hedging, cancellation }
    }

    /// Returns whether one more attempt may begin now. `after_cancelling` is set if the one in flight is
    /// cancelled first.
    pub fn may_repeat(&self, now: Micros, part: &PartHistory, after_cancelling: bool) -> bool {
        let blocked = part.in_flight && !self.hedging && !after_cancelling;
        !blocked && part.attempts < self.max_attempts && now < self.repeat_by(part)
    }

    /// Returns what to do about an overdue attempt. Without hedging, the part is moved only if its backend
    /// was ejected before and is unresponsive: a backend that still answers, if slowly, does the work in any
    /// case, and moving the part would do it twice.
    pub fn overdue_response(&self, was_ejected: bool, is_unresponsive: bool) -> OverdueResponse {
        if self.hedging {
            OverdueResponse::Hedge
        } else if was_ejected && is_unresponsive && self.cancellation {
            OverdueResponse::Cancel
        } else {
            OverdueResponse::CheckAgain
        }
    }

    /// Returns the time until which one more attempt may begin without taking effect a second time: no limit
    /// for an idempotent part, the end of the dedup window for one with an idempotency key, and 0 for a
    /// non-idempotent part. There is no limit if no attempt was possibly executed.
    pub fn repeat_by(&self, part: &PartHistory) -> Micros {
        match (part.idempotency, part.possibly_executed_at) {
            (Idempotency::Keyed { dedup_window }, Some(first)) => first + dedup_window,
            (Idempotency::NonIdempotent, Some(_)) => 0,
            _ => Micros::MAX,
        }
    }
}

/// Limits the attempts beyond the first of their parts in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetSettings,
    /// Whether the settings state the budget.
    configured: bool,
    recent_retries: VecDeque<Micros>,
}

impl RetryBudget {
    /// Creates the configured budget, or the default one if there is none.
    pub fn new(configured: Option<&RetryBudgetSettings>) -> Self {
        Self {
            limits: configured.unwrap_or(&DEFAULT_RETRY_BUDGET).clone(),
            configured: configured.is_some(),
            recent_retries: VecDeque::new(),
        }
    }

    /// Returns the length of the window, in microseconds.
    pub fn window(&self) -> Micros {
        self.limits.window
    }

    /// Removes the retries older than the window.
    pub fn advance(&mut self, now: Micros) {
        let from = now.saturating_sub(self.limits.window);
        self.recent_retries.retain(|&at| at >= from);
    }

    /// Returns whether one more attempt of a part draws on the budget. Every retry and hedge does, except
    /// that the default budget exempts parts that were only rejected or never sent, while their class sheds
    /// no load: no work is done twice for these, and a query with many parts needs each of them.
    pub fn applies_to(&self, attempts: usize, not_executed: bool, shedding: bool) -> bool {
        let exempt = !self.configured && not_executed && !shedding;
        attempts > 0 && !exempt
    }

    /// Returns whether the budget allows one more retry. `arrivals` is the number of queries and parts that
    /// arrived within the window.
    pub fn allows_retry(&self, arrivals: usize) -> bool {
        self.fits(1.0, arrivals)
    }

    /// Returns whether the budget allows one more hedge.
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

    /// Returns the number of retries kept.
    pub(crate) fn len(&self) -> usize {
        self.recent_retries.len()
    }
}

/// Returns whether a query seems to crash the backends that process it: several dropped the connection on its
/// parts, and no part was answered. This may also match a query whose backends failed for another reason;
/// its client may retry.
pub(crate) fn is_poison_query<'a, P: Iterator<Item = &'a Part>>(parts: impl Fn() -> P) -> bool {
    let lost = |attempt: &&Attempt| attempt.outcome == Some(Outcome::ConnectionLost);
    let attempts = parts().flat_map(|part| &part.attempts).filter(lost);
    let backends: BTreeSet<_> = attempts.map(|attempt| attempt.backend).collect();
    backends.len() >= POISON_BACKENDS && answered_weight(parts()) == 0.0
}
