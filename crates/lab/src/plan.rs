//! Decides what a trial does: plans, their checks, plans from a seed, and what may be left out of one that fails.
//!
//! A plan is a JSON file; `mallowgauge-lab fleet schema` prints its schema.

use std::collections::BTreeSet;

use mallowgauge_testkit::fault_injection::misbehaving_peers::Misbehavior;
use mallowgauge_testkit::fault_injection::relay::Fault;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A trial, from start to verdict.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// What is tried, in a few words.
    pub name: String,
    /// How many processes there are; they are called n1, n2, ...
    pub processes: usize,
    /// How many hosts there are; each holds all shards.
    #[serde(default = "usual_hosts")]
    pub hosts: usize,
    /// Queries a second, for each process.
    #[serde(default = "usual_load")]
    pub load: u32,
    /// How long a host takes for a part.
    #[serde(default = "usual_work")]
    pub work_ms: u64,
    /// The limits that each process is told and has.
    #[serde(default)]
    pub limits: Limits,
    /// Processes whose list has another version than 1.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lists: Vec<List>,
    /// Holds are taken over by another gatherer, and clients whose gatherer was lost ask for theirs again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub handover: bool,
    /// What is wrong on purpose, so that a rule has something to catch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub planted: Option<Planted>,
    /// What happens, one after the other.
    pub steps: Vec<Step>,
}

fn usual_hosts() -> usize {
    3
}

fn usual_work() -> u64 {
    2
}

fn usual_load() -> u32 {
    10
}

/// What a process is told that it may use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// File descriptors that it is told it may hold.
    pub descriptors: u32,
    /// File descriptors that the system holds it to, where these are fewer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub held_to: Option<u32>,
    /// Megabytes, which the verdict holds it to.
    pub memory_mb: u32,
    /// Parts that a cold host may get from all processes together in a second.
    pub cold_parts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { descriptors: 512, held_to: None, memory_mb: 64, cold_parts: 60 }
    }
}

/// A process's own version of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Whose.
    pub process: String,
    /// Its version.
    pub version: u64,
}

/// Something that is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Planted {
    /// Hosts run each part twice.
    DoubleRuns,
    /// Discovery is held to have told of drains and starts, and did not.
    MuteDiscovery,
    /// One answer in fifty is passed to its client twice.
    DoubleAnswers,
    /// One answer in fifty never reaches its client.
    LostAnswers,
    /// A process is killed, and the trial does not know.
    SecretKill,
    /// The verdict allows each process a sixty-fourth of the descriptors that it was told.
    TightLimits,
}

/// Some of the processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Who {
    /// One name, or "all".
    One(String),
    /// Names.
    Some(Vec<String>),
}

/// How a member may be held to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Held {
    /// It was heard.
    Alive,
    /// It was not reached.
    Doubted,
    /// It did not refute.
    Gone,
    /// It said that it ends.
    Left,
}

impl Held {
    /// The word for this state in the log of a process.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Doubted => "suspect",
            Self::Gone => "dead",
            Self::Left => "left",
        }
    }
}

/// What some hold of others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// Who holds it.
    pub at: Who,
    /// Of whom.
    pub of: Who,
    /// What.
    pub held: Held,
}

/// A fault on what goes from some to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Between {
    /// Whose sending.
    pub from: Who,
    /// To whom.
    pub to: Who,
    /// The way back as well.
    #[serde(default)]
    pub both: bool,
    /// What happens to it.
    pub fault: Fault,
}

/// A line in a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Whose log.
    pub at: Who,
    /// What the line holds.
    pub text: String,
}

/// A peer that misbehaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stranger {
    /// Who is bothered.
    pub to: String,
    /// In whose name, where the act needs one.
    pub name: String,
    /// What it does.
    pub act: Misbehavior,
    /// For so long at most.
    pub ms: u64,
    /// Whether the process has to close the connection by itself.
    #[serde(default)]
    pub closed: bool,
}

/// What happens next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// SIGKILL.
    Kill(Who),
    /// SIGSTOP.
    Stop(Who),
    /// SIGCONT.
    Continue(Who),
    /// SIGTERM; the process has to end by itself, with 0.
    Terminate(Who),
    /// Started anew, under its name, after it has ended.
    Restart(Who),
    /// Another process under the same name, while the first one lives.
    Double(String),
    /// The second process of that name is killed.
    KillDouble(String),
    /// A fault on links.
    Fault(Between),
    /// No faults on links any more.
    Heal,
    /// Waits until some hold others to be so.
    Await(View),
    /// Waits until all of these are linked with each other.
    Linked(Who),
    /// Waits for a line in logs, since the last mark.
    Logged(Line),
    /// No such line was written since the last mark.
    NotLogged(Line),
    /// Nobody of these held that of those since the last mark.
    Never(View),
    /// From here on counts what `never`, `logged` and `not_logged` look at.
    Mark,
    /// Lets time pass.
    PassMs(u64),
    /// A host begins to drain.
    Drain(usize),
    /// A host has just started.
    Cold(usize),
    /// Discovery goes down, or up.
    DiscoveryDown(bool),
    /// A peer that misbehaves.
    Stranger(Stranger),
    /// So many clients connect to each of these and say nothing.
    Crowd {
        /// To whom.
        to: Who,
        /// How many.
        clients: usize,
    },
    /// The crowds leave.
    CrowdLeaves,
    /// Waits until so many more queries were answered.
    Answered(usize),
}

impl Plan {
    /// The processes' names.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        (1..=self.processes).map(|at| format!("n{at}")).collect()
    }

    /// Reads a plan and checks it.
    ///
    /// # Errors
    /// What is wrong, and where.
    pub fn read(text: &str) -> Result<Self, String> {
        let plan: Self = serde_json::from_str(text).map_err(|e| e.to_string())?;
        plan.check()?;
        Ok(plan)
    }

    /// Whether all that a plan names is there and its steps can follow each other.
    ///
    /// # Errors
    /// The first thing that is wrong.
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
        for List { process, .. } in &self.lists {
            self.places(&Who::One(process.clone())).map_err(|e| format!("lists: {e}"))?;
        }
        let mut state = Lives::default();
        for (at, step) in self.steps.iter().enumerate() {
            self.check_step(step, &mut state).map_err(|e| format!("steps[{at}]: {e}"))?;
        }
        Ok(())
    }

    fn check_step(&self, step: &Step, lives: &mut Lives) -> Result<(), String> {
        let places = |who: &Who| self.places(who);
        match step {
            Step::Kill(who) | Step::Terminate(who) => {
                for at in places(who)? {
                    if !lives.ended.insert(at) {
                        return Err(format!("n{} has ended already", at + 1));
                    }
                    if matches!(step, Step::Terminate(_)) && lives.halted.contains(&at) {
                        return Err(format!("n{} is halted and cannot end by itself", at + 1));
                    }
                    lives.halted.remove(&at);
                }
            }
            Step::Stop(who) => {
                for at in places(who)? {
                    if lives.ended.contains(&at) || !lives.halted.insert(at) {
                        return Err(format!("n{} does not run", at + 1));
                    }
                }
            }
            Step::Continue(who) => {
                for at in places(who)? {
                    if !lives.halted.remove(&at) {
                        return Err(format!("n{} is not halted", at + 1));
                    }
                }
            }
            Step::Restart(who) => {
                for at in places(who)? {
                    if !lives.ended.remove(&at) {
                        return Err(format!("n{} has not ended", at + 1));
                    }
                }
            }
            Step::Double(name) => {
                places(&Who::One(name.clone()))?;
                if !lives.doubled.insert(name.clone()) {
                    return Err(format!("{name} has a double already"));
                }
            }
            Step::KillDouble(name) if !lives.doubled.remove(name) => {
                return Err(format!("{name} has no double"));
            }
            Step::Fault(Between { from, to, fault, .. }) => {
                places(from)?;
                places(to)?;
                let share = 0.0..=1.0;
                if !share.contains(&fault.lose) || !share.contains(&fault.twice) {
                    return Err("lose or twice is not a share from 0 to 1".to_owned());
                }
            }
            Step::Await(view) | Step::Never(view) => {
                places(&view.at)?;
                places(&view.of)?;
            }
            Step::Linked(who) => drop(places(who)?),
            Step::Logged(line) | Step::NotLogged(line) => drop(places(&line.at)?),
            Step::PassMs(ms) if *ms > 60_000 => return Err("more than a minute".to_owned()),
            Step::Drain(host) | Step::Cold(host) if *host >= self.hosts => {
                return Err(format!("there is no host {host}"));
            }
            Step::Stranger(Stranger { to, name, .. }) => {
                places(&Who::One(to.clone()))?;
                places(&Who::One(name.clone()))?;
            }
            Step::Crowd { to, clients } => {
                places(to)?;
                if *clients > 2000 {
                    return Err("more than 2000 clients".to_owned());
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// The places of those named.
    ///
    /// # Errors
    /// A name that no process has.
    pub fn places(&self, who: &Who) -> Result<Vec<usize>, String> {
        let names = self.names();
        let place = |name: &String| {
            let found = names.iter().position(|known| known == name);
            found.ok_or_else(|| format!("no process {name:?}; there are n1 to n{}", self.processes))
        };
        match who {
            Who::One(all) if all == "all" => Ok((0..self.processes).collect()),
            Who::One(name) => Ok(vec![place(name)?]),
            Who::Some(names) => names.iter().map(place).collect(),
        }
    }

    /// A plan with faults drawn by a seed, which ends with all of them mended and everybody back.
    #[must_use]
    pub fn random(seed: u64, processes: usize, handover: bool) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut lives = Lives::default();
        let mut steps = vec![Step::Linked(all())];
        if handover {
            // All started at once: keepers give no word before that.
            steps.push(Step::PassMs(2 * crate::fleet::LIFE_MS + 500));
        }
        let one = |at: usize| Who::One(format!("n{}", at + 1));
        let mut faulty = false;
        for _ in 0..rng.usize(4..=9) {
            let at = rng.usize(0..processes);
            let running = !lives.ended.contains(&at) && !lives.halted.contains(&at);
            match rng.u32(0..10) {
                0 if running => {
                    lives.ended.insert(at);
                    steps.push(Step::Kill(one(at)));
                }
                1 if running => {
                    lives.halted.insert(at);
                    steps.push(Step::Stop(one(at)));
                }
                2 if running => {
                    lives.ended.insert(at);
                    steps.push(Step::Terminate(one(at)));
                }
                0..=2 if lives.halted.remove(&at) => steps.push(Step::Continue(one(at))),
                0..=2 if lives.ended.remove(&at) => steps.push(Step::Restart(one(at))),
                3 if faulty => {
                    faulty = false;
                    steps.push(Step::Heal);
                }
                4 => steps.push(Step::DiscoveryDown(rng.bool())),
                _ => {
                    faulty = true;
                    steps.push(Step::Fault(random_fault(&mut rng, processes)));
                }
            }
            steps.push(Step::PassMs(rng.u64(20..800)));
        }
        steps.extend([Step::Heal, Step::DiscoveryDown(false)]);
        let back =
            |places: &BTreeSet<usize>| Who::Some(places.iter().map(|at| format!("n{}", at + 1)).collect());
        if !lives.halted.is_empty() {
            steps.push(Step::Continue(back(&lives.halted)));
        }
        if !lives.ended.is_empty() {
            steps.push(Step::Restart(back(&lives.ended)));
        }
        // Everybody is found again, by everybody.
        steps.push(Step::Linked(all()));
        steps.push(Step::Await(View { at: all(), of: all(), held: Held::Alive }));
        steps.push(Step::Answered(20));
        let work_ms = if handover { 30 } else { usual_work() };
        Self { name: format!("seed {seed}"), work_ms, steps, ..Self::quiet(processes, handover) }
    }

    /// A plan that kills, halts and cuts off one process after the other, and now and then the one that takes over
    /// as well, while holds are in work. Every fault is mended before the next, so that a majority is there.
    #[must_use]
    pub fn storm(seed: u64, processes: usize, faults: usize, handover: bool) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut steps = vec![Step::Linked(all()), Step::PassMs(2 * crate::fleet::LIFE_MS + 500)];
        let one = |at: usize| Who::One(format!("n{}", at + 1));
        let mut done = 0;
        while done < faults {
            let at = rng.usize(0..processes);
            let other = (at + rng.usize(1..processes)) % processes;
            match rng.u32(0..22) {
                20.. => {
                    // What it still does for its clients, nobody hears of, and then it is gone.
                    let fault = Fault { cut: true, ..Fault::default() };
                    steps.push(Step::Fault(Between { from: one(at), to: all(), both: true, fault }));
                    steps.extend([Step::PassMs(rng.u64(30..200)), Step::Kill(one(at)), Step::Heal]);
                    steps.push(Step::Restart(one(at)));
                    done += 2;
                }
                0..=9 => {
                    steps.extend([Step::Kill(one(at)), Step::PassMs(rng.u64(0..250))]);
                    let mut lost = vec![at];
                    if rng.u32(0..4) == 0 {
                        steps.extend([Step::Kill(one(other)), Step::PassMs(rng.u64(0..250))]);
                        lost.push(other);
                    }
                    done += lost.len();
                    steps.extend(lost.into_iter().map(|at| Step::Restart(one(at))));
                }
                10..=14 => {
                    // Shorter than anybody notices, or longer than it takes to be taken over.
                    let ms = if rng.bool() { rng.u64(20..300) } else { rng.u64(1200..2500) };
                    steps.extend([Step::Stop(one(at)), Step::PassMs(ms), Step::Continue(one(at))]);
                    done += 1;
                }
                _ => {
                    let to = if rng.bool() { all() } else { one(other) };
                    let (from, both) = (one(at), rng.bool());
                    let fault = match rng.u32(0..4) {
                        0 | 1 => Fault { cut: true, ..Fault::default() },
                        2 => Fault { hold: true, ..Fault::default() },
                        _ => Fault { lose: 0.3, twice: 0.3, jitter_ms: 60, ..Fault::default() },
                    };
                    steps.push(Step::Fault(Between { from, to, both, fault }));
                    steps.extend([Step::PassMs(rng.u64(100..1500)), Step::Heal]);
                    done += 1;
                }
            }
            // Whoever was lost has to be a keeper again before the next.
            steps.extend([Step::Linked(all()), Step::PassMs(300)]);
        }
        steps.push(Step::Answered(20));
        let name = format!("storm {seed}{}", if handover { "" } else { " without handover" });
        Self { name, load: 60, work_ms: 30, steps, ..Self::quiet(processes, handover) }
    }

    /// A plan in which nothing happens.
    fn quiet(processes: usize, handover: bool) -> Self {
        Self {
            name: String::new(),
            processes,
            hosts: usual_hosts(),
            load: usual_load(),
            work_ms: usual_work(),
            limits: Limits::default(),
            lists: Vec::new(),
            handover,
            planted: None,
            steps: Vec::new(),
        }
    }

    /// How many kills, halts and faults on links there are in it.
    #[must_use]
    pub fn faults(&self) -> usize {
        let is = |step: &&Step| matches!(step, Step::Kill(_) | Step::Stop(_) | Step::Fault(_));
        self.steps.iter().filter(is).count()
    }

    /// Plans with less in them, the largest cuts first, that still make sense.
    #[must_use]
    pub fn smaller(&self) -> Vec<Self> {
        let mut plans = Vec::new();
        let mut length = self.steps.len() / 2;
        while length > 0 {
            for from in (0..self.steps.len()).step_by(length) {
                let mut plan = self.clone();
                plan.steps.drain(from..(from + length).min(self.steps.len()));
                plan.mend();
                if plan.steps.len() < self.steps.len() && plan.check().is_ok() {
                    plans.push(plan);
                }
            }
            length /= 2;
        }
        plans
    }

    /// Drops steps that can no longer follow those before them.
    fn mend(&mut self) {
        let mut lives = Lives::default();
        let steps = std::mem::take(&mut self.steps);
        for step in steps {
            let mut after = lives.clone();
            if self.check_step(&step, &mut after).is_ok() {
                lives = after;
                self.steps.push(step);
            }
        }
    }
}

fn all() -> Who {
    Who::One("all".to_owned())
}

/// A share up to a half that JSON gives back as it is.
fn hundredths(rng: &mut fastrand::Rng) -> f64 {
    f64::from(rng.u32(0..=50)) / 100.0
}

fn random_fault(rng: &mut fastrand::Rng, processes: usize) -> Between {
    let name = |at: usize| format!("n{}", at + 1);
    let some = |rng: &mut fastrand::Rng| {
        let mut places: Vec<usize> = (0..processes).collect();
        rng.shuffle(&mut places);
        let count = rng.usize(1..=processes.div_ceil(2));
        Who::Some(places[..count].iter().map(|&at| name(at)).collect())
    };
    let (from, to, both) = (some(rng), some(rng), rng.bool());
    let none = Fault::default();
    let fault = match rng.u32(0..8) {
        0 | 1 => Fault { cut: true, ..none },
        2 => Fault { hold: true, ..none },
        3 => Fault { delay_ms: rng.u64(1..400), ..none },
        4 => Fault { jitter_ms: rng.u64(1..300), ..none },
        5 => Fault { lose: hundredths(rng), twice: hundredths(rng), ..none },
        6 => Fault { bytes_a_second: rng.u64(50..2000), ..none },
        _ => Fault { reset_at: Some(rng.u64(0..500)), ..none },
    };
    Between { from, to, both, fault }
}

/// Which processes are there, as the steps go on.
#[derive(Clone, Debug, Default)]
struct Lives {
    ended: BTreeSet<usize>,
    halted: BTreeSet<usize>,
    doubled: BTreeSet<String>,
}
