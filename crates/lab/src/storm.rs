//! Storms: one plan of many faults after the other, and what came of all of them together.

use std::collections::BTreeMap;

use mallowgauge_testkit::fault_injection::rules::TakeoverCounts;
use tokio::task::JoinSet;

use crate::measure::{histogram, row};
use crate::plan::Plan;
use crate::trial;
use crate::verdict::Verdict;

/// What is played.
#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Kills, halts and cuts in all.
    #[arg(long, default_value_t = 2000)]
    faults: usize,
    /// In each plan.
    #[arg(long, default_value_t = 50)]
    each: usize,
    /// The first plan's seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many processes.
    #[arg(long, default_value_t = 5)]
    processes: usize,
    /// Plays so many at a time.
    #[arg(long, default_value_t = 3)]
    jobs: usize,
    /// Plays each plan once more without the takeover, in turn.
    #[arg(long)]
    compare: bool,
    /// Writes the lines of all processes by time into this folder, one file a plan.
    #[arg(long)]
    timeline: Option<std::path::PathBuf>,
    /// A fault is planted in the program: ends well once a rule was broken, and ill if none was.
    #[arg(long)]
    caught: bool,
    /// Goes on until so many holds were asked, too.
    #[arg(long, default_value_t = 0)]
    holds: usize,
}

/// What came of several plans.
#[derive(Default)]
struct Sum {
    plans: usize,
    faults: usize,
    asked: usize,
    holds: usize,
    lost: usize,
    taken: TakeoverCounts,
    adoptions: Vec<u64>,
    looked_at: BTreeMap<&'static str, usize>,
    failed: Vec<String>,
}

impl Sum {
    fn add(&mut self, verdict: &Verdict) {
        self.plans += 1;
        self.faults += verdict.faults;
        self.asked += verdict.asked;
        self.holds += verdict.holds;
        self.lost += verdict.lost;
        let TakeoverCounts { again, known, served, refused } = verdict.taken_over;
        self.taken.again += again;
        self.taken.known += known;
        self.taken.served += served;
        self.taken.refused += refused;
        self.adoptions.extend(&verdict.adoptions);
        for rule in &verdict.rules {
            *self.looked_at.entry(rule.rule).or_default() += rule.looked_at;
        }
        if !verdict.passed() {
            self.failed.push(verdict.plan.clone());
        }
    }

    fn print(&self, what: &str) -> Result<(), String> {
        let TakeoverCounts { again, known, served, refused } = self.taken;
        println!(
            "{what}: {} plans, {} faults, {} asks, {} holds, {} asks lost with their gatherer",
            self.plans, self.faults, self.asked, self.holds, self.lost
        );
        println!("  lost holds asked again {again}, told how they ended {known}: served {served}, never ran {refused}");
        let mut times = histogram()?;
        for time in &self.adoptions {
            times.record(*time).map_err(|e| e.to_string())?;
        }
        println!("  {}", row("end to another's first frame", &times));
        for (rule, looked_at) in &self.looked_at {
            println!("  {rule:<28} {looked_at} looked at");
        }
        println!("  plans that failed: {:?}", self.failed);
        Ok(())
    }
}

/// Plays storms until there were faults and holds enough.
///
/// # Errors
/// The processes could not be started.
pub async fn run(options: &Options) -> Result<bool, String> {
    let (mut with, mut without) = (Sum::default(), Sum::default());
    let mut tasks = JoinSet::new();
    let mut seed = options.seed;
    let mut begun = 0;
    loop {
        while tasks.len() < options.jobs.max(1) && (begun < options.faults || with.holds < options.holds) {
            let (processes, each, now) = (options.processes, options.each, seed);
            (seed, begun) = (seed + 1, begun + each);
            let compare = options.compare;
            tasks.spawn(async move {
                let mut came = Vec::new();
                // Which of the two goes first changes, so that neither has the warmer machine.
                let ways = if now % 2 == 0 { [true, false] } else { [false, true] };
                for handover in ways.into_iter().filter(|handover| *handover || compare) {
                    came.push((
                        handover,
                        trial::run(&Plan::storm(now, processes, each, handover), now).await,
                    ));
                }
                came
            });
        }
        let Some(done) = tasks.join_next().await else { break };
        for (handover, outcome) in done.map_err(|e| e.to_string())? {
            let outcome = outcome?;
            let verdict = &outcome.verdict;
            print!("{}", verdict.table());
            if let Some(folder) = &options.timeline {
                outcome.write(folder)?;
            }
            if options.caught && !verdict.broken().is_empty() {
                println!("caught by: {}", verdict.broken().join(", "));
                return Ok(true);
            }
            if handover { &mut with } else { &mut without }.add(verdict);
        }
    }
    with.print("with handover")?;
    if options.compare {
        without.print("without")?;
    }
    Ok(!options.caught && with.failed.is_empty() && without.failed.is_empty())
}
