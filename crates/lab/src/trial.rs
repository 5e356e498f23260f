//! Plays a plan with real processes and holds what came of it against the rules.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mallowgauge_testkit::fault_injection::misbehaving_peers::{self, PeerIdentity};
use mallowgauge_testkit::fault_injection::rules::{self, ClientResult, Sample};
use mallowgauge_testkit::fault_injection::{clients, lock_ignoring_poison};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::fleet::{Fleet, Setup, PATIENCE};
use crate::plan::{Between, Line, Plan, Planted, Step, Stranger, View, Who};
use crate::timeline::Entry;
use crate::verdict::Verdict;

/// Clients wait for so long.
const WAIT: u64 = 3_000_000;
/// An answer may be so much later than its time before it counts as late: the machine may be busy.
const SLACK: u64 = 5_000_000;
/// The protocol's 250 ms and its 50 ms for sockets, and as much again as a busy machine may need.
const DRAIN: u64 = 600_000;
/// A host counts as cold for so long.
const WARM: u64 = 5_000_000;

/// A trial's outcome, and all that was logged.
pub struct Outcome {
    /// The verdict.
    pub verdict: Verdict,
    /// All lines by time.
    pub timeline: Vec<Entry>,
}

impl Outcome {
    /// Writes all lines by time into a folder, as a file with the plan's name.
    ///
    /// # Errors
    /// The folder or the file cannot be written.
    pub fn write(&self, folder: &std::path::Path) -> Result<(), String> {
        std::fs::create_dir_all(folder).map_err(|e| e.to_string())?;
        let mut lines = String::new();
        for entry in &self.timeline {
            lines += &serde_json::to_string(entry).map_err(|e| e.to_string())?;
            lines.push('\n');
        }
        let file = self.verdict.plan.replace(|c: char| !c.is_alphanumeric(), "-") + ".jsonl";
        std::fs::write(folder.join(file), lines).map_err(|e| e.to_string())
    }
}

/// Plays a plan.
///
/// # Errors
/// The processes or what stands round them could not be started.
pub async fn run(plan: &Plan, seed: u64) -> Result<Outcome, String> {
    let began = std::time::Instant::now();
    let mut versions = vec![1; plan.processes];
    for list in &plan.lists {
        for at in plan.places(&Who::One(list.process.clone()))? {
            versions[at] = list.version;
        }
    }
    let tight = plan.planted == Some(Planted::TightLimits);
    let setup = Setup {
        processes: plan.processes,
        hosts: plan.hosts,
        descriptors: plan.limits.descriptors,
        held_to: plan.limits.held_to.unwrap_or(plan.limits.descriptors),
        memory_mb: plan.limits.memory_mb,
        versions,
        linked: true,
        handover: plan.handover,
        seed,
    };
    let fleet = Fleet::start(setup).await.map_err(|e| e.to_string())?;
    let work = Duration::from_millis(plan.work_ms);
    fleet.hosts.iter().for_each(|host| host.update(|manner| manner.service_time = work));
    if plan.planted == Some(Planted::DoubleRuns) {
        fleet.hosts.iter().for_each(|host| host.update(|manner| manner.executes_twice = true));
    }
    if plan.planted == Some(Planted::MuteDiscovery) {
        fleet.discovery.update(|state| state.suppress_updates = true);
    }
    let mut trial = Trial {
        load: Load::start(&fleet, plan),
        watch: Arc::default(),
        plan,
        fleet,
        mark: 0,
        failed: Vec::new(),
        halted: BTreeMap::new(),
        ended: BTreeSet::new(),
        crowd: Vec::new(),
        strangers: Vec::new(),
    };
    let sampler = trial.sample();
    if plan.planted == Some(Planted::SecretKill) {
        let secret = trial.fleet.process(0).and_then(|process| process.child.id());
        let process = secret.map(|pid| pid.to_string()).unwrap_or_default();
        let _ = std::process::Command::new("kill").args(["-9", &process]).status();
    }
    for (at, step) in plan.steps.iter().enumerate() {
        if let Err(why) = trial.step(step).await {
            let words = serde_json::to_string(step).unwrap_or_default();
            trial.failed.push(format!("step {at} {words}: {why}"));
            break;
        }
        trial.notice();
    }
    trial.finish().await;
    sampler.abort();
    let timeline: Vec<Entry> = trial.fleet.logs.timeline().merged().into_iter().cloned().collect();
    let mut history = std::mem::take(&mut *trial.fleet.notes.history());
    history.forbidden_log_lines = cries(&timeline);
    let limits = rules::Limits {
        slack: SLACK,
        drain: DRAIN,
        cold: plan.limits.cold_parts,
        warm: WARM,
        memory: u64::from(plan.limits.memory_mb) << 20,
        descriptors: u64::from(plan.limits.descriptors) / if tight { 64 } else { 1 },
    };
    let mut answers = BTreeMap::new();
    for asked in &history.queries {
        if let [(_, ClientResult::Answer(status))] = asked.results[..] {
            *answers.entry(status).or_default() += 1;
        }
    }
    let verdict = Verdict {
        plan: plan.name.clone(),
        failed: trial.failed.clone(),
        rules: rules::check(&history, &limits),
        asked: history.queries.len(),
        holds: rules::non_idempotent_queries(&history),
        faults: plan.faults(),
        lost: rules::lost_queries(&history),
        taken_over: rules::takeovers(&history),
        adoptions: rules::takeover_times(&history),
        answers,
        seconds: began.elapsed().as_secs_f64(),
    };
    Ok(Outcome { verdict, timeline })
}

/// Lines that a sound process never writes.
fn cries(timeline: &[Entry]) -> Vec<String> {
    let cry = |entry: &&Entry| {
        let usurped = entry.message.starts_with("another instance is ");
        entry.message.contains("panicked") || (entry.level == "ERROR" && !usurped)
    };
    timeline.iter().filter(cry).map(|entry| format!("{}: {}", entry.process, entry.message)).collect()
}

struct Trial<'a> {
    plan: &'a Plan,
    fleet: Fleet,
    load: Load,
    /// The ids of the processes that run, for samples.
    watch: Arc<Mutex<Vec<(String, u32)>>>,
    mark: usize,
    failed: Vec<String>,
    halted: BTreeMap<usize, u64>,
    ended: BTreeSet<usize>,
    crowd: Vec<TcpStream>,
    strangers: Vec<(Stranger, JoinHandle<std::io::Result<Option<usize>>>)>,
}

impl Trial<'_> {
    fn places(&self, who: &Who) -> Result<Vec<usize>, String> {
        self.plan.places(who)
    }

    fn name(&self, at: usize) -> String {
        self.fleet.names[at].clone()
    }

    fn signal(&self, at: usize, signal: libc::c_int) {
        self.fleet.process(at).into_iter().for_each(|process| process.signal(signal));
    }

    async fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Kill(who) => {
                for at in self.places(who)? {
                    let name = self.name(at);
                    self.go_on(at);
                    self.ended.insert(at);
                    self.load.off(at);
                    let now = self.fleet.notes.now();
                    self.fleet.notes.history().instance_ends.push((now, name));
                    self.signal(at, libc::SIGKILL);
                    self.gone(at).await?;
                }
            }
            Step::Stop(who) => {
                for at in self.places(who)? {
                    self.halted.insert(at, self.fleet.notes.now());
                    self.load.off(at);
                    self.signal(at, libc::SIGSTOP);
                }
            }
            Step::Continue(who) => {
                for at in self.places(who)? {
                    self.signal(at, libc::SIGCONT);
                    self.go_on(at);
                    self.load.on(at, self.fleet.process(at).map(|process| process.http));
                }
            }
            Step::Terminate(who) => {
                let places = self.places(who)?;
                for &at in &places {
                    self.ended.insert(at);
                    self.load.off(at);
                    self.signal(at, libc::SIGTERM);
                }
                for at in places {
                    let code = self.gone(at).await?;
                    if code != Some(0) {
                        return Err(format!("n{} ended with {code:?}", at + 1));
                    }
                }
            }
            Step::Restart(who) => {
                for at in self.places(who)? {
                    self.ended.remove(&at);
                    self.fleet.launch(at).await.map_err(|e| e.to_string())?;
                    self.load.on(at, self.fleet.process(at).map(|process| process.http));
                }
            }
            Step::Double(name) => {
                for at in self.places(&Who::One(name.clone()))? {
                    self.fleet.double(at).await.map_err(|e| e.to_string())?;
                }
            }
            Step::KillDouble(name) => {
                let at = self.fleet.doubles.iter().position(|(of, _)| of == name).ok_or("no double")?;
                let (of, mut process) = self.fleet.doubles.remove(at);
                process.child.kill().await.map_err(|e| e.to_string())?;
                // The relays lead to the first one again.
                for place in self.places(&Who::One(of))? {
                    let addr = self.fleet.process(place).and_then(|process| process.peers);
                    addr.into_iter().for_each(|addr| self.fleet.relays.set_target(place, addr));
                }
            }
            Step::Fault(between) => self.fault(between)?,
            Step::Heal => self.fleet.relays.heal(),
            Step::Await(view) => return self.view(view).await,
            Step::Linked(who) => return self.linked(who).await,
            Step::Logged(Line { at, text }) => {
                let (names, mark) = (self.names(at)?, self.mark);
                let all = |t: &crate::timeline::Timeline| {
                    names.iter().all(|name| t.lines(mark, name, text).next().is_some())
                };
                if !self.fleet.logs.until(all).await {
                    return Err("no such line".to_owned());
                }
            }
            Step::NotLogged(Line { at, text }) => {
                let timeline = self.fleet.logs.timeline();
                for name in self.names(at)? {
                    if let Some(entry) = timeline.lines(self.mark, &name, text).next() {
                        return Err(format!("{name} wrote: {}", entry.message));
                    }
                }
            }
            Step::Never(View { at, of, held }) => {
                let (by, of) = (self.names(at)?, self.names(of)?);
                let timeline = self.fleet.logs.timeline();
                let seen = timeline.sightings.iter().find(|seen| {
                    seen.at >= self.mark
                        && seen.held == *held
                        && by.contains(&seen.by)
                        && of.contains(&seen.of)
                });
                if let Some(seen) = seen {
                    return Err(format!("{} held {} to be {}", seen.by, seen.of, held.word()));
                }
            }
            Step::Mark => self.mark = self.fleet.logs.timeline().entries.len(),
            Step::PassMs(ms) => tokio::time::sleep(Duration::from_millis(*ms)).await,
            Step::Drain(host) => {
                self.fleet.discovery.update(|state| state.backends[*host].state = "leaving");
                self.fleet.hosts[*host].update(|manner| manner.draining = true);
            }
            Step::Cold(host) => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let at = self.fleet.notes.now();
                self.fleet.notes.history().cold_starts.push((at, *host));
                let started = now.as_millis() as u64;
                self.fleet.discovery.update(|state| state.backends[*host].started_at_ms = started);
            }
            Step::DiscoveryDown(down) => self.fleet.discovery.update(|state| state.down = *down),
            Step::Stranger(stranger) => self.stranger(stranger)?,
            Step::Crowd { to, clients } => {
                for at in self.places(to)? {
                    let Some(addr) = self.fleet.process(at).map(|process| process.http) else { continue };
                    for _ in 0..*clients {
                        self.crowd.extend(TcpStream::connect(addr).await);
                    }
                }
            }
            Step::CrowdLeaves => self.crowd.clear(),
            Step::Answered(count) => {
                let answered = &self.load.answered;
                let until = answered.load(Ordering::Relaxed) + count;
                if !self.fleet.logs.until(|_| answered.load(Ordering::Relaxed) >= until).await {
                    return Err("too few answers".to_owned());
                }
            }
        }
        Ok(())
    }

    /// Which processes run now is for samples to know.
    fn notice(&self) {
        let ids = (0..self.plan.processes).filter_map(|at| {
            let id = self.fleet.process(at)?.child.id()?;
            Some((self.name(at), id))
        });
        *lock_ignoring_poison(&self.watch) = ids.collect();
    }

    fn names(&self, who: &Who) -> Result<Vec<String>, String> {
        Ok(self.places(who)?.into_iter().map(|at| self.name(at)).collect())
    }

    /// A process that was halted is not any more.
    fn go_on(&mut self, at: usize) {
        if let Some(from) = self.halted.remove(&at) {
            let (to, name) = (self.fleet.notes.now(), self.name(at));
            self.fleet.notes.history().pauses.push((from, to, name));
        }
    }

    /// Waits for the end of a process.
    async fn gone(&mut self, at: usize) -> Result<Option<i32>, String> {
        let Some(mut process) = self.fleet.processes[at].take() else { return Ok(None) };
        let ended = tokio::time::timeout(PATIENCE, process.child.wait()).await;
        let status = ended.map_err(|_| format!("n{} did not end", at + 1))?;
        Ok(status.map_err(|e| e.to_string())?.code())
    }

    fn fault(&self, Between { from, to, both, fault }: &Between) -> Result<(), String> {
        let (from, to) = (self.places(from)?, self.places(to)?);
        for (&a, &b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))).filter(|(a, b)| a != b) {
            self.fleet.relays.set_fault(a, b, fault);
            if *both {
                self.fleet.relays.set_fault(b, a, fault);
            }
        }
        Ok(())
    }

    async fn view(&self, View { at, of, held }: &View) -> Result<(), String> {
        let (by, of) = (self.names(at)?, self.names(of)?);
        let pairs: Vec<(&String, &String)> =
            by.iter().flat_map(|by| of.iter().map(move |of| (by, of))).filter(|(by, of)| by != of).collect();
        let holds =
            |t: &crate::timeline::Timeline| pairs.iter().all(|(by, of)| t.held(by, of) == Some(*held));
        if self.fleet.logs.until(holds).await {
            return Ok(());
        }
        let timeline = self.fleet.logs.timeline();
        let other = pairs.iter().filter(|(by, of)| timeline.held(by, of) != Some(*held));
        let other: Vec<String> =
            other.map(|(by, of)| format!("{by} holds {of} to be {:?}", timeline.held(by, of))).collect();
        Err(other.join(", "))
    }

    async fn linked(&self, who: &Who) -> Result<(), String> {
        let names = self.names(who)?;
        let pairs: Vec<(&String, &String)> =
            names.iter().flat_map(|a| names.iter().map(move |b| (a, b))).filter(|(a, b)| a != b).collect();
        let all = |t: &crate::timeline::Timeline| pairs.iter().all(|(a, b)| t.linked(a, b));
        if self.fleet.logs.until(all).await {
            return Ok(());
        }
        let timeline = self.fleet.logs.timeline();
        let apart = pairs.iter().filter(|(a, b)| !timeline.linked(a, b));
        Err(apart.map(|(a, b)| format!("{a} is not linked to {b}")).collect::<Vec<_>>().join(", "))
    }

    fn stranger(&mut self, stranger: &Stranger) -> Result<(), String> {
        let at = *self.places(&Who::One(stranger.to.clone()))?.first().ok_or("nobody")?;
        let addr = self.fleet.process(at).and_then(|process| process.peers).ok_or("it does not run")?;
        let guise = PeerIdentity {
            names: self.fleet.names.clone(),
            list_version: 1,
            name: stranger.name.clone(),
            target_name: stranger.to.clone(),
        };
        let (act, most) = (stranger.act, Duration::from_millis(stranger.ms));
        let play = tokio::spawn(async move { misbehaving_peers::run(addr, act, &guise, most).await });
        self.strangers.push((stranger.clone(), play));
        Ok(())
    }

    /// Takes samples of what the processes use, until it is aborted.
    fn sample(&self) -> JoinHandle<()> {
        self.notice();
        let (watch, notes) = (self.watch.clone(), self.fleet.notes.clone());
        tokio::spawn(async move {
            loop {
                let ids = lock_ignoring_poison(&watch).clone();
                for (process, id) in ids {
                    if let Some((memory, descriptors)) = crate::fleet::uses(id) {
                        notes.history().samples.push(Sample { instance: process, memory, descriptors });
                    }
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
    }

    /// Ends the load, waits for every answer, and ends the processes.
    async fn finish(&mut self) {
        self.load.stop();
        let halted: Vec<usize> = self.halted.keys().copied().collect();
        for at in halted {
            self.signal(at, libc::SIGCONT);
            self.go_on(at);
        }
        self.crowd.clear();
        for (stranger, play) in std::mem::take(&mut self.strangers) {
            let came = play.await;
            if let (true, Ok(Ok(None))) = (stranger.closed, &came) {
                self.failed.push(format!("{:?} to {} was never closed", stranger.act, stranger.to));
            }
        }
        self.load.settle().await;
        lock_ignoring_poison(&self.watch).clear();
        let running: Vec<usize> = (0..self.plan.processes).filter(|at| !self.ended.contains(at)).collect();
        for &at in &running {
            self.signal(at, libc::SIGTERM);
        }
        for (_, mut process) in std::mem::take(&mut self.fleet.doubles) {
            drop(process.child.kill().await);
        }
        for at in running {
            match self.gone(at).await {
                Ok(Some(0)) => {}
                Ok(code) => {
                    let words = format!("n{} ended with {code:?}", at + 1);
                    self.fleet.notes.history().crashes.push(words);
                }
                Err(why) => self.fleet.notes.history().crashes.push(why),
            }
        }
    }
}

/// Clients that ask all the time.
struct Load {
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    stopped: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet, plan: &Plan) -> Self {
        let addresses = (0..plan.processes).map(|at| fleet.process(at).map(|process| process.http));
        let mut load = Self {
            addresses: Arc::new(Mutex::new(addresses.collect())),
            stopped: Arc::default(),
            answered: Arc::default(),
            open: Arc::default(),
            tasks: Vec::new(),
        };
        for at in 0..if plan.load > 0 { plan.processes } else { 0 } {
            let (addresses, stopped) = (load.addresses.clone(), load.stopped.clone());
            let (answered, open) = (load.answered.clone(), load.open.clone());
            let (name, notes, logs) = (fleet.names[at].clone(), fleet.notes.clone(), fleet.logs.clone());
            let pause = Duration::from_micros(1_000_000 / u64::from(plan.load));
            let (planted, again, names) = (plan.planted, plan.handover, fleet.names.clone());
            load.tasks.push(tokio::spawn(async move {
                let mut number = at as u64;
                while !stopped.load(Ordering::Relaxed) {
                    tokio::time::sleep(pause).await;
                    let Some(addr) = lock_ignoring_poison(&addresses)[at] else { continue };
                    number += 1;
                    let (query, effect) = clients::query(format!("{name}-{number:06}"), number, WAIT);
                    open.fetch_add(1, Ordering::Relaxed);
                    let (answered, open, logs) = (answered.clone(), open.clone(), logs.clone());
                    let (name, notes) = (name.clone(), notes.clone());
                    let (addresses, names) = (addresses.clone(), names.clone());
                    tokio::spawn(async move {
                        let id = query.id.clone();
                        let began = notes.now();
                        let mut said =
                            clients::send_query(addr, name, query.clone(), effect, notes.clone()).await;
                        // A client that does not know how its hold ended asks for it again, at others in turn,
                        // for as long as its id may be asked.
                        let mut next = at;
                        while effect && again && matches!(said, None | Some(504)) {
                            if notes.now() > began + crate::fleet::LIFE_MS * 900 {
                                break;
                            }
                            next = (next + 1) % names.len();
                            let addr = lock_ignoring_poison(&addresses)[next];
                            let Some(addr) = addr else {
                                tokio::time::sleep(Duration::from_millis(20)).await;
                                continue;
                            };
                            let ask = |at: usize, addr| {
                                let (name, notes) = (names[at].clone(), notes.clone());
                                clients::send_query_marked(addr, name, query.clone(), (true, true), notes)
                            };
                            // Some ask two at once, who may both be about to take it over.
                            let third = (next + 1) % names.len();
                            let also = lock_ignoring_poison(&addresses)[third].filter(|_| number % 4 == 2);
                            said = match also {
                                Some(also) => {
                                    let (one, other) = tokio::join!(ask(next, addr), ask(third, also));
                                    one.filter(|status| *status != 504).or(other)
                                }
                                None => ask(next, addr).await,
                            };
                        }
                        // Some ask for what they were told already, elsewhere: it has to be the same.
                        if again && number % 10 == 7 && matches!(said, Some(200 | 502)) {
                            tokio::time::sleep(Duration::from_millis(400)).await;
                            let next = (next + 1) % names.len();
                            let addr = lock_ignoring_poison(&addresses)[next];
                            if let Some(addr) = addr {
                                let (name, notes) = (names[next].clone(), notes.clone());
                                clients::send_query_marked(addr, name, query.clone(), (true, true), notes)
                                    .await;
                            }
                        }
                        if number % 50 == 7 {
                            spoil(planted, &id, &notes);
                        }
                        answered.fetch_add(1, Ordering::Relaxed);
                        open.fetch_sub(1, Ordering::Relaxed);
                        logs.nudge();
                    });
                }
            }));
        }
        load
    }

    fn off(&self, at: usize) {
        lock_ignoring_poison(&self.addresses)[at] = None;
    }

    fn on(&self, at: usize, addr: Option<SocketAddr>) {
        lock_ignoring_poison(&self.addresses)[at] = addr;
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Waits until every query has ended, one way or another.
    async fn settle(&mut self) {
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
        let until = tokio::time::Instant::now() + PATIENCE;
        while self.open.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Something between the program and its client that a plan planted.
fn spoil(planted: Option<Planted>, id: &str, notes: &mallowgauge_testkit::fault_injection::Recorder) {
    let mut history = notes.history();
    let Some(asked) = history.queries.iter_mut().find(|asked| asked.id == id) else { return };
    match planted {
        Some(Planted::DoubleAnswers) => asked.results.extend(asked.results.clone()),
        Some(Planted::LostAnswers) => asked.results.clear(),
        _ => {}
    }
}
