//! Runs a plan with real processes and checks the recorded history against the rules.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mallowgauge_testkit::fault_injection::misbehaving_peers::{self, PeerIdentity};
use mallowgauge_testkit::fault_injection::rules::{self, ClientResult, Sample};
use mallowgauge_testkit::fault_injection::{clients, lock_ignoring_poison, Recorder};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::fleet::{ClusterConfig, TestCluster, WAIT_TIMEOUT};
use crate::plan::{
    ExpectedState, InjectedFault, InstanceSelector, LinkFault, LogLine, MisbehavingPeer, PeerState, Plan,
    Step,
};
use crate::timeline::{Entry, Timeline};
use crate::verdict::Verdict;

/// Timeout of a client, in microseconds.
const CLIENT_TIMEOUT_US: u64 = 3_000_000;
/// Tolerance for responses after the client's timeout, in microseconds; the machine may be busy.
const RESPONSE_TOLERANCE_US: u64 = 5_000_000;
/// Time after which no new part may go to a draining backend, in microseconds: the protocol's 250 ms and 50 ms for
/// sockets, doubled for a busy machine.
const DRAIN_TOLERANCE_US: u64 = 600_000;
/// Time for which a started backend counts as warming up, in microseconds.
const WARM_UP_US: u64 = 5_000_000;

/// The verdict of a trial and all log lines.
pub struct Outcome {
    /// The verdict.
    pub verdict: Verdict,
    /// Log lines of all instances, sorted by time.
    pub timeline: Vec<Entry>,
}

impl Outcome {
    /// Writes the timeline to a file with the plan's name in a directory, one JSON object per line.
    ///
    /// # Errors
    /// Returns an error if the directory or the file cannot be written.
    pub fn write_timeline(&self, directory: &std::path::Path) -> Result<(), String> {
        std::fs::create_dir_all(directory).map_err(|e| e.to_string())?;
        let mut lines = String::new();
        for entry in &self.timeline {
            lines += &serde_json::to_string(entry).map_err(|e| e.to_string())?;
            lines.push('\n');
        }
        let file_name = self.verdict.plan.replace(|c: char| !c.is_alphanumeric(), "-") + ".jsonl";
        std::fs::write(directory.join(file_name), lines).map_err(|e| e.to_string())
    }
}

/// Runs a plan.
///
/// # Errors
/// Returns an error if the cluster cannot be started.
pub async fn run(plan: &Plan, seed: u64) -> Result<Outcome, String> {
    let started = std::time::Instant::now();
    let mut list_versions = vec![1; plan.processes];
    for list in &plan.lists {
        for index in plan.indices(&InstanceSelector::One(list.process.clone()))? {
            list_versions[index] = list.version;
        }
    }
    let limits_tightened = plan.planted == Some(InjectedFault::TightLimits);
    let config = ClusterConfig {
        instances: plan.processes,
        backends: plan.hosts,
        descriptors: plan.limits.descriptors,
        enforced_descriptors: plan.limits.held_to.unwrap_or(plan.limits.descriptors),
        memory_mb: plan.limits.memory_mb,
        list_versions,
        clustered: true,
        takeover: plan.handover,
        seed,
    };
    let cluster = TestCluster::start(config).await.map_err(|e| e.to_string())?;
    let service_time = Duration::from_millis(plan.work_ms);
    cluster
        .backends
        .iter()
        .for_each(|backend| backend.update(|behavior| behavior.service_time = service_time));
    if plan.planted == Some(InjectedFault::DoubleRuns) {
        cluster.backends.iter().for_each(|backend| backend.update(|behavior| behavior.executes_twice = true));
    }
    if plan.planted == Some(InjectedFault::MuteDiscovery) {
        cluster.discovery.update(|state| state.suppress_updates = true);
    }
    let mut trial = Trial {
        load: LoadGenerator::start(&cluster, plan),
        running_pids: Arc::default(),
        plan,
        cluster,
        mark: 0,
        failures: Vec::new(),
        stopped_since: BTreeMap::new(),
        ended: BTreeSet::new(),
        idle_clients: Vec::new(),
        misbehaving_peers: Vec::new(),
    };
    let sampler = trial.start_sampling();
    if plan.planted == Some(InjectedFault::SecretKill) {
        let pid = trial.cluster.instance(0).and_then(|instance| instance.child.id());
        let pid = pid.map(|pid| pid.to_string()).unwrap_or_default();
        let _ = std::process::Command::new("kill").args(["-9", &pid]).status();
    }
    for (index, step) in plan.steps.iter().enumerate() {
        if let Err(error) = trial.run_step(step).await {
            let text = serde_json::to_string(step).unwrap_or_default();
            trial.failures.push(format!("step {index} {text}: {error}"));
            break;
        }
        trial.update_running_pids();
    }
    trial.finish().await;
    sampler.abort();
    let timeline: Vec<Entry> = trial.cluster.logs.timeline().sorted_by_time().into_iter().cloned().collect();
    let mut history = std::mem::take(&mut *trial.cluster.recorder.history());
    history.forbidden_log_lines = unexpected_lines(&timeline);
    let limits = rules::Limits {
        slack: RESPONSE_TOLERANCE_US,
        drain: DRAIN_TOLERANCE_US,
        cold: plan.limits.cold_parts,
        warm: WARM_UP_US,
        memory: u64::from(plan.limits.memory_mb) << 20,
        descriptors: u64::from(plan.limits.descriptors) / if limits_tightened { 64 } else { 1 },
    };
    let mut responses = BTreeMap::new();
    for query in &history.queries {
        if let [(_, ClientResult::Answer(status))] = query.results[..] {
            *responses.entry(status).or_default() += 1;
        }
    }
    let verdict = Verdict {
        plan: plan.name.clone(),
        failed: trial.failures.clone(),
        rules: rules::check(&history, &limits),
        asked: history.queries.len(),
        holds: rules::non_idempotent_queries(&history),
        faults: plan.fault_count(),
        lost: rules::lost_queries(&history),
        taken_over: rules::takeovers(&history),
        adoptions: rules::takeover_times(&history),
        answers: responses,
        seconds: started.elapsed().as_secs_f64(),
    };
    Ok(Outcome { verdict, timeline })
}

/// Returns log lines that an instance must never write: panics, and errors other than the loss of its name to another
/// instance.
fn unexpected_lines(timeline: &[Entry]) -> Vec<String> {
    let is_unexpected = |entry: &&Entry| {
        let lost_its_name = entry.message.starts_with("another instance is ");
        entry.message.contains("panicked") || (entry.level == "ERROR" && !lost_its_name)
    };
    timeline
        .iter()
        .filter(is_unexpected)
        .map(|entry| format!("{}: {}", entry.process, entry.message))
        .collect()
}

/// A trial in progress.
struct Trial<'a> {
    plan: &'a Plan,
    cluster: TestCluster,
    load: LoadGenerator,
    /// Names and process ids of the running instances, for resource samples.
    running_pids: Arc<Mutex<Vec<(String, u32)>>>,
    /// Index in the timeline's entries from which steps search log lines.
    mark: usize,
    failures: Vec<String>,
    /// Stopped instances by index, with the time of their stop.
    stopped_since: BTreeMap<usize, u64>,
    ended: BTreeSet<usize>,
    idle_clients: Vec<TcpStream>,
    misbehaving_peers: Vec<(MisbehavingPeer, JoinHandle<std::io::Result<Option<usize>>>)>,
}

impl Trial<'_> {
    /// Returns the indices of the selected instances.
    fn indices(&self, selector: &InstanceSelector) -> Result<Vec<usize>, String> {
        self.plan.indices(selector)
    }

    fn name(&self, index: usize) -> String {
        self.cluster.names[index].clone()
    }

    fn signal(&self, index: usize, signal: libc::c_int) {
        self.cluster.instance(index).into_iter().for_each(|instance| instance.signal(signal));
    }

    /// Runs a step and waits for its result; the error says why it failed.
    async fn run_step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Kill(selector) => {
                for index in self.indices(selector)? {
                    let name = self.name(index);
                    self.record_resume(index);
                    self.ended.insert(index);
                    self.load.remove_target(index);
                    let now = self.cluster.recorder.now();
                    self.cluster.recorder.history().instance_ends.push((now, name));
                    self.signal(index, libc::SIGKILL);
                    self.wait_for_exit(index).await?;
                }
            }
            Step::Stop(selector) => {
                for index in self.indices(selector)? {
                    self.stopped_since.insert(index, self.cluster.recorder.now());
                    self.load.remove_target(index);
                    self.signal(index, libc::SIGSTOP);
                }
            }
            Step::Continue(selector) => {
                for index in self.indices(selector)? {
                    self.signal(index, libc::SIGCONT);
                    self.record_resume(index);
                    self.load.set_target(index, self.cluster.instance(index).map(|instance| instance.http));
                }
            }
            Step::Terminate(selector) => {
                let indices = self.indices(selector)?;
                for &index in &indices {
                    self.ended.insert(index);
                    self.load.remove_target(index);
                    self.signal(index, libc::SIGTERM);
                }
                for index in indices {
                    let code = self.wait_for_exit(index).await?;
                    if code != Some(0) {
                        return Err(format!("n{} exited with status {code:?}, not 0", index + 1));
                    }
                }
            }
            Step::Restart(selector) => {
                for index in self.indices(selector)? {
                    self.ended.remove(&index);
                    self.cluster.start_instance(index).await.map_err(|e| e.to_string())?;
                    self.load.set_target(index, self.cluster.instance(index).map(|instance| instance.http));
                }
            }
            Step::Double(name) => {
                for index in self.indices(&InstanceSelector::One(name.clone()))? {
                    self.cluster.start_duplicate(index).await.map_err(|e| e.to_string())?;
                }
            }
            Step::KillDouble(name) => {
                let position = self.cluster.duplicates.iter().position(|(of, _)| of == name);
                let (name, mut duplicate) =
                    self.cluster.duplicates.remove(position.ok_or("no duplicate instance")?);
                duplicate.child.kill().await.map_err(|e| e.to_string())?;
                // Directs the relays to the first instance again.
                for index in self.indices(&InstanceSelector::One(name))? {
                    let addr = self.cluster.instance(index).and_then(|instance| instance.peers);
                    addr.into_iter().for_each(|addr| self.cluster.relays.set_target(index, addr));
                }
            }
            Step::Fault(between) => self.set_link_fault(between)?,
            Step::Heal => self.cluster.relays.heal(),
            Step::Await(view) => return self.wait_for_states(view).await,
            Step::Linked(selector) => return self.wait_for_links(selector).await,
            Step::Logged(LogLine { at, text }) => {
                let (names, mark) = (self.names(at)?, self.mark);
                let all_logged = |timeline: &Timeline| {
                    names.iter().all(|name| timeline.lines_containing(mark, name, text).next().is_some())
                };
                if !self.cluster.logs.wait_until(all_logged).await {
                    return Err("no matching log line".to_owned());
                }
            }
            Step::NotLogged(LogLine { at, text }) => {
                let timeline = self.cluster.logs.timeline();
                for name in self.names(at)? {
                    if let Some(entry) = timeline.lines_containing(self.mark, &name, text).next() {
                        return Err(format!("{name} logged: {}", entry.message));
                    }
                }
            }
            Step::Never(ExpectedState { at, of, held }) => {
                let (observers, peers) = (self.names(at)?, self.names(of)?);
                let timeline = self.cluster.logs.timeline();
                let change = timeline.observed_states.iter().find(|change| {
                    change.entry_index >= self.mark
                        && change.state == *held
                        && observers.contains(&change.observer)
                        && peers.contains(&change.peer)
                });
                if let Some(change) = change {
                    let state = held.log_name();
                    return Err(format!("{} reported {} as {state}", change.observer, change.peer));
                }
            }
            Step::Mark => self.mark = self.cluster.logs.timeline().entries.len(),
            Step::PassMs(ms) => tokio::time::sleep(Duration::from_millis(*ms)).await,
            Step::Drain(backend) => {
                self.cluster.discovery.update(|state| state.backends[*backend].state = "leaving");
                self.cluster.backends[*backend].update(|behavior| behavior.draining = true);
            }
            Step::Cold(backend) => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let recorded_at = self.cluster.recorder.now();
                self.cluster.recorder.history().cold_starts.push((recorded_at, *backend));
                let started_at_ms = now.as_millis() as u64;
                self.cluster.discovery.update(|state| state.backends[*backend].started_at_ms = started_at_ms);
            }
            Step::DiscoveryDown(down) => self.cluster.discovery.update(|state| state.down = *down),
            Step::Stranger(peer) => self.start_misbehaving_peer(peer)?,
            Step::Crowd { to, clients } => {
                for index in self.indices(to)? {
                    let Some(addr) = self.cluster.instance(index).map(|instance| instance.http) else {
                        continue;
                    };
                    for _ in 0..*clients {
                        self.idle_clients.extend(TcpStream::connect(addr).await);
                    }
                }
            }
            Step::CrowdLeaves => self.idle_clients.clear(),
            Step::Answered(count) => {
                let answered = &self.load.answered;
                let target = answered.load(Ordering::Relaxed) + count;
                if !self.cluster.logs.wait_until(|_| answered.load(Ordering::Relaxed) >= target).await {
                    return Err("too few queries answered in time".to_owned());
                }
            }
        }
        Ok(())
    }

    /// Updates the process ids that are sampled.
    fn update_running_pids(&self) {
        let pids = (0..self.plan.processes).filter_map(|index| {
            let pid = self.cluster.instance(index)?.child.id()?;
            Some((self.name(index), pid))
        });
        *lock_ignoring_poison(&self.running_pids) = pids.collect();
    }

    /// Returns the names of the selected instances.
    fn names(&self, selector: &InstanceSelector) -> Result<Vec<String>, String> {
        Ok(self.indices(selector)?.into_iter().map(|index| self.name(index)).collect())
    }

    /// Records the pause of a stopped instance as ended; does nothing for other instances.
    fn record_resume(&mut self, index: usize) {
        if let Some(from) = self.stopped_since.remove(&index) {
            let (to, name) = (self.cluster.recorder.now(), self.name(index));
            self.cluster.recorder.history().pauses.push((from, to, name));
        }
    }

    /// Waits until an instance exits and returns its exit status; `None` after a signal or if it does not run.
    async fn wait_for_exit(&mut self, index: usize) -> Result<Option<i32>, String> {
        let Some(mut instance) = self.cluster.instances[index].take() else { return Ok(None) };
        let exited = tokio::time::timeout(WAIT_TIMEOUT, instance.child.wait()).await;
        let status = exited.map_err(|_| format!("n{} did not exit in time", index + 1))?;
        Ok(status.map_err(|e| e.to_string())?.code())
    }

    /// Injects a fault on the links between the selected instances.
    fn set_link_fault(&self, LinkFault { from, to, both, fault }: &LinkFault) -> Result<(), String> {
        let (from, to) = (self.indices(from)?, self.indices(to)?);
        let pairs = from.iter().flat_map(|sender| to.iter().map(move |receiver| (sender, receiver)));
        for (&sender, &receiver) in pairs.filter(|(sender, receiver)| sender != receiver) {
            self.cluster.relays.set_fault(sender, receiver, fault);
            if *both {
                self.cluster.relays.set_fault(receiver, sender, fault);
            }
        }
        Ok(())
    }

    /// Waits until all observers have the given state for all peers; the error lists those that do not.
    async fn wait_for_states(&self, ExpectedState { at, of, held }: &ExpectedState) -> Result<(), String> {
        let (observers, peers) = (self.names(at)?, self.names(of)?);
        let pairs: Vec<(&String, &String)> = observers
            .iter()
            .flat_map(|observer| peers.iter().map(move |peer| (observer, peer)))
            .filter(|(observer, peer)| observer != peer)
            .collect();
        let all_agree = |timeline: &Timeline| {
            pairs.iter().all(|(observer, peer)| timeline.peer_state(observer, peer) == Some(*held))
        };
        if self.cluster.logs.wait_until(all_agree).await {
            return Ok(());
        }
        let timeline = self.cluster.logs.timeline();
        let state_name = |state: Option<PeerState>| state.map_or("unknown", PeerState::log_name);
        let others =
            pairs.iter().filter(|(observer, peer)| timeline.peer_state(observer, peer) != Some(*held));
        let others: Vec<String> = others
            .map(|(observer, peer)| {
                format!("{observer} reports {peer} as {}", state_name(timeline.peer_state(observer, peer)))
            })
            .collect();
        Err(others.join(", "))
    }

    /// Waits until the selected instances are linked to each other; the error lists the missing links.
    async fn wait_for_links(&self, selector: &InstanceSelector) -> Result<(), String> {
        let names = self.names(selector)?;
        let pairs: Vec<(&String, &String)> =
            names.iter().flat_map(|a| names.iter().map(move |b| (a, b))).filter(|(a, b)| a != b).collect();
        let all_linked = |timeline: &Timeline| pairs.iter().all(|(a, b)| timeline.is_linked(a, b));
        if self.cluster.logs.wait_until(all_linked).await {
            return Ok(());
        }
        let timeline = self.cluster.logs.timeline();
        let missing = pairs.iter().filter(|(a, b)| !timeline.is_linked(a, b));
        Err(missing.map(|(a, b)| format!("{a} is not linked to {b}")).collect::<Vec<_>>().join(", "))
    }

    fn start_misbehaving_peer(&mut self, peer: &MisbehavingPeer) -> Result<(), String> {
        let index =
            *self.indices(&InstanceSelector::One(peer.to.clone()))?.first().ok_or("no instance selected")?;
        let instance = self.cluster.instance(index);
        let addr = instance.and_then(|instance| instance.peers).ok_or("the instance does not run")?;
        let identity = PeerIdentity {
            names: self.cluster.names.clone(),
            list_version: 1,
            name: peer.name.clone(),
            target_name: peer.to.clone(),
        };
        let (behavior, limit) = (peer.act, Duration::from_millis(peer.ms));
        let task =
            tokio::spawn(async move { misbehaving_peers::run(addr, behavior, &identity, limit).await });
        self.misbehaving_peers.push((peer.clone(), task));
        Ok(())
    }

    /// Starts a task that records the instances' resource usage until it is aborted.
    fn start_sampling(&self) -> JoinHandle<()> {
        self.update_running_pids();
        let (running_pids, recorder) = (self.running_pids.clone(), self.cluster.recorder.clone());
        tokio::spawn(async move {
            loop {
                let pids = lock_ignoring_poison(&running_pids).clone();
                for (instance, pid) in pids {
                    if let Some((memory, descriptors)) = crate::fleet::resource_usage(pid) {
                        recorder.history().samples.push(Sample { instance, memory, descriptors });
                    }
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
    }

    /// Stops the load, waits for every response, and terminates the instances.
    async fn finish(&mut self) {
        self.load.stop();
        let stopped: Vec<usize> = self.stopped_since.keys().copied().collect();
        for index in stopped {
            self.signal(index, libc::SIGCONT);
            self.record_resume(index);
        }
        self.idle_clients.clear();
        for (peer, task) in std::mem::take(&mut self.misbehaving_peers) {
            let result = task.await;
            if let (true, Ok(Ok(None))) = (peer.closed, &result) {
                self.failures.push(format!("{:?}: {} did not close the connection", peer.act, peer.to));
            }
        }
        self.load.wait_for_open_queries().await;
        lock_ignoring_poison(&self.running_pids).clear();
        let running: Vec<usize> =
            (0..self.plan.processes).filter(|index| !self.ended.contains(index)).collect();
        for &index in &running {
            self.signal(index, libc::SIGTERM);
        }
        for (_, mut duplicate) in std::mem::take(&mut self.cluster.duplicates) {
            drop(duplicate.child.kill().await);
        }
        for index in running {
            match self.wait_for_exit(index).await {
                Ok(Some(0)) => {}
                Ok(code) => {
                    let crash = format!("n{} exited with status {code:?}, not 0", index + 1);
                    self.cluster.recorder.history().crashes.push(crash);
                }
                Err(error) => self.cluster.recorder.history().crashes.push(error),
            }
        }
    }
}

/// Clients that send queries to every instance at a steady rate.
struct LoadGenerator {
    /// Client addresses by instance index; `None` while an instance gets no queries.
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    stopped: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    fn start(cluster: &TestCluster, plan: &Plan) -> Self {
        let addresses =
            (0..plan.processes).map(|index| cluster.instance(index).map(|instance| instance.http));
        let mut load = Self {
            addresses: Arc::new(Mutex::new(addresses.collect())),
            stopped: Arc::default(),
            answered: Arc::default(),
            open: Arc::default(),
            tasks: Vec::new(),
        };
        for index in 0..if plan.load > 0 { plan.processes } else { 0 } {
            let (addresses, stopped) = (load.addresses.clone(), load.stopped.clone());
            let (answered, open) = (load.answered.clone(), load.open.clone());
            let (name, recorder, logs) =
                (cluster.names[index].clone(), cluster.recorder.clone(), cluster.logs.clone());
            let interval = Duration::from_micros(1_000_000 / u64::from(plan.load));
            let (injected_fault, takeover, names) = (plan.planted, plan.handover, cluster.names.clone());
            load.tasks.push(tokio::spawn(async move {
                let mut number = index as u64;
                while !stopped.load(Ordering::Relaxed) {
                    tokio::time::sleep(interval).await;
                    let Some(addr) = lock_ignoring_poison(&addresses)[index] else { continue };
                    number += 1;
                    let (query, non_idempotent) =
                        clients::query(format!("{name}-{number:06}"), number, CLIENT_TIMEOUT_US);
                    open.fetch_add(1, Ordering::Relaxed);
                    let (answered, open, logs) = (answered.clone(), open.clone(), logs.clone());
                    let (name, recorder) = (name.clone(), recorder.clone());
                    let (addresses, names) = (addresses.clone(), names.clone());
                    tokio::spawn(async move {
                        let id = query.id.clone();
                        let sent_at = recorder.now();
                        let mut status =
                            clients::send_query(addr, name, query.clone(), non_idempotent, recorder.clone())
                                .await;
                        // A client that does not know the outcome of its non-idempotent query retries it at the
                        // other instances in turn, for 90 % of the time in which its id may be retried.
                        let mut next = index;
                        while non_idempotent && takeover && matches!(status, None | Some(504)) {
                            if recorder.now() > sent_at + crate::fleet::RETRY_LIFETIME_MS * 900 {
                                break;
                            }
                            next = (next + 1) % names.len();
                            let addr = lock_ignoring_poison(&addresses)[next];
                            let Some(addr) = addr else {
                                tokio::time::sleep(Duration::from_millis(20)).await;
                                continue;
                            };
                            let retry_at = |index: usize, addr| {
                                let (name, recorder) = (names[index].clone(), recorder.clone());
                                clients::send_query_marked(addr, name, query.clone(), (true, true), recorder)
                            };
                            // Some clients retry at two instances at once, both of which may start a takeover.
                            let third = (next + 1) % names.len();
                            let second_addr =
                                lock_ignoring_poison(&addresses)[third].filter(|_| number % 4 == 2);
                            status = match second_addr {
                                Some(second_addr) => {
                                    let (first, second) =
                                        tokio::join!(retry_at(next, addr), retry_at(third, second_addr));
                                    first.filter(|status| *status != 504).or(second)
                                }
                                None => retry_at(next, addr).await,
                            };
                        }
                        // Some clients repeat a finished query at another instance; the outcome has to be the same.
                        if takeover && number % 10 == 7 && matches!(status, Some(200 | 502)) {
                            tokio::time::sleep(Duration::from_millis(400)).await;
                            let next = (next + 1) % names.len();
                            let addr = lock_ignoring_poison(&addresses)[next];
                            if let Some(addr) = addr {
                                let (name, recorder) = (names[next].clone(), recorder.clone());
                                clients::send_query_marked(addr, name, query.clone(), (true, true), recorder)
                                    .await;
                            }
                        }
                        if number % 50 == 7 {
                            inject_result_fault(injected_fault, &id, &recorder);
                        }
                        answered.fetch_add(1, Ordering::Relaxed);
                        open.fetch_sub(1, Ordering::Relaxed);
                        logs.notify();
                    });
                }
            }));
        }
        load
    }

    /// Stops sending queries to an instance.
    fn remove_target(&self, index: usize) {
        lock_ignoring_poison(&self.addresses)[index] = None;
    }

    /// Sends queries for an instance to this address.
    fn set_target(&self, index: usize, addr: Option<SocketAddr>) {
        lock_ignoring_poison(&self.addresses)[index] = addr;
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Waits until every open query has finished, for at most [`WAIT_TIMEOUT`].
    async fn wait_for_open_queries(&mut self) {
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while self.open.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Duplicates or removes the recorded results of a query, if the plan injects such a fault.
fn inject_result_fault(fault: Option<InjectedFault>, id: &str, recorder: &Recorder) {
    let mut history = recorder.history();
    let Some(query) = history.queries.iter_mut().find(|query| query.id == id) else { return };
    match fault {
        Some(InjectedFault::DoubleAnswers) => query.results.extend(query.results.clone()),
        Some(InjectedFault::LostAnswers) => query.results.clear(),
        _ => {}
    }
}
