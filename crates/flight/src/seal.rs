//! Tickets and tokens: what the program hands out and trusts when it comes back. Each is a message with a
//! keyed hash (HMAC-SHA256) in front, so that one made by nobody here is told at once, and one made by
//! another copy of the program with the same key is as good as its own.

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use mallowgauge_router::Micros;
use prost::Message;
use sha2::{Digest, Sha256};

/// The key that tickets and tokens are signed with.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Bytes of the hash in front.
const HASH: usize = 32;
/// Fewer bytes than this are no key.
pub const MIN_KEY_BYTES: usize = 16;

/// Why a ticket or token is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealError {
    /// It was not signed with this key, or was changed.
    Forged,
    /// It counts no longer.
    Expired,
}

impl Key {
    /// The key made from a secret.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    fn hash(&self, purpose: &str, body: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        // What is signed for one purpose is worth nothing for another.
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac.update(body);
        Some(mac)
    }

    fn seal(&self, purpose: &str, message: &impl Message) -> Bytes {
        let body = message.encode_to_vec();
        let hash = self.hash(purpose, &body).map(|mac| mac.finalize().into_bytes());
        let mut out = hash.map_or_else(Vec::new, |hash| hash.to_vec());
        out.extend_from_slice(&body);
        out.into()
    }

    fn open<M: Message + Default>(&self, purpose: &str, sealed: &[u8]) -> Result<M, SealError> {
        let (hash, body) = sealed.split_at_checked(HASH).ok_or(SealError::Forged)?;
        let mac = self.hash(purpose, body).ok_or(SealError::Forged)?;
        // This comparison takes the same time wherever the two differ.
        mac.verify_slice(hash).map_err(|_| SealError::Forged)?;
        M::decode(body).map_err(|_| SealError::Forged)
    }

    /// Writes a ticket.
    #[must_use]
    pub fn sign_ticket(&self, ticket: &Ticket) -> Bytes {
        self.seal("ticket", ticket)
    }

    /// Reads a ticket.
    ///
    /// # Errors
    /// It is not to be trusted, or no longer.
    pub fn read_ticket(&self, now: Micros, sealed: &[u8]) -> Result<Ticket, SealError> {
        let ticket: Ticket = self.open("ticket", sealed)?;
        if ticket.expires <= now {
            Err(SealError::Expired)
        } else {
            Ok(ticket)
        }
    }

    /// Writes a token.
    #[must_use]
    pub fn sign_token(&self, token: &Token) -> Bytes {
        self.seal("token", token)
    }

    /// Reads a token.
    ///
    /// # Errors
    /// It is not to be trusted, or no longer.
    pub fn read_token(&self, now: Micros, sealed: &[u8]) -> Result<Token, SealError> {
        let token: Token = self.open("token", sealed)?;
        if token.expires <= now {
            Err(SealError::Expired)
        } else {
            Ok(token)
        }
    }
}

/// What a ticket says.
#[derive(Clone, PartialEq, Message)]
pub struct Ticket {
    /// The query, as a command.
    #[prost(bytes = "bytes", tag = "1")]
    pub command: Bytes,
    /// When it was made.
    #[prost(uint64, tag = "2")]
    pub issued_at: Micros,
    /// Until when it counts.
    #[prost(uint64, tag = "3")]
    pub expires: Micros,
    /// For whom it was made; empty where nobody is asked.
    #[prost(string, tag = "4")]
    pub user: String,
    /// Which run of the program made it. A query with an effect is run by no other: whether it was run there
    /// cannot be known here.
    #[prost(fixed64, tag = "5")]
    pub issuer: u64,
    /// It stands for the outcome of a polled query, and runs nothing.
    #[prost(bool, tag = "6")]
    pub polled: bool,
}

/// What a token says.
#[derive(Clone, PartialEq, Message)]
pub struct Token {
    /// The user.
    #[prost(string, tag = "1")]
    pub user: String,
    /// Until when it counts.
    #[prost(uint64, tag = "2")]
    pub expires: Micros,
    /// The session, in two halves.
    #[prost(fixed64, tag = "3")]
    pub session_high: u64,
    /// The session, in two halves.
    #[prost(fixed64, tag = "4")]
    pub session_low: u64,
}

/// A hash of what a query asks, for telling two questions under one id apart.
#[must_use]
pub fn fingerprint(text: &[u8]) -> u64 {
    let hash = Sha256::digest(text);
    hash.first_chunk::<8>().map_or(0, |head| u64::from_be_bytes(*head))
}

/// Checks a password against a line of the users' file, `pbkdf2-sha256$ROUNDS$SALT$HASH` with salt and hash
/// in hex digits.
#[must_use]
pub fn verify_password(line: &str, password: &str) -> bool {
    let Some(secret) = Secret::read(line) else { return false };
    let mut found = [0; 32];
    pbkdf2::pbkdf2_hmac::<Sha256>(password.as_bytes(), &secret.salt, secret.rounds, &mut found);
    bool::from(subtle::ConstantTimeEq::ct_eq(&found[..], &secret.hash[..]))
}

/// A line of the users' file, taken apart.
struct Secret {
    rounds: u32,
    salt: Vec<u8>,
    hash: [u8; 32],
}

/// More rounds than this would hold up everybody else.
const MOST_ROUNDS: u32 = 200_000;

impl Secret {
    fn read(line: &str) -> Option<Self> {
        let mut parts = line.split('$');
        if parts.next() != Some("pbkdf2-sha256") {
            return None;
        }
        let rounds = parts.next()?.parse().ok().filter(|n| (1..=MOST_ROUNDS).contains(n))?;
        let salt = unhex(parts.next()?)?;
        let hash = unhex(parts.next()?)?.try_into().ok()?;
        parts.next().is_none().then_some(Self { rounds, salt, hash })
    }
}

/// Whether a line of the users' file can be used.
#[must_use]
pub fn is_valid_password_entry(line: &str) -> bool {
    Secret::read(line).is_some()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    text.len().is_multiple_of(2).then(|| digits.map(byte).collect())?
}

/// Writes a line of the users' file.
#[must_use]
pub fn password_entry(password: &str, salt: &[u8], rounds: u32) -> String {
    let mut hash = [0; 32];
    pbkdf2::pbkdf2_hmac::<Sha256>(password.as_bytes(), salt, rounds, &mut hash);
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    format!("pbkdf2-sha256${rounds}${}${}", hex(salt), hex(&hash))
}
