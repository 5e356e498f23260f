//! Asks a mallowgauge over Arrow Flight: a search, a hold asked for twice, a report by polling.
//! `mallowgauge-flight-example http://127.0.0.1:8815`

use arrow_array::RecordBatch;
use arrow_flight::{FlightClient, FlightDescriptor, FlightInfo};
use futures::TryStreamExt;
use serde_json::{json, Value};

type Failed = Box<dyn std::error::Error>;

fn command(kind: &str, id: &str, shards: &[u32]) -> Value {
    json!({"kind": kind, "id": id, "ranges": shards, "predicate": "c41e77d0"})
}

async fn fetch(client: &mut FlightClient, info: FlightInfo) -> Result<Vec<RecordBatch>, Failed> {
    let mut batches = Vec::new();
    for endpoint in info.endpoint {
        let ticket = endpoint.ticket.ok_or("an endpoint without a ticket")?;
        batches.extend(client.do_get(ticket).await?.try_collect::<Vec<_>>().await?);
    }
    Ok(batches)
}

async fn ask(client: &mut FlightClient, wish: &Value) -> Result<Vec<RecordBatch>, Failed> {
    let info = client.get_flight_info(FlightDescriptor::new_cmd(wish.to_string())).await?;
    fetch(client, info).await
}

fn rows(batches: &[RecordBatch]) -> usize {
    batches.iter().map(RecordBatch::num_rows).sum()
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Failed> {
    let addr = std::env::args().nth(1).ok_or("usage: mallowgauge-flight-example ADDRESS")?;
    let channel = tonic::transport::Endpoint::new(addr)?.connect().await?;
    let mut client = FlightClient::new(channel);
    let id = format!("{:016x}", std::process::id());

    let found = ask(&mut client, &command("search", &format!("s{id}"), &[0, 1, 2])).await?;
    println!("search: {} rows", rows(&found));

    // A lost answer is asked for again under the same id: the hold runs once.
    let hold = command("place-hold", &format!("h{id}"), &[0]);
    let (first, second) = (ask(&mut client, &hold).await?, ask(&mut client, &hold).await?);
    println!("hold asked for twice under one id: the same outcome: {}", first == second);

    let mut next =
        FlightDescriptor::new_cmd(command("sales-report", &format!("r{id}"), &[0, 1, 2]).to_string());
    loop {
        let poll = client.poll_flight_info(next).await?;
        println!("report: {:.0}% in", poll.progress.unwrap_or(0.0) * 100.0);
        match poll.flight_descriptor {
            Some(again) => next = again,
            None => {
                let batches = fetch(&mut client, poll.info.ok_or("nothing to fetch")?).await?;
                println!("report: {} rows", rows(&batches));
                return Ok(());
            }
        }
    }
}
