//! The operator's file: what goes beyond the platform. Without one, all of it is off.
//!
//! ```json
//! {"flight": {"listen": "127.0.0.1:8815", "hosts": ["s-5be2a07c"],
//!             "key": "flight.key", "users": "users.txt", "ticket_s": 600, "token_s": 3600,
//!             "tls": {"certificate": "cert.pem", "key": "key.pem", "client_ca": "clients.pem"},
//!             "host_tls": {"ca": "hosts.pem", "name": "hosts.example", "certificate": "us.pem", "key": "us.key"}},
//!  "phases": {"rule": "learned", "sketches": 10000, "sketch_ms": 2000},
//!  "fleet": {}, "log": {"format": "json"}}
//! ```
//!
//! What `fleet` holds stands in [`crate::Fleet`]'s module. `"hosts": "all"` names every host. Files are named from the folder of the operator's own.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use mallowgauge_core::two_phase::{Rule, SketchBounds};
use mallowgauge_core::TwoPhaseSettings;
use mallowgauge_router::Micros;
use serde_json::{Map, Value};

use crate::peers::Fleet;
use crate::platform::address;

/// A front's certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTls {
    /// The chain, in PEM.
    pub certificate: Vec<u8>,
    /// The key, in PEM.
    pub key: Vec<u8>,
    /// Clients have to show a certificate from one of these roots.
    pub client_ca: Option<Vec<u8>>,
}

/// What is trusted of hosts, and shown to them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostTls {
    /// The roots that hosts' certificates come from.
    pub ca: Vec<u8>,
    /// The name in them; their address where there is none.
    pub name: Option<String>,
    /// A chain and its key that are shown to hosts.
    pub identity: Option<(Vec<u8>, Vec<u8>)>,
}

/// Flight, where an operator has set it up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flight {
    /// Where Flight clients connect.
    pub listen: Option<SocketAddr>,
    /// The hosts that offer Flight, by their ids.
    pub hosts: BTreeSet<String>,
    /// Every host offers it.
    pub every_host: bool,
    /// What tickets and tokens are signed with; made up at each start where there is none.
    pub key: Option<Vec<u8>>,
    /// Who may call, with lines that prove their passwords; everybody where there are none.
    pub users: Option<BTreeMap<String, String>>,
    /// How long a ticket counts.
    pub ticket_life: Micros,
    /// How long a token counts.
    pub token_life: Micros,
    /// TLS for clients.
    pub tls: Option<ServerTls>,
    /// TLS towards hosts.
    pub host_tls: Option<HostTls>,
}

/// Tickets and tokens count for so long where nothing else is said.
const TICKET_S: u64 = 600;
const TOKEN_S: u64 = 3600;
/// Longest life that can be set: 30 days.
const LONGEST_S: u64 = 30 * 86_400;

impl Default for Flight {
    fn default() -> Self {
        Self {
            listen: None,
            hosts: BTreeSet::new(),
            every_host: false,
            key: None,
            users: None,
            ticket_life: TICKET_S * 1_000_000,
            token_life: TOKEN_S * 1_000_000,
            tls: None,
            host_tls: None,
        }
    }
}

/// All that the operator's file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// Flight.
    pub flight: Flight,
    /// Queries in two phases; not taken where there is none.
    pub phases: Option<TwoPhaseSettings>,
    /// The gatherers that are linked to each other; none where there is none.
    pub fleet: Option<Fleet>,
    /// How the log is written.
    pub log: LogFormat,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// A JSON object a line, with the gatherer's name and life.
    Json,
}

fn log(section: &Value, path: &str) -> Result<LogFormat, String> {
    let part = Part::new(section, path, "log", &["format"])?;
    match part.text("format")? {
        None | Some("text") => Ok(LogFormat::Text),
        Some("json") => Ok(LogFormat::Json),
        Some(_) => Err(part.bad("format", "is neither \"text\" nor \"json\"")),
    }
}

/// Sketches are kept within these bounds where nothing else is said.
const SKETCHES: u64 = 10_000;
const SKETCH_MS: u64 = 2_000;

fn phases(value: &Value, path: &str) -> Result<TwoPhaseSettings, String> {
    let part = Part::new(value, path, "phases", &["rule", "sketches", "sketch_ms"])?;
    let rule = match part.fields.get("rule") {
        None => Rule::Learned,
        Some(Value::String(word)) if word == "learned" => Rule::Learned,
        Some(Value::String(word)) if word == "half" => Rule::Half,
        Some(value) => match value.get("share").and_then(Value::as_f64).filter(|s| (0.01..=0.99).contains(s))
        {
            Some(share) => Rule::Share(share),
            None => {
                return Err(part.bad("rule", "is none of \"learned\", \"half\", {\"share\": 0.01 to 0.99}"))
            }
        },
    };
    let number = |key: &str, usual: u64, most: u64| {
        let value = part.fields.get(key).map_or(Some(usual), Value::as_u64).filter(|&n| n <= most);
        value.ok_or_else(|| part.bad(key, &format!("is not a whole number up to {most}")))
    };
    let entries = number("sketches", SKETCHES, 1_000_000)? as usize;
    let age = number("sketch_ms", SKETCH_MS, 600_000)? * 1000;
    Ok(TwoPhaseSettings { rule, sketches: SketchBounds { entries, age } })
}

/// A section of the file, with its place in words.
pub(crate) struct Part<'a> {
    fields: &'a Map<String, Value>,
    path: &'a str,
    name: &'static str,
}

impl<'a> Part<'a> {
    pub(crate) fn new(
        value: &'a Value,
        path: &'a str,
        name: &'static str,
        known: &[&str],
    ) -> Result<Self, String> {
        let fields = value.as_object().ok_or_else(|| format!("{path}: {name} is not an object"))?;
        if let Some(key) = fields.keys().find(|key| !known.contains(&key.as_str())) {
            return Err(format!("{path}: {name}.{key} is not known; there is {}", known.join(", ")));
        }
        Ok(Self { fields, path, name })
    }

    pub(crate) fn bad(&self, key: &str, what: &str) -> String {
        format!("{}: {}.{key} {what}", self.path, self.name)
    }

    pub(crate) fn text(&self, key: &str) -> Result<Option<&'a str>, String> {
        match self.fields.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(self.bad(key, "is not a text")),
        }
    }

    fn file(&self, key: &str) -> Result<Option<Vec<u8>>, String> {
        let Some(name) = self.text(key)? else { return Ok(None) };
        let folder = Path::new(self.path).parent().unwrap_or(Path::new(""));
        let read = std::fs::read(folder.join(name));
        read.map(Some).map_err(|e| self.bad(key, &format!("cannot be read: {name}: {e}")))
    }

    fn needed(&self, key: &str) -> Result<Vec<u8>, String> {
        self.file(key)?.ok_or_else(|| self.bad(key, "is missing"))
    }

    pub(crate) fn value(&self, key: &str) -> Option<&'a Value> {
        self.fields.get(key).filter(|value| !value.is_null())
    }

    /// A whole number; `usual` where there is none, or else it has to be there.
    pub(crate) fn number(
        &self,
        key: &str,
        usual: Option<u64>,
        range: RangeInclusive<u64>,
    ) -> Result<u64, String> {
        let value = self.value(key).map_or(usual, Value::as_u64).filter(|n| range.contains(n));
        value.ok_or_else(|| {
            let (least, most) = range.into_inner();
            self.bad(key, &format!("is not a whole number from {least} to {most}"))
        })
    }

    fn seconds(&self, key: &str, usual: u64) -> Result<Micros, String> {
        let value = self.fields.get(key).map_or(Some(usual), Value::as_u64);
        let value = value.filter(|s| (1..=LONGEST_S).contains(s));
        value
            .map(|s| s * 1_000_000)
            .ok_or_else(|| self.bad(key, "is not a whole number of seconds up to 30 days"))
    }
}

/// Reads the operator's file; `name` is what the platform calls this gatherer.
///
/// # Errors
/// One line that names the file, the key and what is wrong.
pub fn read(all: &Value, path: &str, name: Option<&str>) -> Result<Operator, String> {
    let whole = Part::new(all, path, "the file", &["flight", "phases", "fleet", "log"])?;
    let section = |key: &str| whole.fields.get(key).filter(|value| !value.is_null());
    let flight = section("flight").map_or(Ok(Flight::default()), |value| flight(value, path))?;
    let phases = section("phases").map(|value| phases(value, path)).transpose()?;
    let fleet = section("fleet").map(|value| Fleet::read(value, path, name)).transpose()?;
    let log = section("log").map_or(Ok(LogFormat::Text), |value| log(value, path))?;
    Ok(Operator { flight, phases, fleet, log })
}

fn flight(section: &Value, path: &str) -> Result<Flight, String> {
    let known = ["listen", "hosts", "key", "users", "ticket_s", "token_s", "tls", "host_tls"];
    let part = Part::new(section, path, "flight", &known)?;
    let listen = part.text("listen")?.map(|text| address(text, "flight.listen"));
    let listen = listen.transpose().map_err(|e| format!("{path}: {e}"))?;
    let (hosts, every_host) = match section.get("hosts") {
        None | Some(Value::Null) => (BTreeSet::new(), false),
        Some(Value::String(all)) if all == "all" => (BTreeSet::new(), true),
        Some(Value::Array(list)) => {
            let names: Option<_> = list.iter().map(|v| v.as_str().map(str::to_owned)).collect();
            (names.ok_or_else(|| part.bad("hosts", "holds something other than ids"))?, false)
        }
        Some(_) => return Err(part.bad("hosts", "is neither a list of ids nor \"all\"")),
    };
    let key = part.file("key")?;
    if key.as_ref().is_some_and(|key| key.len() < mallowgauge_flight::seal::SHORTEST_KEY) {
        return Err(part.bad("key", "is a file of fewer than 16 bytes"));
    }
    let users = part.file("users")?.map(|text| users(&text, &part)).transpose()?;
    let tls = section.get("tls").filter(|v| !v.is_null()).map(|value| {
        let part = Part::new(value, path, "flight.tls", &["certificate", "key", "client_ca"])?;
        let (certificate, key) = (part.needed("certificate")?, part.needed("key")?);
        Ok::<_, String>(ServerTls { certificate, key, client_ca: part.file("client_ca")? })
    });
    let host_tls = section.get("host_tls").filter(|v| !v.is_null()).map(|value| {
        let part = Part::new(value, path, "flight.host_tls", &["ca", "name", "certificate", "key"])?;
        let identity = match (part.file("certificate")?, part.file("key")?) {
            (None, None) => None,
            (Some(certificate), Some(key)) => Some((certificate, key)),
            (None, _) => return Err(part.bad("certificate", "is missing beside its key")),
            (_, None) => return Err(part.bad("key", "is missing beside its certificate")),
        };
        let name = part.text("name")?.map(str::to_owned);
        Ok::<_, String>(HostTls { ca: part.needed("ca")?, name, identity })
    });
    Ok(Flight {
        listen,
        hosts,
        every_host,
        key,
        users,
        ticket_life: part.seconds("ticket_s", TICKET_S)?,
        token_life: part.seconds("token_s", TOKEN_S)?,
        tls: tls.transpose()?,
        host_tls: host_tls.transpose()?,
    })
}

/// Lines `NAME:pbkdf2-sha256$ROUNDS$SALT$HASH`; empty ones and those that begin with `#` are passed over.
fn users(text: &[u8], part: &Part<'_>) -> Result<BTreeMap<String, String>, String> {
    let text = std::str::from_utf8(text).map_err(|_| part.bad("users", "is a file that is no text"))?;
    let mut users = BTreeMap::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let bad = |what: &str| part.bad("users", &format!("line {}: {what}", index + 1));
        let (name, secret) = line.split_once(':').ok_or_else(|| bad("no colon behind a name"))?;
        if !mallowgauge_flight::seal::is_secret(secret) {
            return Err(bad("not pbkdf2-sha256$ROUNDS$SALT$HASH with up to 200000 rounds"));
        }
        if users.insert(name.to_owned(), secret.to_owned()).is_some() {
            return Err(bad("a user that was named before"));
        }
    }
    Ok(users)
}
