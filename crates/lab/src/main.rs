//! `mallowgauge-lab`: fault injection trials and measurements with several instances of the program.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use mallowgauge_lab::measure;
use mallowgauge_lab::plan::Plan;
use mallowgauge_lab::storm;
use mallowgauge_lab::trial::{self, Outcome};

/// Trials and measurements with real processes of the program, on loopback. `MALLOWGAUGE` is the path of the program;
/// by default it is in the same directory as this one.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    subject: Subject,
}

#[derive(Subcommand)]
enum Subject {
    /// Trials and measurements with several linked instances.
    #[command(subcommand)]
    Fleet(FleetCommand),
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Runs plans, one after the other.
    Run {
        /// Plan files, or directories of plan files.
        #[arg(required = true)]
        plans: Vec<PathBuf>,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Runs the random plans of one or more seeds.
    Replay {
        /// The first seed.
        seed: u64,
        /// Number of consecutive seeds.
        #[arg(long, default_value_t = 1)]
        count: u64,
        /// Number of instances.
        #[arg(long, default_value_t = 5)]
        processes: usize,
        /// Enables takeover; clients retry non-idempotent queries.
        #[arg(long)]
        handover: bool,
        /// Number of plans to run in parallel.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        #[command(flatten)]
        output: OutputOptions,
    },
    /// Reduces a failing plan to a smaller one that still fails, and prints it.
    Shrink {
        /// A plan file, or a seed.
        plan: String,
        /// Number of instances, for a seed.
        #[arg(long, default_value_t = 5)]
        processes: usize,
        /// Number of runs after which a smaller plan counts as passing.
        #[arg(long, default_value_t = 2)]
        tries: usize,
    },
    /// Lists plan files with their descriptions.
    List {
        /// Directory of the plan files.
        #[arg(default_value = "trials")]
        folder: PathBuf,
    },
    /// Prints the random plan of a seed.
    Show {
        /// The seed.
        seed: u64,
        /// Number of instances.
        #[arg(long, default_value_t = 5)]
        processes: usize,
    },
    /// Prints the JSON schema of plan files.
    Schema,
    /// Measures failure detection times, the traffic of an idle cluster, and false suspicions on a busy machine.
    Measure(measure::Options),
    /// Kills, stops and isolates instances many times while non-idempotent queries are open, and checks their
    /// executions at the backends.
    Storm(storm::Options),
    /// Measures the cost per query of one instance with and without the section `fleet`.
    Cost(measure::CostOptions),
}

#[derive(clap::Args, Clone)]
struct OutputOptions {
    /// Prints verdicts as JSON, one per line.
    #[arg(long)]
    json: bool,
    /// Writes the log lines of all instances, sorted by time, to this directory, one file per plan.
    #[arg(long)]
    timeline: Option<PathBuf>,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).init();
    let Arguments { subject: Subject::Fleet(command) } = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(run(command)));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: FleetCommand) -> Result<bool, String> {
    match command {
        FleetCommand::Run { plans, output } => {
            let mut passed = true;
            for path in plan_files(&plans)? {
                passed &= output.report(&trial::run(&read_plan(&path)?, 1).await?)?;
            }
            Ok(passed)
        }
        FleetCommand::Replay { seed, count, processes, handover, jobs, output } => {
            let mut seeds = seed..seed + count;
            let mut tasks = tokio::task::JoinSet::new();
            let (mut passed, mut failed) = (true, Vec::new());
            loop {
                while tasks.len() < jobs.max(1) {
                    let Some(seed) = seeds.next() else { break };
                    tasks.spawn(async move {
                        (seed, trial::run(&Plan::random(seed, processes, handover), seed).await)
                    });
                }
                let Some(finished) = tasks.join_next().await else { break };
                let (seed, outcome) = finished.map_err(|e| e.to_string())?;
                if !output.report(&outcome?)? {
                    passed = false;
                    failed.push(seed);
                }
            }
            if count > 1 {
                println!("{count} seeds, {} failed {failed:?}", failed.len());
            }
            Ok(passed)
        }
        FleetCommand::Shrink { plan, processes, tries } => shrink(&plan, processes, tries).await,
        FleetCommand::List { folder } => {
            for path in plan_files(&[folder])? {
                let plan = read_plan(&path)?;
                println!("{:<44} {} instances  {}", path.display(), plan.processes, plan.name);
            }
            Ok(true)
        }
        FleetCommand::Show { seed, processes } => {
            println!("{}", to_pretty_json(&Plan::random(seed, processes, false))?);
            Ok(true)
        }
        FleetCommand::Schema => {
            let schema = schemars::schema_for!(Plan);
            println!("{}", serde_json::to_string_pretty(&schema).map_err(|e| e.to_string())?);
            Ok(true)
        }
        FleetCommand::Measure(options) => measure::run(&options).await.map(|()| true),
        FleetCommand::Storm(options) => storm::run(&options).await,
        FleetCommand::Cost(options) => measure::cost(&options).await.map(|()| true),
    }
}

impl OutputOptions {
    /// Prints the verdict, writes the timeline if requested, and returns whether the trial passed.
    fn report(&self, outcome: &Outcome) -> Result<bool, String> {
        let verdict = &outcome.verdict;
        if self.json {
            println!("{}", serde_json::to_string(verdict).map_err(|e| e.to_string())?);
        } else {
            print!("{}", verdict.table());
        }
        self.timeline.iter().try_for_each(|directory| outcome.write_timeline(directory))?;
        Ok(verdict.passed())
    }
}

fn to_pretty_json(plan: &Plan) -> Result<String, String> {
    serde_json::to_string_pretty(plan).map_err(|e| e.to_string())
}

fn read_plan(path: &Path) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Plan::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Returns the given plan files, with directories replaced by the plan files in them, sorted.
fn plan_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let mut found: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
            found.retain(|path| path.extension().is_some_and(|extension| extension == "json"));
            found.sort();
            files.extend(found);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

/// Replaces a failing plan by a smaller one that fails, as long as there is one, and prints the last.
async fn shrink(plan: &str, processes: usize, tries: usize) -> Result<bool, String> {
    let (mut plan, seed) = match plan.parse::<u64>() {
        Ok(seed) => (Plan::random(seed, processes, false), seed),
        Err(_) => (read_plan(Path::new(plan))?, 1),
    };
    if trial::run(&plan, seed).await?.verdict.passed() {
        println!("the plan passes");
        return Ok(false);
    }
    'shrinking: loop {
        for candidate in plan.reductions() {
            for _ in 0..tries.max(1) {
                if !trial::run(&candidate, seed).await?.verdict.passed() {
                    tracing::info!("still fails with {} steps", candidate.steps.len());
                    plan = candidate;
                    continue 'shrinking;
                }
            }
        }
        break;
    }
    println!("{}", to_pretty_json(&plan)?);
    Ok(true)
}
