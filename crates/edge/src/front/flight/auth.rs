//! Authentication: users with passwords from the operator's settings, bearer tokens, and cookies that identify a
//! session.

use std::collections::BTreeMap;
use std::rc::Rc;

use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use base64::Engine;
use http::HeaderMap;
use mallowgauge_core::sessions::SessionId;
use mallowgauge_core::stream_admission::StreamAdmission;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::seal::{self, Key, Token};
use mallowgauge_router::Micros;

/// The name of the session cookie, as Flight defines it.
pub const COOKIE: &str = "arrow_flight_session_id";

/// The identity of a caller.
#[derive(Clone, Debug, Default)]
pub struct Identity {
    /// The user; empty where no users are configured.
    pub user: Rc<str>,
    /// The session that the call belongs to.
    pub session: Option<SessionId>,
}

/// The credentials that a call presents.
enum Credentials<'a> {
    Basic(&'a str),
    Token(Vec<u8>),
    None,
}

fn credentials(headers: &HeaderMap) -> Credentials<'_> {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if let Some(value) = header("authorization") {
        if let Some((scheme, rest)) = value.split_once(' ') {
            if scheme.eq_ignore_ascii_case("basic") {
                return Credentials::Basic(rest.trim());
            }
            if scheme.eq_ignore_ascii_case("bearer") {
                return Credentials::Token(decode_base64(rest.trim()).unwrap_or_default());
            }
        }
        return Credentials::Token(Vec::new());
    }
    match header("auth-token-bin") {
        // Binary headers are base64-encoded on the wire. The token inside is the base64 text that the handshake
        // returned.
        Some(value) => {
            let token =
                decode_base64(value).and_then(|inner| decode_base64(std::str::from_utf8(&inner).ok()?));
            Credentials::Token(token.unwrap_or_default())
        }
        None => Credentials::None,
    }
}

fn decode_base64(text: &str) -> Option<Vec<u8>> {
    STANDARD_NO_PAD.decode(text.trim_end_matches('=')).ok()
}

fn unauthenticated() -> Status {
    Status::new(Code::Unauthenticated, "who asks is not known").with_reason("UNAUTHENTICATED")
}

fn session_cookie(headers: &HeaderMap) -> Option<SessionId> {
    let values = headers.get_all("cookie").iter().filter_map(|value| value.to_str().ok());
    let mut pairs = values.flat_map(|value| value.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == COOKIE)?;
    u128::from_str_radix(value, 16).ok().map(SessionId)
}

/// Authenticates users, and issues their tokens.
pub struct Authenticator {
    users: Option<BTreeMap<String, String>>,
    key: Key,
    token_lifetime: Micros,
}

impl Authenticator {
    /// Creates an authenticator for these users; with `None` no credentials are required. `token_lifetime` is in
    /// microseconds.
    pub fn new(users: Option<BTreeMap<String, String>>, key: Key, token_lifetime: Micros) -> Self {
        Self { users, key, token_lifetime }
    }

    /// Replaces the users. Tokens of removed users are no longer valid.
    pub fn replace_users(&mut self, users: Option<BTreeMap<String, String>>) {
        self.users = users;
    }

    /// Returns whether callers have to be authenticated.
    pub fn is_required(&self) -> bool {
        self.users.is_some()
    }

    /// Identifies the caller by the headers of a call.
    ///
    /// # Errors
    /// `UNAUTHENTICATED` without valid credentials; `RESOURCE_EXHAUSTED` if too many passwords are being checked.
    pub fn identify(
        &self,
        now: Micros,
        headers: &HeaderMap,
        admission: &mut StreamAdmission,
    ) -> Result<Identity, Status> {
        let Some(users) = &self.users else {
            return Ok(Identity { user: "".into(), session: session_cookie(headers) });
        };
        match credentials(headers) {
            Credentials::None => Err(unauthenticated()),
            Credentials::Basic(text) => {
                let pair = decode_base64(text).and_then(|bytes| String::from_utf8(bytes).ok());
                let pair =
                    pair.as_deref().and_then(|pair| pair.split_once(':')).ok_or_else(unauthenticated)?;
                let user = self.check_password(now, pair.0, pair.1, admission)?;
                Ok(Identity { user, session: session_cookie(headers) })
            }
            Credentials::Token(signed) => {
                let token = self.key.read_token(now, &signed).map_err(|error| match error {
                    seal::SealError::Expired => Status::new(Code::Unauthenticated, "the token has expired")
                        .with_reason("TOKEN_EXPIRED"),
                    seal::SealError::Forged => unauthenticated(),
                })?;
                if !users.contains_key(&token.user) {
                    return Err(unauthenticated());
                }
                let session_id = u128::from(token.session_high) << 64 | u128::from(token.session_low);
                let session = session_cookie(headers).or(Some(SessionId(session_id)));
                Ok(Identity { user: token.user.into(), session })
            }
        }
    }

    /// Checks a password. Admission limits the rate of checks.
    ///
    /// # Errors
    /// As [`Authenticator::identify`].
    pub fn check_password(
        &self,
        now: Micros,
        name: &str,
        password: &str,
        admission: &mut StreamAdmission,
    ) -> Result<Rc<str>, Status> {
        let Some(users) = &self.users else { return Ok("".into()) };
        admission.admit_handshake(now).map_err(|full| {
            Status::new(Code::ResourceExhausted, full.message)
                .with_reason("HANDSHAKES")
                .with_retry_after(full.retry_after)
        })?;
        // An unknown user is checked against another user's password entry, so that the response time does not
        // reveal which users exist.
        let any_entry = || users.values().next().map_or("", String::as_str);
        let entry = users.get(name).map_or_else(any_entry, String::as_str);
        let is_correct = seal::verify_password(entry, password);
        if is_correct && users.contains_key(name) {
            Ok(name.into())
        } else {
            Err(unauthenticated())
        }
    }

    /// Issues a token for a user, encoded for a header.
    pub fn issue_token(&self, now: Micros, user: &str, session: u128) -> String {
        let token = Token {
            user: user.to_owned(),
            expires: now.saturating_add(self.token_lifetime),
            session_high: (session >> 64) as u64,
            session_low: session as u64,
        };
        STANDARD.encode(self.key.sign_token(&token))
    }
}
