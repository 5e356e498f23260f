//! Hosts on the platform's frames. Each has an address of its own for each process, so that it is known who
//! sent what.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::{lock_ignoring_poison, rules::ReceivedPart, Recorder};

/// How a host behaves.
#[derive(Clone, Copy, Debug)]
pub struct BackendBehavior {
    /// How long a part takes.
    pub service_time: Duration,
    /// It takes nothing new.
    pub draining: bool,
    /// It runs a part for each one that it was sent, and one more: a planted fault, for the rule's own test.
    pub executes_twice: bool,
}

/// A host.
pub struct RecordingBackend {
    pub addresses: Vec<SocketAddr>,
    manner: Arc<Mutex<BackendBehavior>>,
}

impl RecordingBackend {
    /// The host of that number, for these processes.
    pub async fn start(number: usize, processes: &[String], notes: &Recorder) -> io::Result<Self> {
        let work = Duration::from_millis(2);
        let manner = Arc::new(Mutex::new(BackendBehavior {
            service_time: work,
            draining: false,
            executes_twice: false,
        }));
        let mut addresses = Vec::new();
        for process in processes {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let (notes, manner, process) = (notes.clone(), manner.clone(), process.clone());
            tokio::spawn(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let serve = serve(socket, number, process.clone(), notes.clone(), manner.clone());
                    tokio::spawn(async move { drop(serve.await) });
                }
            });
        }
        Ok(Self { addresses, manner })
    }

    pub fn update(&self, change: impl FnOnce(&mut BackendBehavior)) {
        change(&mut lock_ignoring_poison(&self.manner));
    }
}

fn frame(letter: u8, rest: &str) -> Vec<u8> {
    let length = rest.len() as u32 + 1;
    [&length.to_be_bytes()[..], &[letter], rest.as_bytes()].concat()
}

async fn serve(
    socket: TcpStream,
    number: usize,
    process: String,
    notes: Recorder,
    manner: Arc<Mutex<BackendBehavior>>,
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
        let mut rest = vec![0; length.saturating_sub(1)];
        from.read_exact(&mut rest).await?;
        let rest = String::from_utf8_lossy(&rest).into_owned();
        if head[4] == b'o' {
            let _ = answers.send(frame(b'o', "good"));
        }
        let mut text = if head[4] == b'm' { &*rest } else { "" };
        while let Some((line, after)) = text.split_once('\n') {
            let words: Vec<&str> = line.split(' ').collect();
            let [id, shard, _, length] = words[..] else { return Ok(()) };
            let (Ok(shard), Ok(length)) = (shard.parse(), length.parse::<usize>()) else { return Ok(()) };
            text = after.get(length..).unwrap_or_default();
            let manner = *lock_ignoring_poison(&manner);
            let query = id.rsplit_once('.').map_or(id, |(query, _)| query).to_owned();
            if manner.draining {
                let _ = answers.send(frame(b'q', &format!("{id} later 0 -\n")));
            }
            let run = ReceivedPart {
                at: notes.now(),
                instance: process.clone(),
                backend: number,
                id: query,
                shard,
            };
            let times = usize::from(manner.executes_twice) + 1;
            notes.history().received_parts.extend(std::iter::repeat_n(run, times));
            if !manner.draining {
                let answer = frame(b'q', &format!("{id} good 0 util=0.1\nvalue-{shard}"));
                let answers = answers.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(manner.service_time).await;
                    let _ = answers.send(answer);
                });
            }
        }
    }
}
