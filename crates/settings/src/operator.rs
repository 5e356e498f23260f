//! The operator's file, which configures features beyond the platform's. Without it they are off.
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
//! [`PeerSettings`] reads the section `fleet`. `"hosts": "all"` means every backend. File names are relative to the
//! folder of the operator's file.

use mallowgauge_core::two_phase::{ScoutBudgetRule, SketchCacheLimits};
use mallowgauge_core::TwoPhaseSettings;
use serde_json::Value;

use crate::error::{OperatorError, Problem};
use crate::flight::FlightSettings;
use crate::peers::PeerSettings;
use crate::section::OperatorSection;

/// The settings of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// The Flight frontend, and the backends that support Flight.
    pub flight: FlightSettings,
    /// Two-phase queries, which are rejected if this is not set.
    pub two_phase: Option<TwoPhaseSettings>,
    /// The cluster of instances; this instance runs alone if it is not set.
    pub peers: Option<PeerSettings>,
    /// The format of the log.
    pub log: LogFormat,
}

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// One JSON object per line, with the instance's name and incarnation.
    Json,
}

/// Default limit on cached sketches.
const DEFAULT_MAX_SKETCHES: u64 = 10_000;
/// Default age up to which a cached sketch is used, in ms.
const DEFAULT_SKETCH_AGE_MS: u64 = 2_000;

/// Reads the operator's file, whose path is `file`; `name` is the platform's name for this instance.
///
/// # Errors
/// Names the key that is invalid.
pub(crate) fn read(all: &Value, file: &str, name: Option<&str>) -> Result<OperatorSettings, OperatorError> {
    let file_section = OperatorSection::new(all, file, "the file", &["flight", "phases", "fleet", "log"])?;
    let flight = file_section
        .value("flight")
        .map_or(Ok(FlightSettings::default()), |value| FlightSettings::read(value, file))?;
    let two_phase = file_section.value("phases").map(|value| read_two_phase(value, file)).transpose()?;
    let peers = file_section.value("fleet").map(|value| PeerSettings::read(value, file, name)).transpose()?;
    let log = file_section.value("log").map_or(Ok(LogFormat::Text), |value| read_log(value, file))?;
    Ok(OperatorSettings { flight, two_phase, peers, log })
}

fn read_log(value: &Value, file: &str) -> Result<LogFormat, OperatorError> {
    let section = OperatorSection::new(value, file, "log", &["format"])?;
    match section.text("format")? {
        None | Some("text") => Ok(LogFormat::Text),
        Some("json") => Ok(LogFormat::Json),
        Some(_) => Err(section.error("format", Problem::Unexpected("is neither \"text\" nor \"json\""))),
    }
}

fn read_two_phase(value: &Value, file: &str) -> Result<TwoPhaseSettings, OperatorError> {
    let section = OperatorSection::new(value, file, "phases", &["rule", "sketches", "sketch_ms"])?;
    let rule = read_rule(&section)?;
    let entries = section.number_up_to("sketches", DEFAULT_MAX_SKETCHES, 1_000_000)? as usize;
    let age = section.number_up_to("sketch_ms", DEFAULT_SKETCH_AGE_MS, 600_000)? * 1000;
    Ok(TwoPhaseSettings { rule, sketches: SketchCacheLimits { entries, age } })
}

fn read_rule(section: &OperatorSection<'_>) -> Result<ScoutBudgetRule, OperatorError> {
    let Some(value) = section.raw("rule") else { return Ok(ScoutBudgetRule::Learned) };
    match value.as_str() {
        Some("learned") => return Ok(ScoutBudgetRule::Learned),
        Some("half") => return Ok(ScoutBudgetRule::Half),
        _ => {}
    }
    let share = value.get("share").and_then(Value::as_f64).filter(|s| (0.01..=0.99).contains(s));
    let problem = Problem::Unexpected("is none of \"learned\", \"half\", {\"share\": 0.01 to 0.99}");
    share.map(ScoutBudgetRule::Share).ok_or_else(|| section.error("rule", problem))
}
