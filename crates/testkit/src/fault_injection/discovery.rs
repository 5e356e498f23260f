//! Stand-in discovery with a separate address for each instance. It sends a snapshot whenever something has changed.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{lock_ignoring_poison, Recorder};

/// A backend as discovery knows it.
#[derive(Clone, Debug)]
pub struct KnownBackend {
    /// Its address for each instance.
    pub addresses: Vec<SocketAddr>,
    pub state: &'static str,
    /// Its last start in milliseconds of Unix time; 0 for one long ago.
    pub started_at_ms: u64,
}

/// What discovery reports.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub backends: Vec<KnownBackend>,
    /// Requests are not answered.
    pub down: bool,
    /// Changes are recorded as reported but are not reported: an injected fault that the rules must detect.
    pub suppress_updates: bool,
    generation: u64,
}

/// The discovery service.
pub struct Discovery {
    /// Its address for each instance.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

/// The snapshot that one instance gets.
pub fn endpoint_list(state: &State, instance: usize) -> Value {
    let endpoint = |(index, backend): (usize, &KnownBackend)| {
        json!({"instanceId": format!("s-{index}"), "hostPort": backend.addresses[instance].to_string(),
               "zone": "regina-dc1", "machineType": "m2", "cell": index, "lifecycle": backend.state,
               "weight": 1.0, "startedAtMs": backend.started_at_ms})
    };
    let endpoints: Vec<Value> = state.backends.iter().enumerate().map(endpoint).collect();
    json!({"generation": state.generation, "reset": true, "instances": endpoints})
}

impl Discovery {
    /// Starts discovery for these instances, with these backends.
    pub async fn start(
        instances: &[String],
        backends: Vec<KnownBackend>,
        recorder: &Recorder,
    ) -> io::Result<Self> {
        let state = State { backends, generation: 1, ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let (changed, generation) = watch::channel(1);
        let mut addresses = Vec::new();
        for (index, instance) in instances.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let (state, generation) = (state.clone(), generation.clone());
            let (recorder, instance) = (recorder.clone(), instance.clone());
            tokio::spawn(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let connection = DiscoveryConnection {
                        index,
                        instance: instance.clone(),
                        state: state.clone(),
                        recorder: recorder.clone(),
                        generation: generation.clone(),
                    };
                    tokio::spawn(async move { drop(connection.serve(socket).await) });
                }
            });
        }
        Ok(Self { addresses, state, changed })
    }

    /// Returns a copy of the current state.
    pub fn state(&self) -> State {
        lock_ignoring_poison(&self.state).clone()
    }

    /// Changes the state and answers the pending watches.
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

/// A connection of one instance.
struct DiscoveryConnection {
    index: usize,
    instance: String,
    state: Arc<Mutex<State>>,
    recorder: Recorder,
    generation: watch::Receiver<u64>,
}

impl DiscoveryConnection {
    async fn serve(mut self, socket: TcpStream) -> io::Result<()> {
        let (from, mut to) = socket.into_split();
        let mut lines = BufReader::new(from).lines();
        let mut reported_drains: Vec<usize> = Vec::new();
        while let Some(request) = lines.next_line().await? {
            while lines.next_line().await?.is_some_and(|line| !line.is_empty()) {}
            let index = request.split_once("index=").map(|(_, rest)| rest);
            let index = index.and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
            if let Some(index) = index {
                let change = self.generation.wait_for(|generation| *generation > index);
                let _ = tokio::time::timeout(Duration::from_secs(10), change).await;
            }
            let state = lock_ignoring_poison(&self.state).clone();
            if state.down {
                return Ok(());
            }
            for (backend, _) in
                state.backends.iter().enumerate().filter(|(_, known)| known.state == "leaving")
            {
                if !reported_drains.contains(&backend) {
                    reported_drains.push(backend);
                    self.recorder.history().drains.push((
                        self.recorder.now(),
                        self.instance.clone(),
                        backend,
                    ));
                }
            }
            let mut reported = state;
            if reported.suppress_updates {
                let backends = reported.backends.iter_mut();
                backends.for_each(|backend| (backend.state, backend.started_at_ms) = ("active", 0));
            }
            let body = endpoint_list(&reported, self.index).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            to.write_all((head + &body).as_bytes()).await?;
        }
        Ok(())
    }
}
