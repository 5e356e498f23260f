//! The result of a trial, as a table and as JSON.

use std::fmt::Write;

use mallowgauge_testkit::fault_injection::rules::{Finding, TakeoverCounts};
use serde::Serialize;

/// The result of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Name of the plan.
    pub plan: String,
    /// Steps that failed or timed out, and misbehaving peers whose connection was not closed.
    pub failed: Vec<String>,
    /// Finding for each rule.
    pub rules: Vec<Finding>,
    /// Number of queries that clients sent.
    pub asked: usize,
    /// Number of non-idempotent queries among them, by id.
    pub holds: usize,
    /// Number of kill, stop and link fault steps.
    pub faults: usize,
    /// Number of queries whose instance was killed before it responded.
    pub lost: usize,
    /// Outcomes of the non-idempotent queries among them.
    pub taken_over: TakeoverCounts,
    /// Microseconds from the end of a non-idempotent query's instance to the first frame that another instance sent
    /// for it.
    pub adoptions: Vec<u64>,
    /// Number of responses by status.
    pub answers: std::collections::BTreeMap<u16, usize>,
    /// Duration of the trial in seconds.
    pub seconds: f64,
}

impl Verdict {
    /// Whether every step succeeded and no rule was broken.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.failed.is_empty() && self.rules.iter().all(|rule| rule.broken.is_empty())
    }

    /// Returns the names of the broken rules.
    #[must_use]
    pub fn broken_rules(&self) -> Vec<&'static str> {
        self.rules.iter().filter(|rule| !rule.broken.is_empty()).map(|rule| rule.rule).collect()
    }

    /// Formats the result as a table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        let status = if self.passed() { "PASSED" } else { "FAILED" };
        let _ = writeln!(out, "{status}  {}  ({:.1} s)", self.plan, self.seconds);
        let responses: Vec<String> =
            self.answers.iter().map(|(status, count)| format!("{status}: {count}")).collect();
        let _ = writeln!(
            out,
            "  queries {}, lost with their instance {}, responses {}",
            self.asked,
            self.lost,
            responses.join(", ")
        );
        let TakeoverCounts { again, known, served, refused } = self.taken_over;
        if again > 0 {
            let _ = writeln!(
                out,
                "  lost non-idempotent queries retried {again}, outcome known {known}: served {served}, not executed {refused}"
            );
        }
        for Finding { rule, looked_at, broken } in &self.rules {
            let state = if broken.is_empty() { "kept" } else { "BROKEN" };
            let _ = writeln!(out, "  {rule:<24} {looked_at:>7} checked  {state}");
            for violation in broken.iter().take(5) {
                let _ = writeln!(out, "      {violation}");
            }
            if broken.len() > 5 {
                let _ = writeln!(out, "      and {} more", broken.len() - 5);
            }
        }
        for step in &self.failed {
            let _ = writeln!(out, "  {step}");
        }
        out
    }
}
