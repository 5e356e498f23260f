//! Tickets and poll descriptors that come back to another process than the one that issued them: the same instance after
//! a planned restart, or another instance with the same key. Only the issuer knows whether a non-idempotent query was
//! executed.

mod common;

use std::sync::Arc;

use arrow_flight::{Action, CancelFlightInfoRequest, FlightClient, FlightDescriptor, FlightInfo, PollInfo};
use common::{status, FailedCall};
use futures::TryStreamExt;
use mallowgauge_testkit::columns::{listings, ScriptedReply, TableEncoding};
use mallowgauge_testkit::{Deployment, Program};
use prost::Message;
use serde_json::{json, Value};
use tonic::transport::Endpoint;
use tonic::Code;

/// What leads a client to another process than the one that issued its ticket or descriptor.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// The instance is restarted.
    Restart,
    /// The client's next connection leads to another instance with the same key.
    OtherInstance,
}

/// A deployment with a signing key that outlives a process, and the process that serves the client.
struct TestBed {
    deployment: Deployment,
    other: Option<Program>,
}

impl TestBed {
    fn start() -> Self {
        static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let key =
            std::env::temp_dir().join(format!("mallowgauge-issuer-{}-{number}.key", std::process::id()));
        std::fs::write(&key, "5be2a07c19f04d635be2a07c19f04d63").expect("write a temporary file");
        let script = Arc::new(|_, ticket: &Value, _| {
            let shard = ticket["range"].as_u64().expect("a shard") as u32;
            ScriptedReply::Table(vec![listings(shard, 2)], TableEncoding::default())
        });
        let deployment = Deployment::start(script, json!({ "key": key }), |_| {});
        Self { deployment, other: None }
    }

    /// Leads the client to another process.
    fn change(&mut self, change: Change) {
        match change {
            Change::Restart => self.deployment.restart(),
            Change::OtherInstance => self.other = Some(self.deployment.start_instance()),
        }
    }

    async fn client(&self) -> FlightClient {
        let program = self.other.as_ref().unwrap_or(&self.deployment.program);
        let addr = format!("http://{}", program.flight);
        FlightClient::new(Endpoint::new(addr).expect("an address").connect().await.expect("a connection"))
    }

    /// Submits a query with `PollFlightInfo`, and waits until its part was executed once.
    async fn begin_polled_query(&self, kind: &str, id: &str) -> PollInfo {
        let mut client = self.client().await;
        let poll = client.poll_flight_info(descriptor(kind, id)).await.expect("the first poll");
        while self.deployment.attempts_by_shard(id).is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        poll
    }
}

fn command(kind: &str, id: &str) -> Value {
    json!({"kind": kind, "id": id, "ranges": [0], "predicate": "c41e77d0"})
}

fn descriptor(kind: &str, id: &str) -> FlightDescriptor {
    FlightDescriptor::new_cmd(command(kind, id).to_string())
}

/// The failure of what only the issuer may do.
fn other_issuer() -> FailedCall {
    (Code::FailedPrecondition, Some("OTHER_ISSUER".to_owned()), None)
}

// Guards against the second run of a place-hold that its client only polls, across a restart or at another instance.
#[tokio::test]
async fn poll_elsewhere_does_not_execute_a_non_idempotent_query_again() {
    for change in [Change::Restart, Change::OtherInstance] {
        let mut test_bed = TestBed::start();
        let first = test_bed.begin_polled_query("place-hold", "hold").await;
        let next = first.flight_descriptor.expect("a descriptor to poll with");
        test_bed.change(change);
        let mut client = test_bed.client().await;
        let polled = client.poll_flight_info(next.clone()).await.map_err(status).expect_err("a refusal");
        assert_eq!(polled, other_issuer(), "{change:?}");
        // The same descriptor gets no ticket, and starts no query as the command of a stream.
        let info = client.get_flight_info(next.clone()).await.map_err(status).expect_err("a refusal");
        assert_eq!(info, other_issuer(), "{change:?}");
        let message = arrow_flight::FlightData {
            flight_descriptor: Some(next),
            app_metadata: json!({"tag": "t"}).to_string().into(),
            ..Default::default()
        };
        let exchange =
            client.inner_mut().do_exchange(futures::stream::iter([message])).await.expect("a stream");
        let answers: Vec<_> = exchange.into_inner().try_collect().await.expect("answers");
        let answer: Value = serde_json::from_slice(&answers[0].app_metadata).expect("JSON");
        assert_eq!((&answer["status"], &answer["reason"]), (&json!("failed"), &json!("OTHER_ISSUER")));
        assert_eq!(test_bed.deployment.attempts_by_shard("hold"), [(0, 1)], "{change:?}");
    }
}

// Guards clients that poll an idempotent query across a restart or at another instance: it starts again and completes.
#[tokio::test]
async fn poll_elsewhere_starts_an_idempotent_query_again() {
    for change in [Change::Restart, Change::OtherInstance] {
        let mut test_bed = TestBed::start();
        let mut poll = test_bed.begin_polled_query("search", "search").await;
        test_bed.change(change);
        let mut client = test_bed.client().await;
        while let Some(next) = poll.flight_descriptor {
            poll = client.poll_flight_info(next).await.expect("the state of the query");
        }
        assert_eq!(poll.info.expect("a FlightInfo").total_records, 2, "{change:?}");
        assert_eq!(test_bed.deployment.attempts_by_shard("search"), [(0, 2)], "{change:?}");
    }
}

// Guards against CANCELLED for a place-hold that another process has run (review/3), and against an endpoint that is
// reported as expired and still counts at its issuer.
#[tokio::test]
async fn cancel_elsewhere_is_not_confirmed_for_a_non_idempotent_query() {
    for change in [Change::Restart, Change::OtherInstance] {
        let mut test_bed = TestBed::start();
        let mut client = test_bed.client().await;
        let info = client.get_flight_info(descriptor("place-hold", "got")).await.expect("info");
        let ticket = info.endpoint[0].ticket.clone().expect("a ticket");
        let _: Vec<_> =
            client.do_get(ticket).await.expect("an answer").try_collect().await.expect("an answer");
        let polled = test_bed.begin_polled_query("place-hold", "polled").await.info.expect("a FlightInfo");
        test_bed.change(change);
        let mut client = test_bed.client().await;
        for info in [&info, &polled] {
            let request = CancelFlightInfoRequest::new(info.clone());
            let failed = client.cancel_flight_info(request).await.map_err(status).expect_err("a refusal");
            assert_eq!(failed, other_issuer(), "{change:?}");
        }
        let action = Action::new("ExpireFlightEndpoint", info.endpoint[0].encode_to_vec());
        let failed = async { client.do_action(action).await?.try_collect::<Vec<_>>().await }.await;
        assert_eq!(failed.map_err(status).expect_err("a refusal"), other_issuer(), "{change:?}");
        // Without an origin it is not known either whether the query was executed.
        let bare = FlightInfo { flight_descriptor: Some(descriptor("place-hold", "got")), ..info };
        let bare = FlightInfo { endpoint: Vec::new(), ..bare };
        let request = CancelFlightInfoRequest::new(bare);
        let failed = client.cancel_flight_info(request).await.map_err(status).expect_err("a refusal");
        assert_eq!(failed.1.as_deref(), Some("OUTCOME_FORGOTTEN"), "{change:?}");
        let attempts = |id| test_bed.deployment.attempts_by_shard(id);
        assert_eq!((attempts("got"), attempts("polled")), (vec![(0, 1)], vec![(0, 1)]), "{change:?}");
    }
}

// Guards clients that cancel before anything has run: a ticket that was never redeemed is cancelled by its issuer.
#[tokio::test]
async fn cancel_at_the_issuer_is_confirmed_before_the_query_runs() {
    let test_bed = TestBed::start();
    let mut client = test_bed.client().await;
    for kind in ["place-hold", "search"] {
        let info = client.get_flight_info(descriptor(kind, kind)).await.expect("info");
        let request = CancelFlightInfoRequest::new(info.clone());
        let result = client.cancel_flight_info(request).await.expect("a result");
        assert_eq!(result.status(), arrow_flight::CancelStatus::Cancelled, "{kind}");
        let ticket = info.endpoint[0].ticket.clone().expect("a ticket");
        let failed = async { client.do_get(ticket).await?.try_collect::<Vec<_>>().await }.await;
        assert_eq!(failed.map_err(status).expect_err("a refusal").0, Code::Cancelled, "{kind}");
        assert_eq!(test_bed.deployment.attempts_by_shard(kind), [], "{kind}");
    }
}
