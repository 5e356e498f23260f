//! Takes a new HTTP/2 stream: reads the head of the call, and rejects what no call can be made of.

use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{HeaderMap, Request, Response};
use mallowgauge_flight::grpc::{self, Code, Encoding, Status};
use mallowgauge_router::Micros;

use super::batch_stream::{BatchKind, BatchStream};
use super::call::{Call, CallHead, CallState};
use super::method::Method;
use super::service::FlightService;
use super::status::invalid_argument;

/// Ends a stream with a status alone.
pub fn refuse(status: &Status, extra: &[(&'static str, &'static str)], mut respond: SendResponse<Bytes>) {
    let mut response = Response::new(());
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert("content-type", http::HeaderValue::from_static(grpc::CONTENT_TYPE));
    for &(name, value) in extra {
        headers.insert(name, http::HeaderValue::from_static(value));
    }
    headers.extend(status.trailers());
    let _ = respond.send_response(response, true);
}

/// Takes a stream; `None` if it is answered at once.
pub fn accept(
    now: Micros,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    service: &mut FlightService,
) -> Option<Call> {
    let headers = request.headers();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let kind = text("content-type").and_then(|kind| kind.strip_prefix(grpc::CONTENT_TYPE));
    if request.method() != http::Method::POST
        || !kind.is_some_and(|rest| rest.is_empty() || rest.starts_with(['+', ';']))
    {
        let response = Response::builder().status(415).body(()).ok()?;
        let _ = respond.send_response(response, true);
        return None;
    }
    let mut head = CallHead::default();
    let mut understand = || -> Result<Method, Status> {
        let method = Method::from_path(request.uri().path())
            .ok_or_else(|| Status::new(Code::Unimplemented, "there is no such method here"))?;
        head.timeout = match text("grpc-timeout") {
            None => None,
            Some(text) => Some(
                grpc::read_timeout(text).ok_or_else(|| invalid_argument("grpc-timeout makes no sense"))?,
            ),
        };
        let encoding = text("grpc-encoding").map_or(Some(Encoding::Identity), Encoding::named);
        head.encoding = encoding.ok_or_else(|| {
            Status::new(Code::Unimplemented, "this grpc-encoding is not understood").because("ENCODING")
        })?;
        if method.requires_identity() {
            head.identity = service.authenticator.identify(now, headers, &mut service.admission)?;
        }
        let options = head.identity.session.and_then(|id| service.sessions.touch(now, id));
        head.options = options.unwrap_or_default();
        service.admission.call().map_err(|full| {
            Status::new(Code::Unavailable, full.what).because("FULL").retry(full.retry_after)
        })?;
        Ok(method)
    };
    let method = match understand() {
        Ok(method) => method,
        Err(status) => {
            refuse(&status, &[("grpc-accept-encoding", grpc::ACCEPTED)], respond);
            return None;
        }
    };
    let limits = *service.admission.limits();
    let work = match method {
        Method::DoPut => CallState::BatchStream(Box::new(BatchStream::new(BatchKind::Put, &limits))),
        Method::DoExchange => {
            CallState::BatchStream(Box::new(BatchStream::new(BatchKind::Exchange, &limits)))
        }
        method => CallState::Request(method),
    };
    // A handshake by header lines alone is answered at once: its client may keep its side open.
    let named = method == Method::Handshake && headers.contains_key("authorization");
    let basic_headers = named.then(|| headers.clone());
    let mut call = Call::new(now, head, work, request, respond, (limits.message, limits.send_buffer));
    if let Some(headers) = basic_headers {
        match service.authenticator.identify(now, &headers, &mut service.admission) {
            Ok(identity) => {
                let token = service.issue_token(now, &identity.user);
                call.add_header("authorization", &format!("Bearer {token}"));
                call.queue_message(now, &mallowgauge_flight::proto::Handshake::default());
                call.finish(&Status::new(Code::Ok, ""));
            }
            Err(status) => call.finish_with_error(now, &status),
        }
    }
    Some(call)
}
