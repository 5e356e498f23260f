//! Accepts a new HTTP/2 stream: reads the head of the call, and answers at once where no call can be made of it.

use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{HeaderMap, Request, Response};
use mallowgauge_flight::grpc::{self, Code, Encoding, Status};
use mallowgauge_flight::proto::Handshake;
use mallowgauge_router::Micros;

use super::batch_stream::{BatchKind, BatchStream};
use super::call::{Call, CallHead, CallState};
use super::method::Method;
use super::service::FlightService;
use super::status::invalid_argument;

/// The call that a new stream is; `None` if the stream was answered at once.
///
/// What is not gRPC gets HTTP status 415. An unknown method, a malformed head, an unknown caller, or a full call table
/// get a gRPC status without a body.
pub fn accept(
    now: Micros,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    service: &mut FlightService,
) -> Option<Call> {
    if !is_grpc(&request) {
        let response = Response::builder().status(415).body(()).ok()?;
        let _ = respond.send_response(response, true);
        return None;
    }
    let (method, head) = match read_head(now, &request, service) {
        Ok(read) => read,
        Err(status) => {
            end_stream(&status, respond);
            return None;
        }
    };
    let limits = *service.admission.limits();
    let state = match method {
        Method::DoPut => CallState::BatchStream(Box::new(BatchStream::new(BatchKind::Put, &limits))),
        Method::DoExchange => {
            CallState::BatchStream(Box::new(BatchStream::new(BatchKind::Exchange, &limits)))
        }
        method => CallState::Request(method),
    };
    // A handshake by header lines alone is answered at once: its client may keep its side open.
    let by_header = method == Method::Handshake && request.headers().contains_key("authorization");
    let basic_headers = by_header.then(|| request.headers().clone());
    let mut call = Call::new(now, head, state, request, respond, (limits.message_bytes, limits.send_buffer));
    if let Some(headers) = basic_headers {
        answer_header_handshake(now, &headers, &mut call, service);
    }
    Some(call)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn is_grpc(request: &Request<RecvStream>) -> bool {
    let content_type = header(request.headers(), "content-type");
    let suffix = content_type.and_then(|value| value.strip_prefix(grpc::CONTENT_TYPE));
    request.method() == http::Method::POST
        && suffix.is_some_and(|rest| rest.is_empty() || rest.starts_with(['+', ';']))
}

/// Reads method, time-out, encoding and identity of a call, and counts it as open.
///
/// # Errors
/// The status that the stream ends with; the call is not counted then.
fn read_head(
    now: Micros,
    request: &Request<RecvStream>,
    service: &mut FlightService,
) -> Result<(Method, CallHead), Status> {
    let headers = request.headers();
    let mut head = CallHead::default();
    let method = Method::from_path(request.uri().path())
        .ok_or_else(|| Status::new(Code::Unimplemented, "there is no such method here"))?;
    if let Some(text) = header(headers, "grpc-timeout") {
        let timeout = grpc::parse_timeout(text);
        head.timeout = Some(timeout.ok_or_else(|| invalid_argument("grpc-timeout makes no sense"))?);
    }
    let encoding = header(headers, "grpc-encoding").map_or(Some(Encoding::Identity), Encoding::from_name);
    head.encoding = encoding.ok_or_else(|| {
        Status::new(Code::Unimplemented, "this grpc-encoding is not understood").with_reason("ENCODING")
    })?;
    if method.requires_identity() {
        head.identity = service.authenticator.identify(now, headers, &mut service.admission)?;
    }
    let options = head.identity.session.and_then(|id| service.sessions.touch(now, id));
    head.options = options.unwrap_or_default();
    service.admission.admit_call().map_err(|full| {
        Status::new(Code::Unavailable, full.message).with_reason("FULL").with_retry_after(full.retry_after)
    })?;
    Ok((method, head))
}

/// Ends a stream with a status alone.
fn end_stream(status: &Status, mut respond: SendResponse<Bytes>) {
    let mut response = Response::new(());
    let headers = response.headers_mut();
    headers.insert("content-type", http::HeaderValue::from_static(grpc::CONTENT_TYPE));
    headers.insert("grpc-accept-encoding", http::HeaderValue::from_static(grpc::ACCEPTED_ENCODINGS));
    headers.extend(status.trailers());
    let _ = respond.send_response(response, true);
}

/// Answers a handshake whose credentials stand in its header lines with a bearer token.
fn answer_header_handshake(now: Micros, headers: &HeaderMap, call: &mut Call, service: &mut FlightService) {
    match service.authenticator.identify(now, headers, &mut service.admission) {
        Ok(identity) => {
            let token = service.issue_token(now, &identity.user);
            call.add_header("authorization", &format!("Bearer {token}"));
            call.queue_message(now, &Handshake::default());
            call.finish(&Status::new(Code::Ok, ""));
        }
        Err(status) => call.finish_with_error(now, &status),
    }
}
