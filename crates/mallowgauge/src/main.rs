//! The server's program: `mallowgauge [OPERATOR-FILE]`. The platform's configuration is named by the environment
//! variable `RELAY_CONFIG`.
//!
//! The exit code is 0 after a graceful shutdown and 1 after one logged line that says what is wrong.

use std::process::ExitCode;

use mallowgauge_edge::server::{Server, ServerError};
use mallowgauge_settings::{Config, LogFormat};
use tracing::span::EnteredSpan;
use tracing_subscriber::field::RecordFields;
use tracing_subscriber::fmt::format::{debug_fn, Writer};
use tracing_subscriber::fmt::FormatFields;

/// Why the program cannot go on.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error("usage: mallowgauge [OPERATOR-FILE]")]
    Usage,
    #[error("no random numbers: {0}")]
    RandomNumbers(#[from] getrandom::Error),
    #[cfg(feature = "planted")]
    #[error("{0}")]
    FaultInjection(String),
    #[error(transparent)]
    Server(#[from] ServerError),
}

/// Formats a line of text from its message alone; the other fields are for tools and stand in JSON lines.
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

/// What the command line says.
struct Arguments {
    operator_file: Option<String>,
    /// More was given than a file.
    surplus: bool,
}

impl Arguments {
    fn read() -> Self {
        let mut arguments = std::env::args().skip(1);
        let operator_file = arguments.next();
        Self { operator_file, surplus: arguments.next().is_some() }
    }

    /// A number that no other start of this instance has. Without an operator's file there are no other instances
    /// to tell it, and it is 0.
    fn incarnation(&self) -> Result<u64, ProgramError> {
        if self.surplus {
            return Err(ProgramError::Usage);
        }
        match self.operator_file {
            Some(_) => Ok(getrandom::u64()?),
            None => Ok(0),
        }
    }
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Sets up the log. Each JSON line carries the instance's name and incarnation, for as long as the returned span is
/// entered; lines of text do not.
fn start_log(operator_file: Option<&str>, incarnation: Option<u64>) -> Option<EnteredSpan> {
    let lines = tracing_subscriber::fmt().with_ansi(false).with_max_level(tracing::Level::INFO);
    if Config::log_format(operator_file) != LogFormat::Json {
        lines.fmt_fields(MessageOnly).init();
        return None;
    }
    lines.json().flatten_event(true).with_span_list(false).init();
    let name = Config::name(environment).unwrap_or_default();
    let life = format!("{:08x}", incarnation.unwrap_or(0) >> 32);
    Some(tracing::info_span!("gatherer", gatherer = name, life).entered())
}

/// Turns on the fault that a fault-injection test names.
#[cfg(feature = "planted")]
fn inject_fault() -> Result<(), ProgramError> {
    match std::env::var("MALLOWGAUGE_PLANTED") {
        Ok(fault) => mallowgauge_cluster::planted::plant(&fault).map_err(ProgramError::FaultInjection),
        Err(_) => Ok(()),
    }
}

fn run(operator_file: Option<String>, incarnation: u64) -> Result<(), ProgramError> {
    #[cfg(feature = "planted")]
    inject_fault()?;
    let load_config = move || Config::load(environment, operator_file.as_deref());
    Ok(Server::run(load_config, incarnation)?)
}

fn main() -> ExitCode {
    let arguments = Arguments::read();
    let incarnation = arguments.incarnation();
    let span = start_log(arguments.operator_file.as_deref(), incarnation.as_ref().ok().copied());
    let ended = incarnation.and_then(|incarnation| run(arguments.operator_file, incarnation));
    if let Err(error) = &ended {
        tracing::error!("cannot go on: {error}");
    }
    drop(span);
    ended.map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS)
}
