//! Accepts a new HTTP/2 stream: reads the head of its call, and responds at once to a stream that is not a valid call.

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

/// Returns the call of a new stream; `None` if the stream was ended at once.
///
/// A request that is not gRPC gets HTTP status 415. An unknown method, a malformed head, an unauthenticated caller or
/// too many open calls get a gRPC status without a body.
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
        Method::DoPut => {
            CallState::BatchStream(Box::new(BatchStream::new(BatchKind::Put, &limits, &service.batch_memory)))
        }
        Method::DoExchange => CallState::BatchStream(Box::new(BatchStream::new(
            BatchKind::Exchange,
            &limits,
            &service.batch_memory,
        ))),
        method => CallState::Request(method),
    };
    // A handshake by headers alone is answered at once, because its client may not end its side of the stream.
    let is_header_handshake = method == Method::Handshake && request.headers().contains_key("authorization");
    let basic_headers = is_header_handshake.then(|| request.headers().clone());
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

/// Reads method, timeout, encoding and identity of a call, and admits it.
///
/// # Errors
/// The status that the stream ends with; the call is not counted as open then.
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

/// Ends a stream with a status and no messages.
fn end_stream(status: &Status, mut respond: SendResponse<Bytes>) {
    let mut response = Response::new(());
    let headers = response.headers_mut();
    headers.insert("content-type", http::HeaderValue::from_static(grpc::CONTENT_TYPE));
    headers.insert("grpc-accept-encoding", http::HeaderValue::from_static(grpc::ACCEPTED_ENCODINGS));
    headers.extend(status.trailers());
    let _ = respond.send_response(response, true);
}

/// Responds with a bearer token to a handshake whose credentials are in its headers.
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
