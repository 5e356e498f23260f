//! Misbehaving peers: they connect to an instance like any peer and then violate the protocol.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a misbehaving peer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Act")]
pub enum Misbehavior {
    /// Sends an incomplete message, then nothing.
    Half,
    /// Announces a message of 1 GB.
    Huge,
    /// Sends bytes that are not a valid message.
    Garbage,
    /// Sends a hello with an unknown major version.
    Version,
    /// Sends a hello with a name that is not in the peer list.
    Unlisted,
    /// Sends a hello with the target's own name.
    Namesake,
    /// Connects and sends nothing.
    Silent,
    /// Sends a valid hello with the given name, then messages of unknown kinds.
    UnknownKinds,
    /// Sends a valid hello with the given name, then pings as fast as possible.
    Flood,
    /// Sends a valid hello with the given name, then pings as fast as possible, and never reads the answers.
    Deaf,
    /// Sends a valid hello with the given name, then batches of pings at intervals, and never reads the answers.
    Unread,
}

/// The fields of a hello that a misbehaving peer needs. Deliberately independent of the program's own definition.
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
    own: Option<Incarnation>,
}

#[derive(Clone, PartialEq, Message)]
struct Incarnation {
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(fixed64, tag = "3")]
    nonce: u64,
}

#[derive(Clone, PartialEq, Message)]
struct HelloMessage {
    #[prost(message, optional, tag = "1")]
    hello: Option<Hello>,
}

#[derive(Clone, PartialEq, Message)]
struct Ping {
    #[prost(uint64, tag = "1")]
    seq: u64,
}

#[derive(Clone, PartialEq, Message)]
struct PingMessage {
    #[prost(message, optional, tag = "3")]
    ping: Option<Ping>,
}

/// Prefixes a message with its length.
fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes()[..], body].concat()
}

/// The identity that a misbehaving peer claims, and the identity of its target.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// The names of the target's peer list, in its order.
    pub names: Vec<String>,
    /// The version of that list.
    pub list_version: u64,
    /// The name in a valid hello.
    pub name: String,
    /// The name of the target.
    pub target_name: String,
}

impl PeerIdentity {
    /// Encodes a hello with the digest of the peer list.
    fn hello(&self, major: u32, name: &str) -> Vec<u8> {
        let bytes = self.names.iter().flat_map(|name| name.bytes().chain([0]));
        let digest = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        // A later incarnation than the one that the target knows, so that the hello is accepted.
        let own = Some(Incarnation { number: 50, nonce: 7 });
        let hello = Some(Hello { major, name: name.to_owned(), list: self.list_version, digest, own });
        framed(&HelloMessage { hello }.encode_to_vec())
    }
}

/// Runs a misbehavior for at most this time. Returns how many bytes were received before the target closed the
/// connection; `None` if it did not close it.
pub async fn run(
    addr: SocketAddr,
    misbehavior: Misbehavior,
    identity: &PeerIdentity,
    timeout: Duration,
) -> io::Result<Option<usize>> {
    let mut socket = TcpStream::connect(addr).await?;
    // A small receive buffer, so that unread answers soon block the target.
    socket2::SockRef::from(&socket).set_recv_buffer_size(4096)?;
    let ping = |seq| framed(&PingMessage { ping: Some(Ping { seq }) }.encode_to_vec());
    let valid_hello = identity.hello(1, &identity.name);
    let first = match misbehavior {
        Misbehavior::Half => valid_hello[..valid_hello.len() - 3].to_vec(),
        Misbehavior::Huge => 0x4000_0000_u32.to_be_bytes().to_vec(),
        Misbehavior::Garbage => framed(&[0xff; 64]),
        Misbehavior::Version => identity.hello(9, &identity.name),
        Misbehavior::Unlisted => identity.hello(1, "nobody"),
        Misbehavior::Namesake => identity.hello(1, &identity.target_name),
        Misbehavior::Silent => Vec::new(),
        // Field 99 with bytes: not a known kind of message.
        Misbehavior::UnknownKinds => [valid_hello, framed(&[0x9a, 0x06, 1, 0]).repeat(100)].concat(),
        Misbehavior::Flood | Misbehavior::Deaf | Misbehavior::Unread => valid_hello,
    };
    socket.write_all(&first).await?;
    let exchange = async {
        let mut seq = 0;
        let many_pings = |seq: &mut u64| -> Vec<u8> {
            (0..1000)
                .flat_map(|_| {
                    *seq += 1;
                    ping(*seq)
                })
                .collect()
        };
        match misbehavior {
            Misbehavior::Deaf => loop {
                socket.write_all(&many_pings(&mut seq)).await?;
            },
            Misbehavior::Unread => loop {
                // The target can read each batch at once, so only its answers pile up.
                socket.write_all(&many_pings(&mut seq)).await?;
                tokio::time::sleep(Duration::from_millis(100)).await;
            },
            Misbehavior::Flood => {
                let (mut from, mut to) = socket.split();
                let flood = async {
                    loop {
                        to.write_all(&many_pings(&mut seq)).await?;
                    }
                };
                let mut sink = vec![0; 1 << 16];
                let read_answers = async {
                    let mut received = 0;
                    loop {
                        match from.read(&mut sink).await? {
                            0 => return Ok(received),
                            n => received += n,
                        }
                    }
                };
                tokio::select! { done = flood => done, received = read_answers => received }
            }
            _ => {
                let mut received = Vec::new();
                socket.read_to_end(&mut received).await
            }
        }
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(received)) => Ok(Some(received)),
        // A reset counts as a close.
        Ok(Err(_)) => Ok(Some(0)),
        Err(_) => Ok(None),
    }
}
