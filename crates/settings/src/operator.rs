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
//! What `fleet` holds stands in [`crate::Fleet`]'s module. `"hosts": "all"` names every backend. Files are looked for in
//! the folder of the operator's own.

use mallowgauge_core::two_phase::{ScoutBudgetRule, SketchCacheLimits};
use mallowgauge_core::TwoPhaseSettings;
use serde_json::Value;

use crate::error::{OperatorError, Problem};
use crate::flight::FlightSettings;
use crate::peers::PeerSettings;
use crate::section::OperatorSection;

/// All that the operator's file configures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// Flight.
    pub flight: FlightSettings,
    /// Queries in two phases; rejected where there is none.
    pub phases: Option<TwoPhaseSettings>,
    /// The instances that are linked to each other; none where there is none.
    pub fleet: Option<PeerSettings>,
    /// How the log is written.
    pub log: LogFormat,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// A JSON object a line, with the instance's name and incarnation.
    Json,
}

/// Default bound on cached sketches.
const SKETCHES: u64 = 10_000;
/// Default age up to which a sketch is used, in ms.
const SKETCH_MS: u64 = 2_000;

/// Reads the operator's file, whose path is `file`; `name` is what the platform calls this instance.
///
/// # Errors
/// The key that is wrong.
pub(crate) fn read(all: &Value, file: &str, name: Option<&str>) -> Result<OperatorSettings, OperatorError> {
    let whole = OperatorSection::new(all, file, "the file", &["flight", "phases", "fleet", "log"])?;
    let flight = whole
        .value("flight")
        .map_or(Ok(FlightSettings::default()), |value| FlightSettings::read(value, file))?;
    let phases = whole.value("phases").map(|value| read_phases(value, file)).transpose()?;
    let fleet = whole.value("fleet").map(|value| PeerSettings::read(value, file, name)).transpose()?;
    let log = whole.value("log").map_or(Ok(LogFormat::Text), |value| read_log(value, file))?;
    Ok(OperatorSettings { flight, phases, fleet, log })
}

fn read_log(value: &Value, file: &str) -> Result<LogFormat, OperatorError> {
    let section = OperatorSection::new(value, file, "log", &["format"])?;
    match section.text("format")? {
        None | Some("text") => Ok(LogFormat::Text),
        Some("json") => Ok(LogFormat::Json),
        Some(_) => Err(section.error("format", Problem::Unexpected("is neither \"text\" nor \"json\""))),
    }
}

fn read_phases(value: &Value, file: &str) -> Result<TwoPhaseSettings, OperatorError> {
    let section = OperatorSection::new(value, file, "phases", &["rule", "sketches", "sketch_ms"])?;
    let rule = read_rule(&section)?;
    let entries = section.number_up_to("sketches", SKETCHES, 1_000_000)? as usize;
    let age = section.number_up_to("sketch_ms", SKETCH_MS, 600_000)? * 1000;
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
