//! The gatherer: `mallowgauge [OPERATOR-FILE]`. What it is told stands in `RELAY_CONFIG`.

use std::process::ExitCode;

use mallowgauge_edge::gatherer::Gatherer;
use mallowgauge_settings::Config;

fn run() -> Result<(), String> {
    let mut arguments = std::env::args().skip(1);
    let operator = arguments.next();
    if arguments.next().is_some() {
        return Err("usage: mallowgauge [OPERATOR-FILE]".to_owned());
    }
    Gatherer::run(move || Config::load(|name| std::env::var(name).ok(), operator.as_deref()))
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_ansi(false).with_max_level(tracing::Level::INFO).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            tracing::error!("cannot go on: {message}");
            ExitCode::FAILURE
        }
    }
}
