//! A relay for each directed pair of processes. It knows where one message ends and the next begins, so that
//! it can lose, delay, double and swap whole messages, besides what it does to bytes and connections.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

use super::lock_ignoring_poison;

/// What a relay does to what goes one way. All of it is off where nothing is said.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Nothing comes through, and nobody hears of it.
    #[serde(skip_serializing_if = "is_default")]
    pub cut: bool,
    /// Nothing comes through until this is over; then all of it does.
    #[serde(skip_serializing_if = "is_default")]
    pub hold: bool,
    /// Each message comes so much later.
    #[serde(skip_serializing_if = "is_default")]
    pub delay_ms: u64,
    /// And up to so much later still, each by itself: messages overtake one another.
    #[serde(skip_serializing_if = "is_default")]
    pub jitter_ms: u64,
    /// This share of the messages is lost.
    #[serde(skip_serializing_if = "is_default")]
    pub lose: f64,
    /// This share of the messages comes twice.
    #[serde(skip_serializing_if = "is_default")]
    pub twice: f64,
    /// No more bytes a second than these; 0 for any number.
    #[serde(skip_serializing_if = "is_default")]
    pub bytes_a_second: u64,
    /// The connection is reset at this byte, counted from when the fault began; once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reset_at: Option<u64>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// What goes from one process to another.
#[derive(Default)]
struct Flow {
    fault: Mutex<Fault>,
    changed: Notify,
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl Flow {
    fn fault(&self) -> Fault {
        lock_ignoring_poison(&self.fault).clone()
    }

    /// How many bytes come through before the connection is reset.
    fn until_reset(&self) -> Option<u64> {
        lock_ignoring_poison(&self.fault).reset_at
    }

    async fn opened(&self) {
        loop {
            let changed = self.changed.notified();
            let fault = self.fault();
            if !fault.hold && !fault.cut {
                return;
            }
            // A notice that came between the look and the wait is made up for soon.
            let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
        }
    }
}

/// All relays of a trial.
pub struct Relays {
    flows: BTreeMap<(usize, usize), Arc<Flow>>,
    addresses: BTreeMap<(usize, usize), SocketAddr>,
    targets: Arc<Mutex<BTreeMap<usize, SocketAddr>>>,
}

impl Relays {
    /// Relays between so many processes, on free ports.
    pub async fn start(processes: usize, seed: u64) -> io::Result<Self> {
        let pairs = (0..processes).flat_map(|a| (0..processes).map(move |b| (a, b)));
        let pairs: Vec<(usize, usize)> = pairs.filter(|(a, b)| a != b).collect();
        let flows: BTreeMap<_, Arc<Flow>> = pairs.iter().map(|pair| (*pair, Arc::default())).collect();
        let targets = Arc::new(Mutex::new(BTreeMap::<usize, SocketAddr>::new()));
        let mut addresses = BTreeMap::new();
        for &(from, to) in &pairs {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.insert((from, to), listener.local_addr()?);
            let (there, back) = (flows[&(from, to)].clone(), flows[&(to, from)].clone());
            let targets = targets.clone();
            let seed = seed ^ ((from as u64) << 32) ^ to as u64;
            tokio::spawn(async move {
                let mut number = seed;
                while let Ok((socket, _)) = listener.accept().await {
                    number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
                    let target = lock_ignoring_poison(&targets).get(&to).copied();
                    tokio::spawn(join(socket, target, there.clone(), back.clone(), number));
                }
            });
        }
        Ok(Self { flows, addresses, targets })
    }

    /// Where one process reaches another.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[&(from, to)]
    }

    /// Where a process listens now.
    pub fn set_target(&self, process: usize, addr: SocketAddr) {
        lock_ignoring_poison(&self.targets).insert(process, addr);
    }

    /// Sets what happens to what goes one way.
    pub fn set_fault(&self, from: usize, to: usize, fault: &Fault) {
        if let Some(flow) = self.flows.get(&(from, to)) {
            *lock_ignoring_poison(&flow.fault) = fault.clone();
            flow.changed.notify_waiters();
        }
    }

    /// No faults any more.
    pub fn heal(&self) {
        for &(from, to) in self.flows.keys() {
            self.set_fault(from, to, &Fault::default());
        }
    }

    /// Messages and bytes that a process has sent so far.
    pub fn sent(&self, process: usize) -> (u64, u64) {
        let of = self.flows.iter().filter(|((from, _), _)| *from == process);
        of.fold((0, 0), |(messages, bytes), (_, flow)| {
            let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
            (messages + load(&flow.messages), bytes + load(&flow.bytes))
        })
    }
}

fn reset(socket: &TcpStream) {
    // Closing with this set is a reset.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

async fn join(socket: TcpStream, target: Option<SocketAddr>, there: Arc<Flow>, back: Arc<Flow>, seed: u64) {
    reset(&socket);
    let Some(target) = target else { return };
    let Ok(other) = TcpStream::connect(target).await else { return };
    reset(&other);
    let _ = (socket.set_nodelay(true), other.set_nodelay(true));
    let ((from, to_from), (to, to_to)) = (socket.into_split(), other.into_split());
    let (ends, mut over) = mpsc::channel::<()>(4);
    let tasks = [
        tokio::spawn(pump(from, to_to, there, seed, ends.clone())),
        tokio::spawn(pump(to, to_from, back, seed ^ 1, ends)),
    ];
    // The first direction that ends takes the connection with it, by a reset.
    over.recv().await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}

/// Carries one way until that ends, and says so.
async fn pump(from: OwnedReadHalf, to: OwnedWriteHalf, flow: Arc<Flow>, seed: u64, over: mpsc::Sender<()>) {
    let (sender, receiver) = mpsc::channel(4096);
    let reader = read(from, sender, flow.clone(), seed);
    let writer = write(to, receiver, flow.clone());
    tokio::select! {
        () = reader => {
            // One that is cut off is not seen to close, either.
            flow.opened().await;
        }
        () = writer => {}
    }
    let _ = over.send(()).await;
}

type Due = (Instant, Vec<u8>);

async fn read(mut from: OwnedReadHalf, out: mpsc::Sender<Due>, flow: Arc<Flow>, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        let mut message = vec![0; 4];
        if from.read_exact(&mut message).await.is_err() {
            break;
        }
        let length = u32::from_be_bytes([message[0], message[1], message[2], message[3]]) as usize;
        message.resize(4 + length.min(16 << 20), 0);
        if from.read_exact(&mut message[4..]).await.is_err() {
            break;
        }
        flow.messages.fetch_add(1, Ordering::Relaxed);
        flow.bytes.fetch_add(message.len() as u64, Ordering::Relaxed);
        let fault = flow.fault();
        if fault.cut || rng.f64() < fault.lose {
            continue;
        }
        let copies = 1 + usize::from(rng.f64() < fault.twice);
        for _ in 0..copies {
            let later = fault.delay_ms * 1000 + rng.u64(0..=fault.jitter_ms * 1000);
            let due = Instant::now() + Duration::from_micros(later);
            if out.send((due, message.clone())).await.is_err() {
                return;
            }
        }
    }
    // What is on its way comes through before the end does.
    let _ = out.send((Instant::now(), Vec::new())).await;
    out.closed().await;
}

async fn write(mut to: OwnedWriteHalf, mut from: mpsc::Receiver<Due>, flow: Arc<Flow>) {
    let mut waiting: BTreeMap<(Instant, u64), Vec<u8>> = BTreeMap::new();
    let (mut number, mut done, mut closed) = (0_u64, 0_u64, false);
    let mut armed = None;
    loop {
        let next = waiting.keys().next().map(|(at, _)| *at);
        if closed && next.is_none() {
            return;
        }
        tokio::select! {
            biased;
            come = from.recv(), if !closed => match come {
                Some((at, message)) if !message.is_empty() => {
                    number += 1;
                    waiting.insert((at, number), message);
                    continue;
                }
                _ => { closed = true; continue; }
            },
            // What is due goes at once: the runtime's timers would make a millisecond of it.
            () = async {
                if let Some(at) = next.filter(|at| *at > Instant::now()) {
                    tokio::time::sleep_until(at).await;
                }
            }, if next.is_some() => {}
        }
        let Some((_, message)) = waiting.pop_first() else { continue };
        // What was on its way when a cut began is lost, too; what is held waits.
        if flow.fault().cut {
            continue;
        }
        flow.opened().await;
        if flow.until_reset() != armed {
            (armed, done) = (flow.until_reset(), 0);
        }
        let room = armed.map_or(usize::MAX, |at| (at.saturating_sub(done)) as usize);
        let part = &message[..message.len().min(room)];
        if to.write_all(part).await.is_err() {
            return;
        }
        done += part.len() as u64;
        if part.len() < message.len() || armed == Some(done) {
            lock_ignoring_poison(&flow.fault).reset_at = None;
            return;
        }
        let rate = flow.fault().bytes_a_second;
        if let Some(time) = (part.len() as u64 * 1_000_000).checked_div(rate) {
            tokio::time::sleep(Duration::from_micros(time)).await;
        }
    }
}
