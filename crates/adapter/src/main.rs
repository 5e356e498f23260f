//! Connects routers to the simulator: translates its messages and makes no decisions.

mod directory;
mod error;
mod instance;
mod message;
mod names;
mod request_id;
mod simulated_fleet;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use error::AdapterError;
use simulated_fleet::SimulatedInstances;

/// Reads messages from standard input and writes replies to standard output, until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut instances = SimulatedInstances::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut text = String::new();
    let mut line = 0_u64;
    loop {
        text.clear();
        line += 1;
        let read = input.read_line(&mut text).map_err(|source| AdapterError::Read { line, source })?;
        if read == 0 {
            break;
        }
        if text.trim().is_empty() {
            continue;
        }
        let reply = instances.receive_line(text.trim_end());
        if let Some(reply) = reply.map_err(|source| AdapterError::Rejected { line, source })? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    if instances.is_in_batch() {
        return Err(AdapterError::UnfinishedBatch { line });
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mallowgauge-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
