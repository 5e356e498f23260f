//! A relay for each directed pair of instances. It knows the boundaries between messages, so it can drop, delay,
//! duplicate and reorder complete messages, besides throttling bytes and resetting connections.

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

/// Faults that a relay injects in one direction. The default injects none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// All traffic is dropped, and neither side is notified.
    #[serde(skip_serializing_if = "is_default")]
    pub cut: bool,
    /// All traffic is held back until this fault ends, then delivered.
    #[serde(skip_serializing_if = "is_default")]
    pub hold: bool,
    /// Each message is delayed by this much.
    #[serde(skip_serializing_if = "is_default")]
    pub delay_ms: u64,
    /// Each message is delayed further by a random time up to this, so that messages overtake one another.
    #[serde(skip_serializing_if = "is_default")]
    pub jitter_ms: u64,
    /// The share of messages that is lost.
    #[serde(skip_serializing_if = "is_default")]
    pub lose: f64,
    /// The share of messages that is delivered twice.
    #[serde(skip_serializing_if = "is_default")]
    pub twice: f64,
    /// Limit of bytes per second; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub bytes_a_second: u64,
    /// The connection is reset once, at this byte after the fault began.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reset_at: Option<u64>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// The traffic from one instance to another.
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

    /// Returns the byte at which the connection is reset, if any.
    fn reset_at(&self) -> Option<u64> {
        lock_ignoring_poison(&self.fault).reset_at
    }

    /// Waits until traffic is neither dropped nor held back.
    async fn opened(&self) {
        loop {
            let changed = self.changed.notified();
            let fault = self.fault();
            if !fault.hold && !fault.cut {
                return;
            }
            // The timeout makes up for a notification between the check and the wait.
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
    /// Starts relays between all pairs of this many instances, on free ports.
    pub async fn start(instances: usize, seed: u64) -> io::Result<Self> {
        let pairs = (0..instances).flat_map(|a| (0..instances).map(move |b| (a, b)));
        let pairs: Vec<(usize, usize)> = pairs.filter(|(a, b)| a != b).collect();
        let flows: BTreeMap<_, Arc<Flow>> = pairs.iter().map(|pair| (*pair, Arc::default())).collect();
        let targets = Arc::new(Mutex::new(BTreeMap::<usize, SocketAddr>::new()));
        let mut addresses = BTreeMap::new();
        for &(from, to) in &pairs {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.insert((from, to), listener.local_addr()?);
            let (forward, backward) = (flows[&(from, to)].clone(), flows[&(to, from)].clone());
            let targets = targets.clone();
            let seed = seed ^ ((from as u64) << 32) ^ to as u64;
            tokio::spawn(async move {
                let mut connection_seed = seed;
                while let Ok((socket, _)) = listener.accept().await {
                    connection_seed = connection_seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
                    let target = lock_ignoring_poison(&targets).get(&to).copied();
                    tokio::spawn(join(socket, target, forward.clone(), backward.clone(), connection_seed));
                }
            });
        }
        Ok(Self { flows, addresses, targets })
    }

    /// Returns the address at which one instance reaches another.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[&(from, to)]
    }

    /// Sets the address at which an instance listens.
    pub fn set_target(&self, instance: usize, addr: SocketAddr) {
        lock_ignoring_poison(&self.targets).insert(instance, addr);
    }

    /// Sets the fault of one direction.
    pub fn set_fault(&self, from: usize, to: usize, fault: &Fault) {
        if let Some(flow) = self.flows.get(&(from, to)) {
            *lock_ignoring_poison(&flow.fault) = fault.clone();
            flow.changed.notify_waiters();
        }
    }

    /// Ends all faults.
    pub fn heal(&self) {
        for &(from, to) in self.flows.keys() {
            self.set_fault(from, to, &Fault::default());
        }
    }

    /// Returns how many messages and bytes an instance has sent so far.
    pub fn sent(&self, instance: usize) -> (u64, u64) {
        let flows = self.flows.iter().filter(|((from, _), _)| *from == instance);
        flows.fold((0, 0), |(messages, bytes), (_, flow)| {
            let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
            (messages + load(&flow.messages), bytes + load(&flow.bytes))
        })
    }
}

/// Makes the socket send a reset when it is closed.
fn reset_on_close(socket: &TcpStream) {
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Connects to the target and relays both directions until one of them ends.
async fn join(
    source: TcpStream,
    target: Option<SocketAddr>,
    forward: Arc<Flow>,
    backward: Arc<Flow>,
    seed: u64,
) {
    reset_on_close(&source);
    let Some(target) = target else { return };
    let Ok(target) = TcpStream::connect(target).await else { return };
    reset_on_close(&target);
    let _ = (source.set_nodelay(true), target.set_nodelay(true));
    let ((source_read, source_write), (target_read, target_write)) =
        (source.into_split(), target.into_split());
    let (ended, mut any_ended) = mpsc::channel::<()>(4);
    let tasks = [
        tokio::spawn(pump(source_read, target_write, forward, seed, ended.clone())),
        tokio::spawn(pump(target_read, source_write, backward, seed ^ 1, ended)),
    ];
    // Once one direction has ended, both connections are reset.
    any_ended.recv().await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}

/// Relays one direction until it ends, then notifies `ended`.
async fn pump(from: OwnedReadHalf, to: OwnedWriteHalf, flow: Arc<Flow>, seed: u64, ended: mpsc::Sender<()>) {
    let (sender, receiver) = mpsc::channel(4096);
    let reader = read(from, sender, flow.clone(), seed);
    let writer = write(to, receiver, flow.clone());
    tokio::select! {
        () = reader => {
            // While traffic is dropped or held back, the close is not visible either.
            flow.opened().await;
        }
        () = writer => {}
    }
    let _ = ended.send(()).await;
}

/// A message and the time at which it is due.
type Due = (Instant, Vec<u8>);

/// Reads messages and passes on those that are not lost, with the time at which each is due.
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
            let delay_us = fault.delay_ms * 1000 + rng.u64(0..=fault.jitter_ms * 1000);
            let due = Instant::now() + Duration::from_micros(delay_us);
            if out.send((due, message.clone())).await.is_err() {
                return;
            }
        }
    }
    // Messages in transit are delivered before the connection ends.
    let _ = out.send((Instant::now(), Vec::new())).await;
    out.closed().await;
}

/// Writes messages when they are due.
async fn write(mut to: OwnedWriteHalf, mut from: mpsc::Receiver<Due>, flow: Arc<Flow>) {
    let mut pending: BTreeMap<(Instant, u64), Vec<u8>> = BTreeMap::new();
    let (mut sequence, mut written, mut closed) = (0_u64, 0_u64, false);
    let mut armed_reset = None;
    loop {
        let next = pending.keys().next().map(|(at, _)| *at);
        if closed && next.is_none() {
            return;
        }
        tokio::select! {
            biased;
            received = from.recv(), if !closed => match received {
                Some((at, message)) if !message.is_empty() => {
                    sequence += 1;
                    pending.insert((at, sequence), message);
                    continue;
                }
                _ => { closed = true; continue; }
            },
            // A message that is due is sent at once: the runtime's timers have a resolution of a millisecond.
            () = async {
                if let Some(at) = next.filter(|at| *at > Instant::now()) {
                    tokio::time::sleep_until(at).await;
                }
            }, if next.is_some() => {}
        }
        let Some((_, message)) = pending.pop_first() else { continue };
        // Messages in transit when `cut` begins are lost too; with `hold` they wait.
        if flow.fault().cut {
            continue;
        }
        flow.opened().await;
        if flow.reset_at() != armed_reset {
            (armed_reset, written) = (flow.reset_at(), 0);
        }
        let allowed = armed_reset.map_or(usize::MAX, |at| (at.saturating_sub(written)) as usize);
        let part = &message[..message.len().min(allowed)];
        if to.write_all(part).await.is_err() {
            return;
        }
        written += part.len() as u64;
        if part.len() < message.len() || armed_reset == Some(written) {
            lock_ignoring_poison(&flow.fault).reset_at = None;
            return;
        }
        let rate = flow.fault().bytes_a_second;
        if let Some(time) = (part.len() as u64 * 1_000_000).checked_div(rate) {
            tokio::time::sleep(Duration::from_micros(time)).await;
        }
    }
}
