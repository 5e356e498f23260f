//! Discovery, with an address for each process. It tells the whole list whenever something changed.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{lock_ignoring_poison, Recorder};

/// A host, as discovery knows it.
#[derive(Clone, Debug)]
pub struct KnownBackend {
    /// Its address for each process.
    pub addresses: Vec<SocketAddr>,
    pub state: &'static str,
    /// Its last start, in milliseconds of Unix time; 0 for long ago.
    pub started_at_ms: u64,
}

/// What is told.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub backends: Vec<KnownBackend>,
    pub down: bool,
    /// Changes are written down as told and not told: a planted fault, for the rules' own tests.
    pub suppress_updates: bool,
    generation: u64,
}

/// The service.
pub struct Discovery {
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

/// The list as one process gets it.
pub fn endpoint_list(state: &State, process: usize) -> Value {
    let instance = |(at, host): (usize, &KnownBackend)| {
        json!({"instanceId": format!("s-{at}"), "hostPort": host.addresses[process].to_string(),
               "zone": "regina-dc1", "machineType": "m2", "cell": at, "lifecycle": host.state,
               "weight": 1.0, "startedAtMs": host.started_at_ms})
    };
    let instances: Vec<Value> = state.backends.iter().enumerate().map(instance).collect();
    json!({"generation": state.generation, "reset": true, "instances": instances})
}

impl Discovery {
    pub async fn start(processes: &[String], hosts: Vec<KnownBackend>, notes: &Recorder) -> io::Result<Self> {
        let state = State { backends: hosts, generation: 1, ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let (changed, watching) = watch::channel(1);
        let mut addresses = Vec::new();
        for (at, process) in processes.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let (state, watching) = (state.clone(), watching.clone());
            let (notes, process) = (notes.clone(), process.clone());
            tokio::spawn(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let teller = DiscoveryConnection {
                        at,
                        process: process.clone(),
                        state: state.clone(),
                        notes: notes.clone(),
                        watching: watching.clone(),
                    };
                    tokio::spawn(async move { drop(teller.serve(socket).await) });
                }
            });
        }
        Ok(Self { addresses, state, changed })
    }

    pub fn state(&self) -> State {
        lock_ignoring_poison(&self.state).clone()
    }

    pub fn update(&self, change: impl FnOnce(&mut State)) {
        let generation = {
            let mut state = lock_ignoring_poison(&self.state);
            change(&mut state);
            state.generation += 1;
            state.generation
        };
        let _ = self.changed.send(generation);
    }
}

/// One connection.
struct DiscoveryConnection {
    at: usize,
    process: String,
    state: Arc<Mutex<State>>,
    notes: Recorder,
    watching: watch::Receiver<u64>,
}

impl DiscoveryConnection {
    async fn serve(mut self, socket: TcpStream) -> io::Result<()> {
        let (from, mut to) = socket.into_split();
        let mut lines = BufReader::new(from).lines();
        let mut drains: Vec<usize> = Vec::new();
        while let Some(first) = lines.next_line().await? {
            while lines.next_line().await?.is_some_and(|line| !line.is_empty()) {}
            let index = first.split_once("index=").map(|(_, rest)| rest);
            let index = index.and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
            if let Some(index) = index {
                let news = self.watching.wait_for(|generation| *generation > index);
                let _ = tokio::time::timeout(Duration::from_secs(10), news).await;
            }
            let state = lock_ignoring_poison(&self.state).clone();
            if state.down {
                return Ok(());
            }
            for (host, _) in state.backends.iter().enumerate().filter(|(_, host)| host.state == "leaving") {
                if !drains.contains(&host) {
                    drains.push(host);
                    self.notes.history().drains.push((self.notes.now(), self.process.clone(), host));
                }
            }
            let mut told = state;
            if told.suppress_updates {
                told.backends.iter_mut().for_each(|host| (host.state, host.started_at_ms) = ("active", 0));
            }
            let body = endpoint_list(&told, self.at).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            to.write_all((head + &body).as_bytes()).await?;
        }
        Ok(())
    }
}
