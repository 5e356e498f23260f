//! A cluster of real processes of the program with its test environment: relays, backends, discovery and a reader
//! for each log.

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

/// How long a query may be retried under its id when takeover is enabled, in milliseconds; longer than a client's
/// timeout.
pub const RETRY_LIFETIME_MS: u64 = 4000;
/// Limit for each wait of a trial; reached only by trials that fail.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Collects the log lines of all instances and wakes waiting tasks on each change.
#[derive(Clone)]
pub struct LogCollector {
    timeline: Arc<Mutex<Timeline>>,
    changes: watch::Sender<usize>,
}

impl Default for LogCollector {
    fn default() -> Self {
        Self { timeline: Arc::default(), changes: watch::channel(0).0 }
    }
}

impl LogCollector {
    /// Returns the lines collected so far.
    pub fn timeline(&self) -> std::sync::MutexGuard<'_, Timeline> {
        lock_ignoring_poison(&self.timeline)
    }

    fn add_line(&self, instance: &str, text: &str) {
        self.timeline().add_line(instance, text);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Wakes waiting tasks after a change that is not a log line.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Waits until the condition holds; returns `false` after [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, mut condition: impl FnMut(&Timeline) -> bool) -> bool {
        let mut changes = self.changes.subscribe();
        let wait = async {
            loop {
                if condition(&self.timeline()) {
                    return;
                }
                // Some conditions change without a log line, so they are also checked periodically.
                let _ = tokio::time::timeout(Duration::from_millis(50), changes.changed()).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok()
    }
}

/// Configuration of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of instances.
    pub instances: usize,
    /// Number of backends.
    pub backends: usize,
    /// File descriptor limit in each instance's configuration.
    pub descriptors: u32,
    /// File descriptor limit that the system enforces; may be lower than `descriptors`.
    pub enforced_descriptors: u32,
    /// Memory limit in each instance's configuration, in megabytes.
    pub memory_mb: u32,
    /// Version of each instance's peer list.
    pub list_versions: Vec<u64>,
    /// Whether the instances form a cluster; otherwise each runs alone.
    pub clustered: bool,
    /// Whether non-idempotent queries are taken over.
    pub takeover: bool,
    /// Seed of the random link faults and of the instances.
    pub seed: u64,
}

/// A running process of the program.
pub struct Instance {
    /// Handle of the process.
    pub child: Child,
    /// Address for clients.
    pub http: SocketAddr,
    /// Address for peers; `None` outside a cluster.
    pub peers: Option<SocketAddr>,
}

impl Instance {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: libc::c_int) {
        if let Some(pid) = self.child.id() {
            // Signals address the process by id, so that no other process is hit.
            let _ = Command::new("kill").args([format!("-{signal}"), pid.to_string()]).status();
        }
    }
}

/// A cluster of instances with relays, backends and discovery around it.
pub struct TestCluster {
    /// Names of the instances.
    pub names: Vec<String>,
    /// Instances by index; `None` after an instance has ended.
    pub instances: Vec<Option<Instance>>,
    /// Duplicate instances, with the name that each shares with another instance.
    pub duplicates: Vec<(String, Instance)>,
    /// Relays on the links between instances.
    pub relays: Relays,
    /// Backends that record what they receive.
    pub backends: Vec<RecordingBackend>,
    /// Discovery service.
    pub discovery: Discovery,
    /// Recorder of the history that the rules check.
    pub recorder: Recorder,
    /// Collected logs.
    pub logs: LogCollector,
    config: ClusterConfig,
    directory: PathBuf,
    start_count: u32,
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        // Dropping a process handle kills the process.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl TestCluster {
    /// Starts backends, discovery, relays and instances.
    ///
    /// # Errors
    /// Returns an error if any of them cannot be started.
    pub async fn start(config: ClusterConfig) -> io::Result<Self> {
        static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let directory = format!("mallowgauge-lab-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        std::fs::create_dir_all(&directory)?;
        let names: Vec<String> = (1..=config.instances).map(|number| format!("n{number}")).collect();
        let recorder = Recorder::default();
        let relays = Relays::start(config.instances, config.seed).await?;
        let (mut backends, mut known) = (Vec::new(), Vec::new());
        for index in 0..config.backends {
            let backend = RecordingBackend::start(index, &names, &recorder).await?;
            known.push(KnownBackend {
                addresses: backend.addresses.clone(),
                state: "active",
                started_at_ms: 0,
            });
            backends.push(backend);
        }
        let discovery = Discovery::start(&names, known, &recorder).await?;
        let instances = (0..config.instances).map(|_| None).collect();
        let mut cluster = Self {
            names,
            instances,
            duplicates: Vec::new(),
            relays,
            backends,
            discovery,
            recorder,
            logs: LogCollector::default(),
            config,
            directory,
            start_count: 0,
        };
        for index in 0..cluster.config.instances {
            cluster.start_instance(index).await?;
        }
        Ok(cluster)
    }

    /// Returns the platform's configuration file of an instance.
    fn platform_config(&self, index: usize) -> Value {
        let mut settings = mallowgauge_testkit::settings();
        settings["Limits"]["MaxOpen"] = json!(400);
        settings["FamilyInfo"]["Places"] = json!(self.config.backends);
        settings["FamilyInfo"]["Width"] = json!(self.config.backends);
        settings["Instances"] = json!(self.config.instances);
        json!({
            "name": self.names[index], "listen": "127.0.0.1:0",
            "discovery": self.discovery.addresses[index].to_string(),
            "seed": format!("{:016x}", self.config.seed.wrapping_mul(31).wrapping_add(self.start_count.into())),
            "limits": {"cores": 1.0, "memory_mb": self.config.memory_mb, "sockets": self.config.descriptors},
            "known": discovery::endpoint_list(&self.discovery.state(), index), "settings": settings
        })
    }

    /// Returns the operator's configuration file of an instance.
    fn operator_config(&self, index: usize) -> Value {
        if !self.config.clustered {
            return json!({"log": {"format": "json"}});
        }
        let unreachable: SocketAddr = ([127, 0, 0, 1], 1).into();
        let address = |to: usize| if to == index { unreachable } else { self.relays.address(index, to) };
        let list: Vec<Value> = (0..self.names.len())
            .map(|to| json!({"name": self.names[to], "address": address(to).to_string()}))
            .collect();
        let register_group_size = [1, 1, 1, 3, 3, 5][self.names.len().min(5)];
        let mut section = json!({"name": self.names[index], "listen": "127.0.0.1:0", "group": register_group_size,
                                 "peers": {"version": self.config.list_versions[index], "list": list}});
        if self.config.takeover {
            section["handover"] = json!({"life_ms": RETRY_LIFETIME_MS});
        }
        json!({"log": {"format": "json"}, "fleet": section})
    }

    /// Starts the instance of an index and directs the relays to it.
    ///
    /// # Errors
    /// Returns an error if the process does not start.
    pub async fn start_instance(&mut self, index: usize) -> io::Result<()> {
        self.logs.timeline().forget(&self.names[index]);
        let instance = self.spawn(index).await?;
        instance.peers.into_iter().for_each(|addr| self.relays.set_target(index, addr));
        self.instances[index] = Some(instance);
        Ok(())
    }

    /// Starts a duplicate instance under the same name and directs the relays to it.
    ///
    /// # Errors
    /// Returns an error if the process does not start.
    pub async fn start_duplicate(&mut self, index: usize) -> io::Result<()> {
        let instance = self.spawn(index).await?;
        instance.peers.into_iter().for_each(|addr| self.relays.set_target(index, addr));
        self.duplicates.push((self.names[index].clone(), instance));
        Ok(())
    }

    async fn spawn(&mut self, index: usize) -> io::Result<Instance> {
        self.start_count += 1;
        let name = self.names[index].clone();
        let write_file = |kind: &str, value: &Value| {
            let path = self.directory.join(format!("{name}-{}-{kind}.json", self.start_count));
            std::fs::write(&path, value.to_string()).map(|()| path)
        };
        let config = write_file("config", &self.platform_config(index))?;
        let operator = write_file("operator", &self.operator_config(index))?;
        let script = format!("ulimit -n {}; exec \"$0\" \"$1\"", self.config.enforced_descriptors);
        let mut child = tokio::process::Command::new("sh")
            .args(["-c", &script])
            .arg(mallowgauge_testkit::program_path())
            .arg(operator)
            .env("RELAY_CONFIG", config)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let no_pipe = || io::Error::other("output of the process is not captured");
        let mut lines = BufReader::new(child.stdout.take().ok_or_else(no_pipe)?).lines();
        let (mut http, mut peers) = (None, None);
        while http.is_none() {
            let line = lines.next_line().await?;
            let line = line
                .ok_or_else(|| io::Error::other(format!("{name} exited before it listened for clients")))?;
            self.logs.add_line(&name, &line);
            let message: Value = serde_json::from_str(&line).unwrap_or_default();
            let message = message.get("message").and_then(Value::as_str).unwrap_or_default();
            if let Some((_, rest)) = message.split_once("listening for peers on ") {
                peers = rest.split(',').next().and_then(|addr| addr.parse().ok());
            }
            if let Some((_, addr)) = message.split_once(" listens on ") {
                http = addr.parse().ok();
            }
        }
        let (logs, stdout_name) = (self.logs.clone(), name.clone());
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                logs.add_line(&stdout_name, &line);
            }
        });
        let mut errors = BufReader::new(child.stderr.take().ok_or_else(no_pipe)?).lines();
        let logs = self.logs.clone();
        tokio::spawn(async move {
            while let Ok(Some(line)) = errors.next_line().await {
                logs.add_line(&name, &line);
            }
        });
        let http = http.ok_or_else(|| io::Error::other("no client address logged"))?;
        Ok(Instance { child, http, peers })
    }

    /// Returns the running instance of an index.
    #[must_use]
    pub fn instance(&self, index: usize) -> Option<&Instance> {
        self.instances.get(index).and_then(Option::as_ref)
    }

    /// Returns an instance's resident memory in bytes and its number of open descriptors.
    #[must_use]
    pub fn resource_usage(&self, index: usize) -> Option<(u64, u64)> {
        resource_usage(self.instance(index)?.child.id()?)
    }
}

/// Returns the resident memory in bytes and the number of open descriptors of a process.
#[must_use]
pub fn resource_usage(pid: u32) -> Option<(u64, u64)> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
    Some((kb * 1024, descriptors))
}
