//! Peers that misbehave: they connect to a process as the list allows and then do what no peer should.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a stranger does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Act")]
pub enum Misbehavior {
    /// Half a message, then silence.
    Half,
    /// A message of 1 GB is announced.
    Huge,
    /// Bytes that are no message.
    Garbage,
    /// A hello of an unknown major version.
    Version,
    /// A hello of a name that is in no list.
    Unlisted,
    /// A hello with the other side's own name.
    Namesake,
    /// Connects and says nothing.
    Silent,
    /// A sound hello in the name given, then messages of kinds that nobody knows.
    UnknownKinds,
    /// A sound hello in the name given, then questions as fast as they can be written.
    Flood,
    /// A sound hello in the name given, then questions whose answers are never read.
    Deaf,
    /// A sound hello in the name given, then now and then a whole question, whose answers are never read.
    Unread,
}

/// As much of a hello as a stranger needs; the program's own is written elsewhere, on purpose.
#[derive(Clone, PartialEq, Message)]
struct Hello {
    #[prost(uint32, tag = "1")]
    major: u32,
    #[prost(string, tag = "3")]
    name: String,
    #[prost(uint64, tag = "4")]
    list: u64,
    #[prost(fixed64, tag = "5")]
    digest: u64,
    #[prost(message, optional, tag = "6")]
    own: Option<Life>,
}

#[derive(Clone, PartialEq, Message)]
struct Life {
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(fixed64, tag = "3")]
    nonce: u64,
}

#[derive(Clone, PartialEq, Message)]
struct First {
    #[prost(message, optional, tag = "1")]
    hello: Option<Hello>,
}

#[derive(Clone, PartialEq, Message)]
struct Question {
    #[prost(uint64, tag = "1")]
    seq: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Ping {
    #[prost(message, optional, tag = "3")]
    ping: Option<Question>,
}

fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes()[..], body].concat()
}

/// In whose name a stranger comes.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// The names of the list that the process has, in its order.
    pub names: Vec<String>,
    /// Its version.
    pub list_version: u64,
    /// The name that a sound hello says.
    pub name: String,
    /// The name of the process itself.
    pub target_name: String,
}

impl PeerIdentity {
    fn hello(&self, major: u32, name: &str) -> Vec<u8> {
        let bytes = self.names.iter().flat_map(|name| name.bytes().chain([0]));
        let digest = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        // A later life than the one that the others know, so that it is taken.
        let own = Some(Life { number: 50, nonce: 7 });
        let hello = Some(Hello { major, name: name.to_owned(), list: self.list_version, digest, own });
        framed(&First { hello }.encode_to_vec())
    }
}

/// Plays it for so long at most, and says how many bytes came back before the other side closed; `None` if it
/// did not close.
pub async fn run(
    addr: SocketAddr,
    act: Misbehavior,
    guise: &PeerIdentity,
    most: Duration,
) -> io::Result<Option<usize>> {
    let mut socket = TcpStream::connect(addr).await?;
    // What is not read fills little.
    socket2::SockRef::from(&socket).set_recv_buffer_size(4096)?;
    let question = |seq| framed(&Ping { ping: Some(Question { seq }) }.encode_to_vec());
    let sound = guise.hello(1, &guise.name);
    let first = match act {
        Misbehavior::Half => sound[..sound.len() - 3].to_vec(),
        Misbehavior::Huge => 0x4000_0000_u32.to_be_bytes().to_vec(),
        Misbehavior::Garbage => framed(&[0xff; 64]),
        Misbehavior::Version => guise.hello(9, &guise.name),
        Misbehavior::Unlisted => guise.hello(1, "nobody"),
        Misbehavior::Namesake => guise.hello(1, &guise.target_name),
        Misbehavior::Silent => Vec::new(),
        // Field 99, of bytes: no kind of today's.
        Misbehavior::UnknownKinds => [sound, framed(&[0x9a, 0x06, 1, 0]).repeat(100)].concat(),
        Misbehavior::Flood | Misbehavior::Deaf | Misbehavior::Unread => sound,
    };
    socket.write_all(&first).await?;
    let play = async {
        let mut seq = 0;
        let many = |seq: &mut u64| -> Vec<u8> {
            (0..1000)
                .flat_map(|_| {
                    *seq += 1;
                    question(*seq)
                })
                .collect()
        };
        match act {
            Misbehavior::Deaf => loop {
                socket.write_all(&many(&mut seq)).await?;
            },
            Misbehavior::Unread => loop {
                // All of it is taken at once, so that nothing but the answers stands still.
                socket.write_all(&many(&mut seq)).await?;
                tokio::time::sleep(Duration::from_millis(100)).await;
            },
            Misbehavior::Flood => {
                let (mut from, mut to) = socket.split();
                let flood = async {
                    loop {
                        to.write_all(&many(&mut seq)).await?;
                    }
                };
                let mut sink = vec![0; 1 << 16];
                let listen = async {
                    let mut come = 0;
                    loop {
                        match from.read(&mut sink).await? {
                            0 => return Ok(come),
                            n => come += n,
                        }
                    }
                };
                tokio::select! { done = flood => done, come = listen => come }
            }
            _ => {
                let mut come = Vec::new();
                socket.read_to_end(&mut come).await
            }
        }
    };
    match tokio::time::timeout(most, play).await {
        Ok(Ok(come)) => Ok(Some(come)),
        // A reset is a close like any other.
        Ok(Err(_)) => Ok(Some(0)),
        Err(_) => Ok(None),
    }
}
