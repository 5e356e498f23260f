//! Runs many random plans with repeated faults and sums up their results.

use std::collections::BTreeMap;

use mallowgauge_testkit::fault_injection::rules::TakeoverCounts;
use tokio::task::JoinSet;

use crate::measure::{new_histogram, summary_row};
use crate::plan::Plan;
use crate::trial;
use crate::verdict::Verdict;

/// Options of the `storm` subcommand.
#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Minimum number of faults (kills, stops, link faults) over all plans.
    #[arg(long, default_value_t = 2000)]
    faults: usize,
    /// Faults in each plan.
    #[arg(long, default_value_t = 50)]
    each: usize,
    /// Seed of the first plan.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of instances.
    #[arg(long, default_value_t = 5)]
    processes: usize,
    /// Number of plans to run in parallel.
    #[arg(long, default_value_t = 3)]
    jobs: usize,
    /// Runs each plan also without takeover, for comparison.
    #[arg(long)]
    compare: bool,
    /// Writes the log lines of all instances, sorted by time, to this directory, one file per plan.
    #[arg(long)]
    timeline: Option<std::path::PathBuf>,
    /// The program has an injected fault: succeeds once a rule is broken, and fails if none is.
    #[arg(long)]
    caught: bool,
    /// Also runs plans until this many non-idempotent queries were sent.
    #[arg(long, default_value_t = 0)]
    holds: usize,
}

/// Totals over the results of several plans.
#[derive(Default)]
struct Totals {
    plans: usize,
    faults: usize,
    queries: usize,
    non_idempotent_queries: usize,
    lost_queries: usize,
    takeovers: TakeoverCounts,
    takeover_times_us: Vec<u64>,
    checks: BTreeMap<&'static str, usize>,
    failed_plans: Vec<String>,
}

impl Totals {
    fn add(&mut self, verdict: &Verdict) {
        self.plans += 1;
        self.faults += verdict.faults;
        self.queries += verdict.asked;
        self.non_idempotent_queries += verdict.holds;
        self.lost_queries += verdict.lost;
        let TakeoverCounts { again, known, served, refused } = verdict.taken_over;
        self.takeovers.again += again;
        self.takeovers.known += known;
        self.takeovers.served += served;
        self.takeovers.refused += refused;
        self.takeover_times_us.extend(&verdict.adoptions);
        for rule in &verdict.rules {
            *self.checks.entry(rule.rule).or_default() += rule.looked_at;
        }
        if !verdict.passed() {
            self.failed_plans.push(verdict.plan.clone());
        }
    }

    fn print(&self, title: &str) -> Result<(), String> {
        let TakeoverCounts { again, known, served, refused } = self.takeovers;
        println!(
            "{title}: {} plans, {} faults, {} queries, {} non-idempotent, {} queries lost with their instance",
            self.plans, self.faults, self.queries, self.non_idempotent_queries, self.lost_queries
        );
        println!("  lost non-idempotent queries retried {again}, outcome known {known}: served {served}, not executed {refused}");
        let mut times = new_histogram()?;
        for time in &self.takeover_times_us {
            times.record(*time).map_err(|e| e.to_string())?;
        }
        println!("  {}", summary_row("end to first takeover frame", &times));
        for (rule, checks) in &self.checks {
            println!("  {rule:<28} {checks} checked");
        }
        println!("  plans that failed: {:?}", self.failed_plans);
        Ok(())
    }
}

/// Runs plans until enough faults were injected and enough non-idempotent queries sent.
///
/// Returns whether all plans passed; with the `caught` option, whether a rule was broken.
///
/// # Errors
/// Returns an error if the instances cannot be started.
pub async fn run(options: &Options) -> Result<bool, String> {
    let (mut with_takeover, mut without_takeover) = (Totals::default(), Totals::default());
    let mut tasks = JoinSet::new();
    let mut seed = options.seed;
    let mut planned_faults = 0;
    loop {
        while tasks.len() < options.jobs.max(1)
            && (planned_faults < options.faults || with_takeover.non_idempotent_queries < options.holds)
        {
            let (processes, each, plan_seed) = (options.processes, options.each, seed);
            (seed, planned_faults) = (seed + 1, planned_faults + each);
            let compare = options.compare;
            tasks.spawn(async move {
                let mut outcomes = Vec::new();
                // The order alternates, so that neither variant always runs on the warmer machine.
                let variants = if plan_seed % 2 == 0 { [true, false] } else { [false, true] };
                for takeover in variants.into_iter().filter(|takeover| *takeover || compare) {
                    let plan = Plan::repeated_faults(plan_seed, processes, each, takeover);
                    outcomes.push((takeover, trial::run(&plan, plan_seed).await));
                }
                outcomes
            });
        }
        let Some(finished) = tasks.join_next().await else { break };
        for (takeover, outcome) in finished.map_err(|e| e.to_string())? {
            let outcome = outcome?;
            let verdict = &outcome.verdict;
            print!("{}", verdict.table());
            if let Some(directory) = &options.timeline {
                outcome.write_timeline(directory)?;
            }
            if options.caught && !verdict.broken_rules().is_empty() {
                println!("caught by: {}", verdict.broken_rules().join(", "));
                return Ok(true);
            }
            if takeover { &mut with_takeover } else { &mut without_takeover }.add(verdict);
        }
    }
    with_takeover.print("with takeover")?;
    if options.compare {
        without_takeover.print("without takeover")?;
    }
    Ok(!options.caught && with_takeover.failed_plans.is_empty() && without_takeover.failed_plans.is_empty())
}
