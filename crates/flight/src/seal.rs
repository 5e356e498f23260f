//! Signed tickets and tokens, which clients send back, and password verification.
//!
//! A ticket or token is an encoded message preceded by its HMAC-SHA256. A forged one is rejected, and one
//! that was signed by another instance with the same key is accepted.

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use mallowgauge_router::Micros;
use prost::Message;
use sha2::{Digest, Sha256};

/// The key that signs tickets and tokens.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The length of the HMAC that precedes the message, in bytes.
const MAC_BYTES: usize = 32;
/// The minimum length of a configured signing secret, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The reason why a ticket or token is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealError {
    /// It was not signed with this key for this purpose, or was modified.
    Forged,
    /// It has expired.
    Expired,
}

impl Key {
    /// Derives a key from a secret.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Returns the HMAC state after the purpose and the body.
    fn mac(&self, purpose: &str, body: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        // The purpose is part of the signed data, so that a token is not accepted as a ticket or vice versa.
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac.update(body);
        Some(mac)
    }

    /// Encodes and signs a message.
    fn sign(&self, purpose: &str, message: &impl Message) -> Bytes {
        let body = message.encode_to_vec();
        let mac = self.mac(purpose, &body).map(|mac| mac.finalize().into_bytes());
        let mut out = mac.map_or_else(Vec::new, |mac| mac.to_vec());
        out.extend_from_slice(&body);
        out.into()
    }

    /// Verifies and decodes a signed message.
    fn verify<M: Message + Default>(&self, purpose: &str, signed: &[u8]) -> Result<M, SealError> {
        let (signature, body) = signed.split_at_checked(MAC_BYTES).ok_or(SealError::Forged)?;
        let mac = self.mac(purpose, body).ok_or(SealError::Forged)?;
        // Compares in constant time.
        mac.verify_slice(signature).map_err(|_| SealError::Forged)?;
        M::decode(body).map_err(|_| SealError::Forged)
    }

    /// Encodes and signs a ticket.
    #[must_use]
    pub fn sign_ticket(&self, ticket: &Ticket) -> Bytes {
        self.sign("ticket", ticket)
    }

    /// Verifies and decodes a ticket.
    ///
    /// # Errors
    /// The signature is invalid or the ticket has expired.
    pub fn read_ticket(&self, now: Micros, signed: &[u8]) -> Result<Ticket, SealError> {
        let ticket: Ticket = self.verify("ticket", signed)?;
        if ticket.expires <= now {
            Err(SealError::Expired)
        } else {
            Ok(ticket)
        }
    }

    /// Encodes and signs a token.
    #[must_use]
    pub fn sign_token(&self, token: &Token) -> Bytes {
        self.sign("token", token)
    }

    /// Verifies and decodes a token.
    ///
    /// # Errors
    /// The signature is invalid or the token has expired.
    pub fn read_token(&self, now: Micros, signed: &[u8]) -> Result<Token, SealError> {
        let token: Token = self.verify("token", signed)?;
        if token.expires <= now {
            Err(SealError::Expired)
        } else {
            Ok(token)
        }
    }
}

/// The content of a signed ticket.
#[derive(Clone, PartialEq, Message)]
pub struct Ticket {
    /// The query, as a command.
    #[prost(bytes = "bytes", tag = "1")]
    pub command: Bytes,
    /// The time at which it was issued.
    #[prost(uint64, tag = "2")]
    pub issued_at: Micros,
    /// The time from which it is rejected as expired.
    #[prost(uint64, tag = "3")]
    pub expires: Micros,
    /// The user that it was issued to; empty if authentication is off.
    #[prost(string, tag = "4")]
    pub user: String,
    /// The random number that the issuing instance chose at its start. A non-idempotent query is run only
    /// with a ticket that has this instance's number: no other instance, nor this one after a restart, can
    /// know whether the query was already executed.
    #[prost(fixed64, tag = "5")]
    pub issuer: u64,
    /// Whether it fetches the outcome of a polled query instead of running a query.
    #[prost(bool, tag = "6")]
    pub polled: bool,
}

/// The content of a signed token.
#[derive(Clone, PartialEq, Message)]
pub struct Token {
    /// The user.
    #[prost(string, tag = "1")]
    pub user: String,
    /// The time from which it is rejected as expired.
    #[prost(uint64, tag = "2")]
    pub expires: Micros,
    /// The upper 64 bits of the session id.
    #[prost(fixed64, tag = "3")]
    pub session_high: u64,
    /// The lower 64 bits of the session id.
    #[prost(fixed64, tag = "4")]
    pub session_low: u64,
}

/// Returns a hash of a query's text, which distinguishes two queries that use the same id.
#[must_use]
pub fn fingerprint(text: &[u8]) -> u64 {
    let hash = Sha256::digest(text);
    hash.first_chunk::<8>().map_or(0, |head| u64::from_be_bytes(*head))
}

/// Verifies a password against an entry of the users file, `pbkdf2-sha256$ROUNDS$SALT$HASH` with salt and
/// hash in hexadecimal. Returns `false` if the entry is invalid.
#[must_use]
pub fn verify_password(entry: &str, password: &str) -> bool {
    let Some(parsed) = PasswordEntry::parse(entry) else { return false };
    let mut hash = [0; 32];
    pbkdf2::pbkdf2_hmac::<Sha256>(password.as_bytes(), &parsed.salt, parsed.rounds, &mut hash);
    bool::from(subtle::ConstantTimeEq::ct_eq(&hash[..], &parsed.hash[..]))
}

/// A parsed entry of the users file.
struct PasswordEntry {
    rounds: u32,
    salt: Vec<u8>,
    hash: [u8; 32],
}

/// The maximum number of PBKDF2 rounds; more would delay all other clients.
const MAX_ROUNDS: u32 = 200_000;

impl PasswordEntry {
    fn parse(entry: &str) -> Option<Self> {
        let mut fields = entry.split('$');
        if fields.next() != Some("pbkdf2-sha256") {
            return None;
        }
        let rounds = fields.next()?.parse().ok().filter(|n| (1..=MAX_ROUNDS).contains(n))?;
        let salt = decode_hex(fields.next()?)?;
        let hash = decode_hex(fields.next()?)?.try_into().ok()?;
        fields.next().is_none().then_some(Self { rounds, salt, hash })
    }
}

/// Returns whether an entry of the users file is valid.
#[must_use]
pub fn is_valid_password_entry(entry: &str) -> bool {
    PasswordEntry::parse(entry).is_some()
}

/// Decodes hexadecimal digits.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    text.len().is_multiple_of(2).then(|| digits.map(byte).collect())?
}

/// Returns the entry of the users file for a password.
#[must_use]
pub fn password_entry(password: &str, salt: &[u8], rounds: u32) -> String {
    let mut hash = [0; 32];
    pbkdf2::pbkdf2_hmac::<Sha256>(password.as_bytes(), salt, rounds, &mut hash);
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    format!("pbkdf2-sha256${rounds}${}${}", hex(salt), hex(&hash))
}
