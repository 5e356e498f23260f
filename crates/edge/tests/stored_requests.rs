//! The encoding of requests and responses in records. Instances of different versions run side by side during a rolling
//! update of the cluster, so each has to decode the other's records. The literals were encoded by the code of 448c769.

use std::fmt::Write as _;

use mallowgauge_cluster::takeover::QueryEnd;
use mallowgauge_core::{PartRequest, QueryRequest, QueryResponse, Value};
use mallowgauge_edge::takeover::records::{
    decode_request, decode_response, encode_request, query_end, request_digest,
};
use mallowgauge_router::{ClassId, ShardId};

const DIGEST: &str = "13b80a5850804a0d";
const REQUEST: &str = "13b80a5850804a0d0190a10f04626f64790203000000000000e03fac02000000000000f03f";
const COMPLETE: &str = "00010203036f6e65ac0200";
const PARTIAL: &str = "00000203036f6e65ac0200";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

fn request() -> QueryRequest {
    let part = |shard, weight| PartRequest { shard: ShardId(shard), weight };
    QueryRequest {
        id: "query-1".into(),
        class: ClassId(1),
        expires_in: 5,
        retry: false,
        work_hint: None,
        body: b"body".to_vec().into(),
        parts: vec![part(3, 0.5), part(300, 1.0)],
        plan: None,
    }
}

fn response(complete: bool) -> QueryResponse {
    let values = vec![(ShardId(3), Value::from("one")), (ShardId(300), Value::from(""))];
    QueryResponse::Completed { complete, values }
}

#[test]
fn stored_request_encoding_is_stable() {
    assert_eq!(hex(&request_digest(&request())), DIGEST);
    assert_eq!(hex(&encode_request(&request(), 250_000)), REQUEST);
    let decoded = decode_request("query-1", &unhex(REQUEST), 100_000).expect("a request");
    assert_eq!(
        (&*decoded.id, decoded.class, decoded.expires_in, decoded.retry),
        ("query-1", ClassId(1), 150_000, true)
    );
    assert_eq!(&*decoded.body, b"body");
    let parts: Vec<(u32, f64)> = decoded.parts.iter().map(|part| (part.shard.0, part.weight)).collect();
    assert_eq!(parts, [(3, 0.5), (300, 1.0)]);
    assert!(decode_request("query-1", &unhex(REQUEST), 230_000).is_none(), "too little time is left");
    assert!(decode_request("query-1", &unhex(DIGEST), 0).is_none(), "a digest alone is no request");
}

#[test]
fn stored_response_encoding_is_stable() {
    for (complete, bytes) in [(true, COMPLETE), (false, PARTIAL)] {
        let end = query_end(&response(complete), true, 1000);
        assert_eq!(hex(&end.to_bytes()), bytes);
        let QueryEnd::Answered(stored) = QueryEnd::from_bytes(&unhex(bytes)) else { panic!("no response") };
        assert_eq!(decode_response(&stored), Some(response(complete)));
    }
    assert_eq!(query_end(&response(true), true, 5), QueryEnd::PossiblyExecuted, "too long to be stored");
}
