//! The gatherer: `mallowgauge [OPERATOR-FILE]`. What it is told stands in `RELAY_CONFIG`.

use std::process::ExitCode;

use mallowgauge_edge::server::Server;
use mallowgauge_settings::{Config, LogFormat};
use tracing_subscriber::field::RecordFields;
use tracing_subscriber::fmt::format::{debug_fn, Writer};
use tracing_subscriber::fmt::FormatFields;

/// The fields of a line of text: what its words say. What only tools look for stands in JSON lines.
struct Words;

impl<'a> FormatFields<'a> for Words {
    fn format_fields<R: RecordFields>(&self, writer: Writer<'a>, fields: R) -> std::fmt::Result {
        let words = debug_fn(|writer, field, value| match field.name() {
            "message" => write!(writer, "{value:?}"),
            _ => Ok(()),
        });
        words.format_fields(writer, fields)
    }
}

/// A number that no other start has; without an operator's file nobody asks for it.
fn life(operator: Option<&str>) -> Result<u64, String> {
    operator.map_or(Ok(0), |_| getrandom::u64().map_err(|e| format!("no random numbers: {e}")))
}

fn run(operator: Option<String>, life: u64) -> Result<(), String> {
    let load = move || Config::load(|name| std::env::var(name).ok(), operator.as_deref());
    Server::run(load, life)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let operator = arguments.next();
    let life = if arguments.next().is_some() {
        Err("usage: mallowgauge [OPERATOR-FILE]".to_owned())
    } else {
        life(operator.as_deref())
    };
    let lines = tracing_subscriber::fmt().with_ansi(false).with_max_level(tracing::Level::INFO);
    let json = Config::log_format(operator.as_deref()) == LogFormat::Json;
    if json {
        lines.json().flatten_event(true).with_span_list(false).init();
    } else {
        lines.fmt_fields(Words).init();
    }
    // Each JSON line carries who wrote it; lines of text are as they always were.
    let who = json.then(|| {
        let name = Config::name(|name| std::env::var(name).ok()).unwrap_or_default();
        let life = format!("{:08x}", life.as_ref().map_or(0, |life| life >> 32));
        tracing::info_span!("gatherer", gatherer = name, life).entered()
    });
    #[cfg(feature = "planted")]
    let life = life.and_then(|life| {
        let bug = std::env::var("MALLOWGAUGE_PLANTED");
        bug.map_or(Ok(()), |bug| {
            mallowgauge_cluster::fault_injection::inject(&bug).map_err(|e| e.to_string())
        })
        .map(|()| life)
    });
    let ended = life.and_then(|life| run(operator, life));
    if let Err(message) = &ended {
        tracing::error!("cannot go on: {message}");
    }
    drop(who);
    ended.map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS)
}
