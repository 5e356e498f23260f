//! Backends that speak the platform's frames and record the parts that they receive. Each has a separate address for
//! each instance, which shows which instance sent a part.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::{lock_ignoring_poison, rules::ReceivedPart, Recorder};

/// How a backend behaves.
#[derive(Clone, Copy, Debug)]
pub struct BackendBehavior {
    /// How long a part takes.
    pub service_time: Duration,
    /// It rejects new parts.
    pub draining: bool,
    /// It records every part twice, as if it had executed it twice: an injected fault that the rule must detect.
    pub executes_twice: bool,
}

/// A backend that records the parts that it receives.
pub struct RecordingBackend {
    /// Its address for each instance.
    pub addresses: Vec<SocketAddr>,
    behavior: Arc<Mutex<BackendBehavior>>,
}

impl RecordingBackend {
    /// Starts the backend with this number for these instances.
    pub async fn start(number: usize, instances: &[String], recorder: &Recorder) -> io::Result<Self> {
        let service_time = Duration::from_millis(2);
        let behavior =
            Arc::new(Mutex::new(BackendBehavior { service_time, draining: false, executes_twice: false }));
        let mut addresses = Vec::new();
        for instance in instances {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let (recorder, behavior, instance) = (recorder.clone(), behavior.clone(), instance.clone());
            tokio::spawn(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let serve = serve(socket, number, instance.clone(), recorder.clone(), behavior.clone());
                    tokio::spawn(async move { drop(serve.await) });
                }
            });
        }
        Ok(Self { addresses, behavior })
    }

    /// Changes the behavior.
    pub fn update(&self, change: impl FnOnce(&mut BackendBehavior)) {
        change(&mut lock_ignoring_poison(&self.behavior));
    }
}

/// Encodes a frame with this kind letter and payload.
fn frame(letter: u8, payload: &str) -> Vec<u8> {
    let length = payload.len() as u32 + 1;
    [&length.to_be_bytes()[..], &[letter], payload.as_bytes()].concat()
}

async fn serve(
    socket: TcpStream,
    number: usize,
    instance: String,
    recorder: Recorder,
    behavior: Arc<Mutex<BackendBehavior>>,
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let (mut from, mut to) = socket.into_split();
    let (answers, mut ready) = mpsc::unbounded_channel::<Vec<u8>>();
    tokio::spawn(async move {
        while let Some(answer) = ready.recv().await {
            if to.write_all(&answer).await.is_err() {
                return;
            }
        }
    });
    loop {
        let mut head = [0; 5];
        from.read_exact(&mut head).await?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length.saturating_sub(1)];
        from.read_exact(&mut payload).await?;
        let payload = String::from_utf8_lossy(&payload).into_owned();
        if head[4] == b'o' {
            let _ = answers.send(frame(b'o', "good"));
        }
        let mut text = if head[4] == b'm' { &*payload } else { "" };
        while let Some((line, after)) = text.split_once('\n') {
            let words: Vec<&str> = line.split(' ').collect();
            let [id, shard, _, length] = words[..] else { return Ok(()) };
            let (Ok(shard), Ok(length)) = (shard.parse(), length.parse::<usize>()) else { return Ok(()) };
            text = after.get(length..).unwrap_or_default();
            let behavior = *lock_ignoring_poison(&behavior);
            let query = id.rsplit_once('.').map_or(id, |(query, _)| query).to_owned();
            if behavior.draining {
                let _ = answers.send(frame(b'q', &format!("{id} later 0 -\n")));
            }
            let part = ReceivedPart {
                at: recorder.now(),
                instance: instance.clone(),
                backend: number,
                id: query,
                shard,
            };
            let copies = usize::from(behavior.executes_twice) + 1;
            recorder.history().received_parts.extend(std::iter::repeat_n(part, copies));
            if !behavior.draining {
                let answer = frame(b'q', &format!("{id} good 0 util=0.1\nvalue-{shard}"));
                let answers = answers.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(behavior.service_time).await;
                    let _ = answers.send(answer);
                });
            }
        }
    }
}
