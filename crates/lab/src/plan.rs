//! Trial plans: their format and validation, random plans from a seed, and the reduction of failing plans.
//!
//! A plan is a JSON file; `mallowgauge-lab fleet schema` prints its schema. The attributes `schemars(rename)` and
//! `expecting` keep the names of types in the schema and in error messages independent of their names in Rust.

use std::collections::BTreeSet;

use mallowgauge_testkit::fault_injection::misbehaving_peers::Misbehavior;
use mallowgauge_testkit::fault_injection::relay::Fault;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Describes a trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Short description of the trial.
    pub name: String,
    /// Number of instances; they are named n1, n2, ...
    pub processes: usize,
    /// Number of backends; each serves all shards.
    #[serde(default = "default_backends")]
    pub hosts: usize,
    /// Queries per second for each instance.
    #[serde(default = "default_load")]
    pub load: u32,
    /// Service time of a backend for a part, in milliseconds.
    #[serde(default = "default_service_time_ms")]
    pub work_ms: u64,
    /// Resource limits of each instance.
    #[serde(default)]
    pub limits: Limits,
    /// Instances whose peer list has a version other than 1.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lists: Vec<PeerListVersion>,
    /// Whether non-idempotent queries are taken over by another instance, and retried by clients of lost instances.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub handover: bool,
    /// Fault injected on purpose, which one of the rules has to detect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub planted: Option<InjectedFault>,
    /// Steps, run in order.
    pub steps: Vec<Step>,
}

fn default_backends() -> usize {
    3
}

fn default_service_time_ms() -> u64 {
    2
}

fn default_load() -> u32 {
    10
}

/// Resource limits of an instance, and how many parts a warming-up backend may get.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// File descriptor limit in the instance's configuration.
    pub descriptors: u32,
    /// File descriptor limit that the system enforces, if lower.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub held_to: Option<u32>,
    /// Memory limit in megabytes, checked by the verdict.
    pub memory_mb: u32,
    /// Parts that a warming-up backend may get per second from all instances together.
    pub cold_parts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { descriptors: 512, held_to: None, memory_mb: 64, cold_parts: 60 }
    }
}

/// Version of one instance's peer list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct List")]
#[schemars(rename = "List")]
pub struct PeerListVersion {
    /// Name of the instance.
    pub process: String,
    /// Version of its peer list.
    pub version: u64,
}

/// A fault injected so that a rule has to detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", expecting = "enum Planted")]
#[schemars(rename = "Planted")]
pub enum InjectedFault {
    /// Backends execute each part twice.
    DoubleRuns,
    /// Discovery records drains and backend starts as reported but does not report them.
    MuteDiscovery,
    /// One response in fifty reaches its client twice.
    DoubleAnswers,
    /// One response in fifty never reaches its client.
    LostAnswers,
    /// An instance is killed without a record in the history.
    SecretKill,
    /// The verdict allows each instance 1/64 of its configured descriptors.
    TightLimits,
}

/// Selects instances by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged, expecting = "data did not match any variant of untagged enum Who")]
#[schemars(rename = "Who")]
pub enum InstanceSelector {
    /// One name, or "all".
    One(String),
    /// Several names.
    Some(Vec<String>),
}

/// Membership state of a peer as seen by another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", expecting = "enum Held")]
#[schemars(rename = "Held")]
pub enum PeerState {
    /// The peer responds.
    Alive,
    /// The peer did not respond to probes (suspect).
    Doubted,
    /// The peer did not refute the suspicion (dead).
    Gone,
    /// The peer announced its shutdown.
    Left,
}

impl PeerState {
    /// Returns the name of this state in an instance's log.
    #[must_use]
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Doubted => "suspect",
            Self::Gone => "dead",
            Self::Left => "left",
        }
    }
}

/// The membership state that observers have for peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct View")]
#[schemars(rename = "View")]
pub struct ExpectedState {
    /// Observers.
    pub at: InstanceSelector,
    /// Peers.
    pub of: InstanceSelector,
    /// State of the peers.
    pub held: PeerState,
}

/// A fault on the links from some instances to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Between")]
#[schemars(rename = "Between")]
pub struct LinkFault {
    /// Senders.
    pub from: InstanceSelector,
    /// Receivers.
    pub to: InstanceSelector,
    /// Whether the fault applies to both directions.
    #[serde(default)]
    pub both: bool,
    /// Fault to inject.
    pub fault: Fault,
}

/// Text to find in the logs of instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Line")]
#[schemars(rename = "Line")]
pub struct LogLine {
    /// Instances whose logs are searched.
    pub at: InstanceSelector,
    /// Text that a line contains.
    pub text: String,
}

/// A peer that misbehaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Stranger")]
#[schemars(rename = "Stranger")]
pub struct MisbehavingPeer {
    /// Instance that the peer connects to.
    pub to: String,
    /// Name that the peer claims, where the behavior needs one.
    pub name: String,
    /// Behavior of the peer.
    pub act: Misbehavior,
    /// Maximum duration in milliseconds.
    pub ms: u64,
    /// Whether the instance is required to close the connection.
    #[serde(default)]
    pub closed: bool,
}

/// A step of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// Kills instances with SIGKILL.
    Kill(InstanceSelector),
    /// Stops instances with SIGSTOP.
    Stop(InstanceSelector),
    /// Resumes stopped instances with SIGCONT.
    Continue(InstanceSelector),
    /// Terminates instances with SIGTERM; each has to exit with status 0.
    Terminate(InstanceSelector),
    /// Restarts ended instances under their names.
    Restart(InstanceSelector),
    /// Starts a duplicate instance under the name of a running one.
    Double(String),
    /// Kills the duplicate instance of a name.
    KillDouble(String),
    /// Injects a fault on links.
    Fault(LinkFault),
    /// Removes all link faults.
    Heal,
    /// Waits until the observers have the given state for the peers.
    Await(ExpectedState),
    /// Waits until all of these instances are linked to each other.
    Linked(InstanceSelector),
    /// Waits until a line logged since the last mark contains a text.
    Logged(LogLine),
    /// Checks that no line logged since the last mark contains a text.
    NotLogged(LogLine),
    /// Checks that no observer logged the state for a peer since the last mark.
    Never(ExpectedState),
    /// Sets the mark from which `never`, `logged` and `not_logged` search.
    Mark,
    /// Waits for a number of milliseconds.
    PassMs(u64),
    /// Starts draining a backend, given by its index from 0.
    Drain(usize),
    /// Reports a backend, given by its index from 0, as just started, so that it is warming up.
    Cold(usize),
    /// Takes discovery down, or up again.
    DiscoveryDown(bool),
    /// Starts a misbehaving peer.
    Stranger(MisbehavingPeer),
    /// Opens idle client connections to each of these instances.
    Crowd {
        /// Instances to connect to.
        to: InstanceSelector,
        /// Connections to each instance.
        clients: usize,
    },
    /// Closes all idle client connections.
    CrowdLeaves,
    /// Waits until this many more queries were answered.
    Answered(usize),
}

impl Plan {
    /// Returns the names of the instances.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        (1..=self.processes).map(|number| format!("n{number}")).collect()
    }

    /// Parses and checks a plan.
    ///
    /// # Errors
    /// Returns the first syntax error or invalid value, with its position.
    pub fn read(text: &str) -> Result<Self, String> {
        let plan: Self = serde_json::from_str(text).map_err(|e| e.to_string())?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks that all named instances and backends exist, that values are in range and that the order of the steps is
    /// possible.
    ///
    /// # Errors
    /// Returns the first invalid value or step.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=16).contains(&self.processes) {
            return Err(format!("processes is {}, not 1 to 16", self.processes));
        }
        if !(1..=8).contains(&self.hosts) {
            return Err(format!("hosts is {}, not 1 to 8", self.hosts));
        }
        if self.work_ms > 2000 {
            return Err(format!("work_ms is {}, not up to 2000", self.work_ms));
        }
        if self.load > 500 {
            return Err(format!("load is {}, not up to 500", self.load));
        }
        for PeerListVersion { process, .. } in &self.lists {
            self.indices(&InstanceSelector::One(process.clone())).map_err(|e| format!("lists: {e}"))?;
        }
        let mut states = InstanceStates::default();
        for (index, step) in self.steps.iter().enumerate() {
            self.check_step(step, &mut states).map_err(|e| format!("steps[{index}]: {e}"))?;
        }
        Ok(())
    }

    /// Checks a step against the states that the steps before it left, and updates them.
    fn check_step(&self, step: &Step, states: &mut InstanceStates) -> Result<(), String> {
        let indices = |selector: &InstanceSelector| self.indices(selector);
        match step {
            Step::Kill(selector) | Step::Terminate(selector) => {
                for index in indices(selector)? {
                    if !states.ended.insert(index) {
                        return Err(format!("n{} has already ended", index + 1));
                    }
                    if matches!(step, Step::Terminate(_)) && states.stopped.contains(&index) {
                        return Err(format!("n{} is stopped and cannot terminate", index + 1));
                    }
                    states.stopped.remove(&index);
                }
            }
            Step::Stop(selector) => {
                for index in indices(selector)? {
                    if states.ended.contains(&index) || !states.stopped.insert(index) {
                        return Err(format!("n{} is not running", index + 1));
                    }
                }
            }
            Step::Continue(selector) => {
                for index in indices(selector)? {
                    if !states.stopped.remove(&index) {
                        return Err(format!("n{} is not stopped", index + 1));
                    }
                }
            }
            Step::Restart(selector) => {
                for index in indices(selector)? {
                    if !states.ended.remove(&index) {
                        return Err(format!("n{} has not ended", index + 1));
                    }
                }
            }
            Step::Double(name) => {
                indices(&InstanceSelector::One(name.clone()))?;
                if !states.duplicated.insert(name.clone()) {
                    return Err(format!("{name} already has a duplicate instance"));
                }
            }
            Step::KillDouble(name) if !states.duplicated.remove(name) => {
                return Err(format!("{name} has no duplicate instance"));
            }
            Step::Fault(LinkFault { from, to, fault, .. }) => {
                indices(from)?;
                indices(to)?;
                let probability = 0.0..=1.0;
                if !probability.contains(&fault.lose) || !probability.contains(&fault.twice) {
                    return Err("lose or twice is not a probability from 0 to 1".to_owned());
                }
            }
            Step::Await(view) | Step::Never(view) => {
                indices(&view.at)?;
                indices(&view.of)?;
            }
            Step::Linked(selector) => drop(indices(selector)?),
            Step::Logged(line) | Step::NotLogged(line) => drop(indices(&line.at)?),
            Step::PassMs(ms) if *ms > 60_000 => return Err(format!("pass_ms is {ms}, not up to 60000")),
            Step::Drain(backend) | Step::Cold(backend) if *backend >= self.hosts => {
                return Err(format!("no backend {backend}; there are 0 to {}", self.hosts - 1));
            }
            Step::Stranger(MisbehavingPeer { to, name, .. }) => {
                indices(&InstanceSelector::One(to.clone()))?;
                indices(&InstanceSelector::One(name.clone()))?;
            }
            Step::Crowd { to, clients } => {
                indices(to)?;
                if *clients > 2000 {
                    return Err(format!("clients is {clients}, not up to 2000"));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns the indices of the selected instances.
    ///
    /// # Errors
    /// Returns an error for a name that no instance has.
    pub fn indices(&self, selector: &InstanceSelector) -> Result<Vec<usize>, String> {
        let names = self.names();
        let index_of = |name: &String| {
            let index = names.iter().position(|known| known == name);
            index.ok_or_else(|| format!("no instance {name:?}; there are n1 to n{}", self.processes))
        };
        match selector {
            InstanceSelector::One(all) if all == "all" => Ok((0..self.processes).collect()),
            InstanceSelector::One(name) => Ok(vec![index_of(name)?]),
            InstanceSelector::Some(names) => names.iter().map(index_of).collect(),
        }
    }

    /// Returns a plan with random faults from a seed. At the end all faults are removed and all instances run again.
    #[must_use]
    pub fn random(seed: u64, processes: usize, handover: bool) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut states = InstanceStates::default();
        let mut steps = vec![Step::Linked(all())];
        if handover {
            // All instances start at once, and their acceptors do not reply before this time has passed.
            steps.push(Step::PassMs(2 * crate::fleet::RETRY_LIFETIME_MS + 500));
        }
        let one = |index: usize| InstanceSelector::One(format!("n{}", index + 1));
        let mut links_faulty = false;
        for _ in 0..rng.usize(4..=9) {
            let index = rng.usize(0..processes);
            let running = !states.ended.contains(&index) && !states.stopped.contains(&index);
            match rng.u32(0..10) {
                0 if running => {
                    states.ended.insert(index);
                    steps.push(Step::Kill(one(index)));
                }
                1 if running => {
                    states.stopped.insert(index);
                    steps.push(Step::Stop(one(index)));
                }
                2 if running => {
                    states.ended.insert(index);
                    steps.push(Step::Terminate(one(index)));
                }
                0..=2 if states.stopped.remove(&index) => steps.push(Step::Continue(one(index))),
                0..=2 if states.ended.remove(&index) => steps.push(Step::Restart(one(index))),
                3 if links_faulty => {
                    links_faulty = false;
                    steps.push(Step::Heal);
                }
                4 => steps.push(Step::DiscoveryDown(rng.bool())),
                _ => {
                    links_faulty = true;
                    steps.push(Step::Fault(random_fault(&mut rng, processes)));
                }
            }
            steps.push(Step::PassMs(rng.u64(20..800)));
        }
        steps.extend([Step::Heal, Step::DiscoveryDown(false)]);
        let selection = |indices: &BTreeSet<usize>| {
            InstanceSelector::Some(indices.iter().map(|index| format!("n{}", index + 1)).collect())
        };
        if !states.stopped.is_empty() {
            steps.push(Step::Continue(selection(&states.stopped)));
        }
        if !states.ended.is_empty() {
            steps.push(Step::Restart(selection(&states.ended)));
        }
        // Every instance is linked to every other one again and considers it alive.
        steps.push(Step::Linked(all()));
        steps.push(Step::Await(ExpectedState { at: all(), of: all(), held: PeerState::Alive }));
        steps.push(Step::Answered(20));
        let work_ms = if handover { 30 } else { default_service_time_ms() };
        Self { name: format!("seed {seed}"), work_ms, steps, ..Self::without_steps(processes, handover) }
    }

    /// Returns a plan that kills, stops and isolates one instance after the other, and sometimes also an instance that
    /// may take over, while non-idempotent queries are open. Every fault ends before the next one, so that a majority
    /// is available.
    #[must_use]
    pub fn repeated_faults(seed: u64, processes: usize, faults: usize, handover: bool) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut steps = vec![Step::Linked(all()), Step::PassMs(2 * crate::fleet::RETRY_LIFETIME_MS + 500)];
        let one = |index: usize| InstanceSelector::One(format!("n{}", index + 1));
        let mut fault_count = 0;
        while fault_count < faults {
            let index = rng.usize(0..processes);
            let other = (index + rng.usize(1..processes)) % processes;
            match rng.u32(0..22) {
                20.. => {
                    // The isolated instance goes on serving its clients unseen by its peers, and is then killed.
                    let fault = Fault { cut: true, ..Fault::default() };
                    steps.push(Step::Fault(LinkFault { from: one(index), to: all(), both: true, fault }));
                    steps.extend([Step::PassMs(rng.u64(30..200)), Step::Kill(one(index)), Step::Heal]);
                    steps.push(Step::Restart(one(index)));
                    fault_count += 2;
                }
                0..=9 => {
                    steps.extend([Step::Kill(one(index)), Step::PassMs(rng.u64(0..250))]);
                    let mut killed = vec![index];
                    if rng.u32(0..4) == 0 {
                        steps.extend([Step::Kill(one(other)), Step::PassMs(rng.u64(0..250))]);
                        killed.push(other);
                    }
                    fault_count += killed.len();
                    steps.extend(killed.into_iter().map(|index| Step::Restart(one(index))));
                }
                10..=14 => {
                    // Either too short for the peers to notice, or longer than a takeover takes.
                    let ms = if rng.bool() { rng.u64(20..300) } else { rng.u64(1200..2500) };
                    steps.extend([Step::Stop(one(index)), Step::PassMs(ms), Step::Continue(one(index))]);
                    fault_count += 1;
                }
                _ => {
                    let to = if rng.bool() { all() } else { one(other) };
                    let (from, both) = (one(index), rng.bool());
                    let fault = match rng.u32(0..4) {
                        0 | 1 => Fault { cut: true, ..Fault::default() },
                        2 => Fault { hold: true, ..Fault::default() },
                        _ => Fault { lose: 0.3, twice: 0.3, jitter_ms: 60, ..Fault::default() },
                    };
                    steps.push(Step::Fault(LinkFault { from, to, both, fault }));
                    steps.extend([Step::PassMs(rng.u64(100..1500)), Step::Heal]);
                    fault_count += 1;
                }
            }
            // A lost instance has to be an acceptor again before the next fault.
            steps.extend([Step::Linked(all()), Step::PassMs(300)]);
        }
        steps.push(Step::Answered(20));
        let name = format!("storm {seed}{}", if handover { "" } else { " without handover" });
        Self { name, load: 60, work_ms: 30, steps, ..Self::without_steps(processes, handover) }
    }

    /// Returns a plan with default settings and no steps.
    fn without_steps(processes: usize, handover: bool) -> Self {
        Self {
            name: String::new(),
            processes,
            hosts: default_backends(),
            load: default_load(),
            work_ms: default_service_time_ms(),
            limits: Limits::default(),
            lists: Vec::new(),
            handover,
            planted: None,
            steps: Vec::new(),
        }
    }

    /// Returns the number of kill, stop and link fault steps.
    #[must_use]
    pub fn fault_count(&self) -> usize {
        let is_fault = |step: &&Step| matches!(step, Step::Kill(_) | Step::Stop(_) | Step::Fault(_));
        self.steps.iter().filter(is_fault).count()
    }

    /// Returns valid plans with fewer steps, the largest reductions first.
    #[must_use]
    pub fn reductions(&self) -> Vec<Self> {
        let mut plans = Vec::new();
        let mut length = self.steps.len() / 2;
        while length > 0 {
            for from in (0..self.steps.len()).step_by(length) {
                let mut plan = self.clone();
                plan.steps.drain(from..(from + length).min(self.steps.len()));
                plan.remove_impossible_steps();
                if plan.steps.len() < self.steps.len() && plan.check().is_ok() {
                    plans.push(plan);
                }
            }
            length /= 2;
        }
        plans
    }

    /// Removes steps that are not possible after the steps before them.
    fn remove_impossible_steps(&mut self) {
        let mut states = InstanceStates::default();
        let steps = std::mem::take(&mut self.steps);
        for step in steps {
            let mut states_after = states.clone();
            if self.check_step(&step, &mut states_after).is_ok() {
                states = states_after;
                self.steps.push(step);
            }
        }
    }
}

fn all() -> InstanceSelector {
    InstanceSelector::One("all".to_owned())
}

/// Draws a probability of at most 0.5, in hundredths, which JSON round-trips exactly.
fn random_probability(rng: &mut fastrand::Rng) -> f64 {
    f64::from(rng.u32(0..=50)) / 100.0
}

fn random_fault(rng: &mut fastrand::Rng, processes: usize) -> LinkFault {
    let name = |index: usize| format!("n{}", index + 1);
    let random_instances = |rng: &mut fastrand::Rng| {
        let mut indices: Vec<usize> = (0..processes).collect();
        rng.shuffle(&mut indices);
        let count = rng.usize(1..=processes.div_ceil(2));
        InstanceSelector::Some(indices[..count].iter().map(|&index| name(index)).collect())
    };
    let (from, to, both) = (random_instances(rng), random_instances(rng), rng.bool());
    let no_fault = Fault::default();
    let fault = match rng.u32(0..8) {
        0 | 1 => Fault { cut: true, ..no_fault },
        2 => Fault { hold: true, ..no_fault },
        3 => Fault { delay_ms: rng.u64(1..400), ..no_fault },
        4 => Fault { jitter_ms: rng.u64(1..300), ..no_fault },
        5 => Fault { lose: random_probability(rng), twice: random_probability(rng), ..no_fault },
        6 => Fault { bytes_a_second: rng.u64(50..2000), ..no_fault },
        _ => Fault { reset_at: Some(rng.u64(0..500)), ..no_fault },
    };
    LinkFault { from, to, both, fault }
}

/// Which instances have ended, are stopped or have a duplicate, after the steps so far.
#[derive(Clone, Debug, Default)]
struct InstanceStates {
    ended: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
    duplicated: BTreeSet<String>,
}
