//! What came of a trial, for people and for machines.

use std::fmt::Write;

use mallowgauge_testkit::fault_injection::rules::{Finding, TakeoverCounts};
use serde::Serialize;

/// The outcome of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The plan's name.
    pub plan: String,
    /// Steps whose outcome did not come, or that could not be done.
    pub failed: Vec<String>,
    /// The rules.
    pub rules: Vec<Finding>,
    /// Queries asked.
    pub asked: usize,
    /// Holds among them, by id.
    pub holds: usize,
    /// Kills, halts and faults on links.
    pub faults: usize,
    /// Queries whose gatherer was killed before it answered.
    pub lost: usize,
    /// What became of the holds among them.
    pub taken_over: TakeoverCounts,
    /// Microseconds from the end of a hold's gatherer to another one's first frame for it.
    pub adoptions: Vec<u64>,
    /// Answers, by status.
    pub answers: std::collections::BTreeMap<u16, usize>,
    /// Seconds that it took.
    pub seconds: f64,
}

impl Verdict {
    /// Every step came out and no rule was broken.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.failed.is_empty() && self.rules.iter().all(|rule| rule.broken.is_empty())
    }

    /// The rules that were broken, by name.
    #[must_use]
    pub fn broken(&self) -> Vec<&'static str> {
        self.rules.iter().filter(|rule| !rule.broken.is_empty()).map(|rule| rule.rule).collect()
    }

    /// A table for people.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        let word = if self.passed() { "PASSED" } else { "FAILED" };
        let _ = writeln!(out, "{word}  {}  ({:.1} s)", self.plan, self.seconds);
        let answers: Vec<String> = self.answers.iter().map(|(status, n)| format!("{status}: {n}")).collect();
        let _ = writeln!(
            out,
            "  queries {}, lost with their gatherer {}, answers {}",
            self.asked,
            self.lost,
            answers.join(", ")
        );
        let TakeoverCounts { again, known, served, refused } = self.taken_over;
        if again > 0 {
            let _ = writeln!(
                out,
                "  lost holds asked again {again}, told how they ended {known}: served {served}, never ran {refused}"
            );
        }
        for Finding { rule, looked_at, broken } in &self.rules {
            let state = if broken.is_empty() { "kept" } else { "BROKEN" };
            let _ = writeln!(out, "  {rule:<24} {looked_at:>7} looked at  {state}");
            for one in broken.iter().take(5) {
                let _ = writeln!(out, "      {one}");
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
