//! Example client of mallowgauge over Arrow Flight: a search, a non-idempotent query that is sent twice under one id,
//! and a report by polling.
//!
//! Usage: `mallowgauge-flight-example http://127.0.0.1:8815`

use arrow_array::RecordBatch;
use arrow_flight::{FlightClient, FlightDescriptor, FlightInfo};
use futures::TryStreamExt;
use serde_json::{json, Value};

type Error = Box<dyn std::error::Error>;

/// The command of a query, as JSON.
fn command(kind: &str, id: &str, shards: &[u32]) -> Value {
    json!({"kind": kind, "id": id, "ranges": shards, "predicate": "c41e77d0"})
}

/// Fetches all endpoints of an answer.
async fn fetch(client: &mut FlightClient, info: FlightInfo) -> Result<Vec<RecordBatch>, Error> {
    let mut batches = Vec::new();
    for endpoint in info.endpoint {
        let ticket = endpoint.ticket.ok_or("an endpoint without a ticket")?;
        batches.extend(client.do_get(ticket).await?.try_collect::<Vec<_>>().await?);
    }
    Ok(batches)
}

/// Sends a query and fetches its answer.
async fn run_query(client: &mut FlightClient, command: &Value) -> Result<Vec<RecordBatch>, Error> {
    let info = client.get_flight_info(FlightDescriptor::new_cmd(command.to_string())).await?;
    fetch(client, info).await
}

fn rows(batches: &[RecordBatch]) -> usize {
    batches.iter().map(RecordBatch::num_rows).sum()
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Error> {
    let addr = std::env::args().nth(1).ok_or("usage: mallowgauge-flight-example ADDRESS")?;
    let channel = tonic::transport::Endpoint::new(addr)?.connect().await?;
    let mut client = FlightClient::new(channel);
    let id = format!("{:016x}", std::process::id());

    let found = run_query(&mut client, &command("search", &format!("s{id}"), &[0, 1, 2])).await?;
    println!("search: {} rows", rows(&found));

    // A client that loses an answer sends the query again under the same id; it is executed only once.
    let hold = command("place-hold", &format!("h{id}"), &[0]);
    let (first, second) = (run_query(&mut client, &hold).await?, run_query(&mut client, &hold).await?);
    println!("hold sent twice under one id, same outcome: {}", first == second);

    let mut next =
        FlightDescriptor::new_cmd(command("sales-report", &format!("r{id}"), &[0, 1, 2]).to_string());
    loop {
        let poll = client.poll_flight_info(next).await?;
        println!("report: {:.0}% complete", poll.progress.unwrap_or(0.0) * 100.0);
        match poll.flight_descriptor {
            Some(descriptor) => next = descriptor,
            None => {
                let batches =
                    fetch(&mut client, poll.info.ok_or("the poll has ended without a FlightInfo")?).await?;
                println!("report: {} rows", rows(&batches));
                return Ok(());
            }
        }
    }
}
