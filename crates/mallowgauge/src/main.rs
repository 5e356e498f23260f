//! The server program: `mallowgauge [OPERATOR-FILE]`. The environment variable `RELAY_CONFIG` names the file with the
//! platform's configuration.
//!
//! The exit code is 0 after a graceful shutdown, and 1 after a fatal error, which is logged as one line.

use std::process::ExitCode;

use mallowgauge_edge::server::{Server, ServerError};
use mallowgauge_settings::{Config, LogFormat};
use tracing::span::EnteredSpan;
use tracing_subscriber::field::RecordFields;
use tracing_subscriber::fmt::format::{debug_fn, Writer};
use tracing_subscriber::fmt::FormatFields;

/// A fatal error.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error("usage: mallowgauge [OPERATOR-FILE]")]
    Usage,
    #[error("system random numbers unavailable: {0}")]
    RandomNumbers(#[from] getrandom::Error),
    #[cfg(feature = "planted")]
    #[error(transparent)]
    FaultInjection(#[from] mallowgauge_cluster::fault_injection::InjectionError),
    #[error(transparent)]
    Server(#[from] ServerError),
}

/// Formats text lines with their message alone. Other fields are for log tools and only written in JSON lines.
struct MessageOnly;

impl<'a> FormatFields<'a> for MessageOnly {
    fn format_fields<R: RecordFields>(&self, writer: Writer<'a>, fields: R) -> std::fmt::Result {
        let message = debug_fn(|writer, field, value| match field.name() {
            "message" => write!(writer, "{value:?}"),
            _ => Ok(()),
        });
        message.format_fields(writer, fields)
    }
}

/// The command-line arguments.
struct Arguments {
    operator_file: Option<String>,
    /// Whether there are more arguments than the operator's file.
    has_extra: bool,
}

impl Arguments {
    fn read() -> Self {
        let mut arguments = std::env::args().skip(1);
        let operator_file = arguments.next();
        Self { operator_file, has_extra: arguments.next().is_some() }
    }

    /// Returns a random number that is unique to this start of the instance; 0 without an operator's file, since there
    /// are no peers then.
    fn incarnation(&self) -> Result<u64, ProgramError> {
        if self.has_extra {
            return Err(ProgramError::Usage);
        }
        match self.operator_file {
            Some(_) => Ok(getrandom::u64()?),
            None => Ok(0),
        }
    }
}

fn read_environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Initializes logging. While the returned span is entered, each JSON line contains the instance's name and
/// incarnation; text lines do not.
fn init_logging(operator_file: Option<&str>, incarnation: Option<u64>) -> Option<EnteredSpan> {
    let subscriber = tracing_subscriber::fmt().with_ansi(false).with_max_level(tracing::Level::INFO);
    if Config::log_format(operator_file) != LogFormat::Json {
        subscriber.fmt_fields(MessageOnly).init();
        return None;
    }
    subscriber.json().flatten_event(true).with_span_list(false).init();
    let name = Config::name(read_environment).unwrap_or_default();
    let incarnation = format!("{:08x}", incarnation.unwrap_or(0) >> 32);
    Some(tracing::info_span!("gatherer", gatherer = name, life = incarnation).entered())
}

/// Activates the fault that a fault-injection test selects.
#[cfg(feature = "planted")]
fn inject_fault() -> Result<(), ProgramError> {
    match std::env::var("MALLOWGAUGE_PLANTED") {
        Ok(fault) => Ok(mallowgauge_cluster::fault_injection::inject(&fault)?),
        Err(_) => Ok(()),
    }
}

fn run(operator_file: Option<String>, incarnation: u64) -> Result<(), ProgramError> {
    #[cfg(feature = "planted")]
    inject_fault()?;
    let load_config = move || Config::load(read_environment, operator_file.as_deref());
    Ok(Server::run(load_config, incarnation)?)
}

fn main() -> ExitCode {
    let arguments = Arguments::read();
    let incarnation = arguments.incarnation();
    let span = init_logging(arguments.operator_file.as_deref(), incarnation.as_ref().ok().copied());
    let result = incarnation.and_then(|incarnation| run(arguments.operator_file, incarnation));
    if let Err(error) = &result {
        tracing::error!("fatal error: {error}");
    }
    drop(span);
    result.map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS)
}
