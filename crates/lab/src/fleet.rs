//! Real processes of the program, with what stands round them: relays, hosts, discovery, and a reader for each
//! log.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mallowgauge_testkit::fault_injection::backends::RecordingBackend;
use mallowgauge_testkit::fault_injection::discovery::{self, Discovery, KnownBackend};
use mallowgauge_testkit::fault_injection::relay::Relays;
use mallowgauge_testkit::fault_injection::{lock_ignoring_poison, Recorder};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Child;
use tokio::sync::watch;

use crate::timeline::Timeline;

/// How long an id may be asked again, where queries are taken over: longer than a client waits.
pub const LIFE_MS: u64 = 4000;
/// Only a trial that fails waits for so long.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The lines of all processes, and a count that moves with each.
#[derive(Clone)]
pub struct Logs {
    timeline: Arc<Mutex<Timeline>>,
    count: watch::Sender<usize>,
}

impl Default for Logs {
    fn default() -> Self {
        Self { timeline: Arc::default(), count: watch::channel(0).0 }
    }
}

impl Logs {
    /// The lines so far.
    pub fn timeline(&self) -> std::sync::MutexGuard<'_, Timeline> {
        lock_ignoring_poison(&self.timeline)
    }

    fn line(&self, process: &str, text: &str) {
        self.timeline().line(process, text);
        self.count.send_modify(|count| *count += 1);
    }

    /// Something else changed that somebody may wait for.
    pub fn nudge(&self) {
        self.count.send_modify(|count| *count += 1);
    }

    /// Waits until something holds of the lines; `false` if it did not in time.
    pub async fn until(&self, mut holds: impl FnMut(&Timeline) -> bool) -> bool {
        let mut count = self.count.subscribe();
        let wait = async {
            loop {
                if holds(&self.timeline()) {
                    return;
                }
                // Not all that is waited for comes with a line.
                let _ = tokio::time::timeout(Duration::from_millis(50), count.changed()).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.is_ok()
    }
}

/// How processes are set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// How many.
    pub processes: usize,
    /// How many hosts.
    pub hosts: usize,
    /// Descriptors that each is told and held to.
    pub descriptors: u32,
    /// Descriptors that each is really held to, where that is fewer.
    pub held_to: u32,
    /// Megabytes that each is told.
    pub memory_mb: u32,
    /// The version of each one's list.
    pub versions: Vec<u64>,
    /// Whether they are linked at all.
    pub linked: bool,
    /// Whether queries with an effect are taken over.
    pub handover: bool,
    /// For the faults' draws.
    pub seed: u64,
}

/// A process.
pub struct Process {
    /// The process itself.
    pub child: Child,
    /// Where clients connect.
    pub http: SocketAddr,
    /// Where peers connect; nowhere without a fleet.
    pub peers: Option<SocketAddr>,
}

impl Process {
    /// Sends a signal.
    pub fn signal(&self, signal: libc::c_int) {
        if let Some(pid) = self.child.id() {
            // The program itself is only ever ended by its id.
            let _ = Command::new("kill").args([format!("-{signal}"), pid.to_string()]).status();
        }
    }
}

/// Processes and what stands round them.
pub struct Fleet {
    /// Their names.
    pub names: Vec<String>,
    /// The processes, by place; `None` where one has ended.
    pub processes: Vec<Option<Process>>,
    /// Second processes under a name.
    pub doubles: Vec<(String, Process)>,
    /// Between them.
    pub relays: Relays,
    /// Hosts.
    pub hosts: Vec<RecordingBackend>,
    /// Discovery.
    pub discovery: Discovery,
    /// What is written down.
    pub notes: Recorder,
    /// Logs.
    pub logs: Logs,
    setup: Setup,
    folder: PathBuf,
    started: u32,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The processes are killed as their handles go.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts all of it.
    ///
    /// # Errors
    /// What could not be started.
    pub async fn start(setup: Setup) -> io::Result<Self> {
        static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder = format!("mallowgauge-lab-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder)?;
        let names: Vec<String> = (1..=setup.processes).map(|at| format!("n{at}")).collect();
        let notes = Recorder::default();
        let relays = Relays::start(setup.processes, setup.seed).await?;
        let (mut hosts, mut known) = (Vec::new(), Vec::new());
        for at in 0..setup.hosts {
            let host = RecordingBackend::start(at, &names, &notes).await?;
            known.push(KnownBackend { addresses: host.addresses.clone(), state: "active", started_at_ms: 0 });
            hosts.push(host);
        }
        let discovery = Discovery::start(&names, known, &notes).await?;
        let processes = (0..setup.processes).map(|_| None).collect();
        let (doubles, logs) = (Vec::new(), Logs::default());
        let started = 0;
        let mut fleet =
            Self { names, processes, doubles, relays, hosts, discovery, notes, logs, setup, folder, started };
        for at in 0..fleet.setup.processes {
            fleet.launch(at).await?;
        }
        Ok(fleet)
    }

    fn config(&self, at: usize) -> Value {
        let mut settings = mallowgauge_testkit::settings();
        settings["Limits"]["MaxOpen"] = json!(400);
        settings["FamilyInfo"]["Places"] = json!(self.setup.hosts);
        settings["FamilyInfo"]["Width"] = json!(self.setup.hosts);
        settings["Instances"] = json!(self.setup.processes);
        json!({
            "name": self.names[at], "listen": "127.0.0.1:0",
            "discovery": self.discovery.addresses[at].to_string(),
            "seed": format!("{:016x}", self.setup.seed.wrapping_mul(31).wrapping_add(self.started.into())),
            "limits": {"cores": 1.0, "memory_mb": self.setup.memory_mb, "sockets": self.setup.descriptors},
            "known": discovery::endpoint_list(&self.discovery.state(), at), "settings": settings
        })
    }

    fn operator(&self, at: usize) -> Value {
        if !self.setup.linked {
            return json!({"log": {"format": "json"}});
        }
        let nobody: SocketAddr = ([127, 0, 0, 1], 1).into();
        let address = |to: usize| if to == at { nobody } else { self.relays.address(at, to) };
        let list: Vec<Value> = (0..self.names.len())
            .map(|to| json!({"name": self.names[to], "address": address(to).to_string()}))
            .collect();
        let group = [1, 1, 1, 3, 3, 5][self.names.len().min(5)];
        let mut fleet = json!({"name": self.names[at], "listen": "127.0.0.1:0", "group": group,
                               "peers": {"version": self.setup.versions[at], "list": list}});
        if self.setup.handover {
            fleet["handover"] = json!({"life_ms": LIFE_MS});
        }
        json!({"log": {"format": "json"}, "fleet": fleet})
    }

    /// Starts the process of that place and lets the relays lead to it.
    ///
    /// # Errors
    /// It did not start.
    pub async fn launch(&mut self, at: usize) -> io::Result<()> {
        self.logs.timeline().forget(&self.names[at]);
        let process = self.spawn(at).await?;
        process.peers.into_iter().for_each(|addr| self.relays.set_target(at, addr));
        self.processes[at] = Some(process);
        Ok(())
    }

    /// Starts another process under the same name; the relays lead to it from now on.
    ///
    /// # Errors
    /// It did not start.
    pub async fn double(&mut self, at: usize) -> io::Result<()> {
        let process = self.spawn(at).await?;
        process.peers.into_iter().for_each(|addr| self.relays.set_target(at, addr));
        self.doubles.push((self.names[at].clone(), process));
        Ok(())
    }

    async fn spawn(&mut self, at: usize) -> io::Result<Process> {
        self.started += 1;
        let name = self.names[at].clone();
        let file = |what: &str, value: &Value| {
            let path = self.folder.join(format!("{name}-{}-{what}.json", self.started));
            std::fs::write(&path, value.to_string()).map(|()| path)
        };
        let (config, operator) = (file("config", &self.config(at))?, file("operator", &self.operator(at))?);
        let limit = format!("ulimit -n {}; exec \"$0\" \"$1\"", self.setup.held_to);
        let mut child = tokio::process::Command::new("sh")
            .args(["-c", &limit])
            .arg(mallowgauge_testkit::program_path())
            .arg(operator)
            .env("RELAY_CONFIG", config)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let none = || io::Error::other("no pipe");
        let mut lines = BufReader::new(child.stdout.take().ok_or_else(none)?).lines();
        let (mut http, mut peers) = (None, None);
        while http.is_none() {
            let line = lines.next_line().await?;
            let line = line.ok_or_else(|| io::Error::other(format!("{name} did not start")))?;
            self.logs.line(&name, &line);
            let message: Value = serde_json::from_str(&line).unwrap_or_default();
            let message = message.get("message").and_then(Value::as_str).unwrap_or_default();
            if let Some((_, rest)) = message.split_once("listening for peers on ") {
                peers = rest.split(',').next().and_then(|addr| addr.parse().ok());
            }
            if let Some((_, addr)) = message.split_once(" listens on ") {
                http = addr.parse().ok();
            }
        }
        let (logs, of) = (self.logs.clone(), name.clone());
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                logs.line(&of, &line);
            }
        });
        let mut words = BufReader::new(child.stderr.take().ok_or_else(none)?).lines();
        let logs = self.logs.clone();
        tokio::spawn(async move {
            while let Ok(Some(line)) = words.next_line().await {
                logs.line(&name, &line);
            }
        });
        let http = http.ok_or_else(|| io::Error::other("no address"))?;
        Ok(Process { child, http, peers })
    }

    /// What of a process runs now.
    #[must_use]
    pub fn process(&self, at: usize) -> Option<&Process> {
        self.processes.get(at).and_then(Option::as_ref)
    }

    /// What a process uses now: bytes of memory and descriptors.
    #[must_use]
    pub fn uses(&self, at: usize) -> Option<(u64, u64)> {
        uses(self.process(at)?.child.id()?)
    }
}

/// Bytes of memory and descriptors of a process.
#[must_use]
pub fn uses(pid: u32) -> Option<(u64, u64)> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
    Some((kb * 1024, descriptors))
}
