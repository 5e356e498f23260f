//! Measurements: failure detection times, the traffic of an idle cluster, false suspicions, and the cost per query of
//! running in a cluster.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use mallowgauge_testkit::fault_injection::clients;
use mallowgauge_testkit::fault_injection::relay::Fault;

use crate::fleet::{ClusterConfig, TestCluster};
use crate::plan::PeerState;

/// Options of the `measure` subcommand.
#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Cluster sizes.
    #[arg(long, value_delimiter = ',', default_value = "3,5,9")]
    sizes: Vec<usize>,
    /// Number of losses of each kind.
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// Seconds over which the traffic of the idle cluster is measured.
    #[arg(long, default_value_t = 10)]
    idle: u64,
    /// Seconds with all cores busy, over which false suspicions are counted.
    #[arg(long, default_value_t = 30)]
    busy: u64,
}

/// Options of the `cost` subcommand.
#[derive(clap::Args, Clone, Debug)]
pub struct CostOptions {
    /// Number of rounds; each runs every deployment once.
    #[arg(long, default_value_t = 7)]
    rounds: usize,
    /// Queries in each run.
    #[arg(long, default_value_t = 2000)]
    queries: u64,
    /// Number of concurrent clients; each sends one query after the other.
    #[arg(long, default_value_t = 1)]
    clients: u64,
}

/// Deployment whose cost is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DeploymentMode {
    Standalone,
    Clustered,
    ClusteredWithTakeover,
}

/// Modes in the order of the columns that [`cost`] prints.
const DEPLOYMENT_MODES: [DeploymentMode; 3] =
    [DeploymentMode::Standalone, DeploymentMode::Clustered, DeploymentMode::ClusteredWithTakeover];

fn cluster_config(instances: usize, mode: DeploymentMode) -> ClusterConfig {
    ClusterConfig {
        instances,
        backends: 3,
        descriptors: 512,
        enforced_descriptors: 512,
        memory_mb: 64,
        list_versions: vec![1; instances],
        clustered: mode != DeploymentMode::Standalone,
        takeover: mode == DeploymentMode::ClusteredWithTakeover,
        seed: 11,
    }
}

/// Returns the current Unix time in microseconds.
fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Waits until all instances are linked to each other and consider each other alive.
async fn wait_until_linked(cluster: &TestCluster) -> Result<(), String> {
    let names = cluster.names.clone();
    let linked = cluster.logs.wait_until(|timeline| {
        let pairs = names.iter().flat_map(|a| names.iter().map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| a != b)
            .all(|(a, b)| timeline.is_linked(a, b) && timeline.peer_state(a, b) == Some(PeerState::Alive))
    });
    if linked.await {
        Ok(())
    } else {
        Err("the instances did not all link to each other".to_owned())
    }
}

/// Records how long each other instance took to log the state, or a worse one, for the lost instance.
async fn record_detection_times(
    cluster: &TestCluster,
    lost: usize,
    since: u64,
    state: PeerState,
    times: &mut Histogram<u64>,
) -> Result<(), String> {
    let name = cluster.names[lost].clone();
    let others = cluster.names.len() - 1;
    let mut detection_times = Vec::new();
    let all_detected = cluster.logs.wait_until(|timeline| {
        detection_times.clear();
        for observer in cluster.names.iter().filter(|observer| **observer != name) {
            // An instance that learns of the loss after the peer is declared dead never logs it as suspect.
            let first = timeline.observed_states.iter().find(|change| {
                change.observer == *observer
                    && change.peer == name
                    && change.time >= since
                    && change.state >= state
                    && change.state != PeerState::Left
            });
            detection_times.extend(first.map(|change| change.time - since));
        }
        detection_times.len() == others
    });
    if !all_detected.await {
        return Err(format!("not all instances reported {name} as {}", state.log_name()));
    }
    detection_times.iter().for_each(|&time| times.saturating_record(time));
    Ok(())
}

/// Formats quantiles of a histogram of microseconds as a row of a table.
pub(crate) fn summary_row(title: &str, histogram: &Histogram<u64>) -> String {
    let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    format!(
        "{title:<28} p50 {:>8.1} ms   p99 {:>8.1} ms   max {:>8.1} ms   of {}",
        millis(0.5),
        millis(0.99),
        histogram.max() as f64 / 1000.0,
        histogram.len()
    )
}

/// Creates a histogram for times from 1 microsecond to 2 minutes.
pub(crate) fn new_histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 120_000_000, 3).map_err(|e| e.to_string())
}

/// Measures clusters of the given sizes and prints the results.
///
/// # Errors
/// Returns an error if a cluster does not start, or its instances do not link to each other again after a loss.
pub async fn run(options: &Options) -> Result<(), String> {
    for &size in &options.sizes {
        println!("{size} instances");
        let mut cluster = TestCluster::start(cluster_config(size, DeploymentMode::Clustered))
            .await
            .map_err(|e| e.to_string())?;
        wait_until_linked(&cluster).await?;
        measure_idle_traffic(&cluster, options.idle).await;
        let (mut to_suspect, mut to_dead) = (
            [new_histogram()?, new_histogram()?, new_histogram()?],
            [new_histogram()?, new_histogram()?, new_histogram()?],
        );
        for round in 0..options.rounds {
            for (kind, (to_suspect, to_dead)) in to_suspect.iter_mut().zip(&mut to_dead).enumerate() {
                let lost = (round + kind) % size;
                let since = unix_micros();
                match kind {
                    0 => {
                        cluster.instance(lost).into_iter().for_each(|instance| instance.signal(libc::SIGKILL))
                    }
                    1 => {
                        cluster.instance(lost).into_iter().for_each(|instance| instance.signal(libc::SIGSTOP))
                    }
                    _ => set_isolated(&cluster, lost, true),
                }
                record_detection_times(&cluster, lost, since, PeerState::Doubted, to_suspect).await?;
                record_detection_times(&cluster, lost, since, PeerState::Gone, to_dead).await?;
                match kind {
                    0 => {
                        if let Some(mut instance) = cluster.instances[lost].take() {
                            instance.child.wait().await.map_err(|e| e.to_string())?;
                        }
                        cluster.start_instance(lost).await.map_err(|e| e.to_string())?;
                    }
                    1 => {
                        cluster.instance(lost).into_iter().for_each(|instance| instance.signal(libc::SIGCONT))
                    }
                    _ => set_isolated(&cluster, lost, false),
                }
                wait_until_linked(&cluster).await?;
                // Lets the load that the loss caused pass before the next one.
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        }
        for (kind, (to_suspect, to_dead)) in
            ["kill", "stop", "cut"].iter().zip(to_suspect.iter().zip(&to_dead))
        {
            println!("  {}", summary_row(&format!("{kind} to suspect"), to_suspect));
            println!("  {}", summary_row(&format!("{kind} to dead"), to_dead));
        }
        measure_false_suspicions(&cluster, options.busy).await;
    }
    Ok(())
}

/// Cuts all links of an instance in both directions, or restores them.
fn set_isolated(cluster: &TestCluster, lost: usize, isolated: bool) {
    let fault = Fault { cut: isolated, ..Fault::default() };
    for other in (0..cluster.names.len()).filter(|other| *other != lost) {
        cluster.relays.set_fault(lost, other, &fault);
        cluster.relays.set_fault(other, lost, &fault);
    }
}

/// Measures the traffic between the instances of an idle cluster.
async fn measure_idle_traffic(cluster: &TestCluster, seconds: u64) {
    let sent =
        || -> Vec<(u64, u64)> { (0..cluster.names.len()).map(|index| cluster.relays.sent(index)).collect() };
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = sent();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = sent();
    let instance_seconds = (cluster.names.len() as u64 * seconds) as f64;
    let messages: u64 = after.iter().zip(&before).map(|(a, b)| a.0 - b.0).sum();
    let bytes: u64 = after.iter().zip(&before).map(|(a, b)| a.1 - b.1).sum();
    let (messages, bytes) = (messages as f64 / instance_seconds, bytes as f64 / instance_seconds);
    println!("  idle: {messages:.1} messages and {bytes:.0} bytes sent per second and instance");
}

/// Counts suspicions of running instances while every core is busy with other work.
async fn measure_false_suspicions(cluster: &TestCluster, seconds: u64) {
    let stop = Arc::new(AtomicBool::new(false));
    let cores = std::thread::available_parallelism().map_or(4, std::num::NonZero::get);
    let busy_threads: Vec<_> = (0..2 * cores)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut number = 1_u64;
                while !stop.load(Ordering::Relaxed) {
                    number = std::hint::black_box(number.wrapping_mul(6_364_136_223_846_793_005) + 1);
                }
            })
        })
        .collect();
    let before = cluster.logs.timeline().observed_states.len();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    stop.store(true, Ordering::Relaxed);
    busy_threads.into_iter().for_each(|thread| drop(thread.join()));
    let timeline = cluster.logs.timeline();
    let count = |state: PeerState| {
        timeline.observed_states[before..].iter().filter(|change| change.state == state).count()
    };
    let hours = seconds as f64 / 3600.0;
    println!(
        "  busy ({} threads on {cores} cores, {seconds} s): {} suspect, {} dead, {:.0} false suspicions per hour in the whole cluster",
        2 * cores,
        count(PeerState::Doubted),
        count(PeerState::Gone),
        count(PeerState::Doubted) as f64 / hours
    );
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_ns: u64,
    /// Read and write system calls.
    io_calls: u64,
    voluntary_switches: u64,
    memory_kb: u64,
}

fn usage(pid: u32) -> Option<Usage> {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).ok();
    let field = |text: &str, key: &str| -> Option<u64> {
        let line = text.lines().find(|line| line.starts_with(key))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    let (io, status) = (read("io")?, read("status")?);
    Some(Usage {
        cpu_ns: read("schedstat")?.split_whitespace().next()?.parse().ok()?,
        io_calls: field(&io, "syscr:")? + field(&io, "syscw:")?,
        voluntary_switches: field(&status, "voluntary_ctxt_switches:")?,
        memory_kb: field(&status, "VmRSS:")?,
    })
}

/// Metrics of a run: averages per query, memory, and median response times.
const METRICS: [&str; 6] = [
    "CPU per query, us",
    "reads/writes per query",
    "waits per query",
    "memory, KB",
    "idempotent, median, us",
    "non-idempotent, median, us",
];

/// Sends all queries. Returns the response times of idempotent and of non-idempotent queries, in microseconds.
async fn run_queries(cluster: &TestCluster, options: &CostOptions) -> Result<[Vec<f64>; 2], String> {
    let addr = cluster.instance(0).ok_or("the first instance is not running")?.http;
    let mut tasks = tokio::task::JoinSet::new();
    for client in 0..options.clients.max(1) {
        let (recorder, count, step) =
            (cluster.recorder.clone(), options.queries, options.clients.max(1) as usize);
        tasks.spawn(async move {
            let mut times = [Vec::new(), Vec::new()];
            for number in (client..count).step_by(step) {
                let (query, non_idempotent) = clients::query(format!("c-{number}"), number, 3_000_000);
                let is_report = query.kind == "sales-report";
                let started = std::time::Instant::now();
                let status =
                    clients::send_query(addr, "n1".to_owned(), query, non_idempotent, recorder.clone()).await;
                if status == Some(200) && !is_report {
                    times[usize::from(non_idempotent)].push(started.elapsed().as_micros() as f64);
                }
            }
            times
        });
    }
    let mut all = [Vec::new(), Vec::new()];
    while let Some(times) = tasks.join_next().await {
        let times = times.map_err(|e| e.to_string())?;
        for (all, times) in all.iter_mut().zip(times) {
            all.extend(times);
        }
    }
    Ok(all)
}

/// Returns the median (the upper one of an even number of values), or 0 without values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Runs a cluster in the given mode once and returns the [`METRICS`] of its first instance.
async fn measure_once(mode: DeploymentMode, options: &CostOptions) -> Result<[f64; 6], String> {
    let cluster = TestCluster::start(cluster_config(3, mode)).await.map_err(|e| e.to_string())?;
    if mode != DeploymentMode::Standalone {
        wait_until_linked(&cluster).await?;
    }
    // All instances start at once, and their acceptors do not reply before this time has passed.
    let startup_ms =
        if mode == DeploymentMode::ClusteredWithTakeover { 2 * crate::fleet::RETRY_LIFETIME_MS } else { 0 };
    tokio::time::sleep(Duration::from_millis(500 + startup_ms)).await;
    let pid = cluster
        .instance(0)
        .and_then(|instance| instance.child.id())
        .ok_or("the first instance is not running")?;
    let before = usage(pid).ok_or("resource usage of the process is not readable")?;
    let [idempotent_times, non_idempotent_times] = run_queries(&cluster, options).await?;
    let after = usage(pid).ok_or("resource usage of the process is not readable")?;
    let per_query = |before: u64, after: u64| (after - before) as f64 / options.queries as f64;
    Ok([
        per_query(before.cpu_ns, after.cpu_ns) / 1000.0,
        per_query(before.io_calls, after.io_calls),
        per_query(before.voluntary_switches, after.voluntary_switches),
        after.memory_kb as f64,
        median(idempotent_times),
        median(non_idempotent_times),
    ])
}

/// Compares an instance without the section `fleet`, with it, and with takeover enabled as well.
///
/// # Errors
/// Returns an error if a cluster does not start.
pub async fn cost(options: &CostOptions) -> Result<(), String> {
    let mut rounds: Vec<[[f64; 6]; 3]> = Vec::new();
    for round in 0..options.rounds {
        let mut round_metrics = [[0.0; 6]; 3];
        // The order rotates, so that no mode always runs on the warmer machine.
        for offset in 0..DEPLOYMENT_MODES.len() {
            let index = (offset + round) % DEPLOYMENT_MODES.len();
            round_metrics[index] = measure_once(DEPLOYMENT_MODES[index], options).await?;
        }
        rounds.push(round_metrics);
    }
    println!(
        "one of three instances, {} queries by {} clients, {} rounds; differences are medians over the rounds",
        options.queries, options.clients, options.rounds
    );
    for (metric, title) in METRICS.iter().enumerate() {
        let value = |mode: usize| median(rounds.iter().map(|round| round[mode][metric]).collect());
        let increase_percent = |mode: usize| {
            100.0 * median(rounds.iter().map(|round| round[mode][metric] / round[0][metric] - 1.0).collect())
        };
        println!(
            "  {title:<26} standalone {:>9.2}   clustered {:>9.2} ({:+.1}%)   takeover {:>9.2} ({:+.1}%)",
            value(0),
            value(1),
            increase_percent(1),
            value(2),
            increase_percent(2)
        );
    }
    Ok(())
}
