//! Helpers of the tests that use the client of the `arrow-flight` crate.

use arrow_flight::error::FlightError;
use tonic::Code;

/// Status code, reason, and retry delay in milliseconds of a failed call.
pub type FailedCall = (Code, Option<String>, Option<u64>);

/// Reads the status code and the status details of a failed call.
pub fn status(error: FlightError) -> FailedCall {
    match error {
        FlightError::Tonic(status) => {
            let mut map = http::HeaderMap::new();
            if let Some(details) = status.metadata().get_bin("grpc-status-details-bin") {
                let text = std::str::from_utf8(details.as_encoded_bytes()).expect("base64");
                map.insert("grpc-status-details-bin", text.parse().expect("a value"));
            } else if !status.details().is_empty() {
                let text = base64(status.details());
                map.insert("grpc-status-details-bin", text.parse().expect("a value"));
            }
            let (reason, wait) = mallowgauge_flight::grpc::error_details(&map);
            (status.code(), reason, wait.map(|wait| wait / 1000))
        }
        other => panic!("not a gRPC status: {other}"),
    }
}

/// Encodes bytes in base64 without padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |sum, b| sum << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for digit in 0..=chunk.len() {
            out.push(char::from(DIGITS[(word >> (18 - 6 * digit)) as usize & 63]));
        }
    }
    out
}
