//! `DoAction` and `ListActions`: cancelling, renewing and revoking flights, and session options.

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::polled_queries::{CancelResult, PolledQueryKey, RejectReason};
use mallowgauge_core::sessions::OptionError;
use mallowgauge_core::{Core, ResponseHandle};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{
    Action, ActionResult, ActionType, CancelFlightInfoRequest, CancelFlightInfoResult, CancelStatus,
    CloseSessionResult, FlightEndpoint, FlightInfo, RenewFlightEndpointRequest, SessionError, SessionOptions,
    SetSessionOptionsResult,
};
use mallowgauge_router::Micros;
use prost::Message;
use serde_json::json;

use super::decode;
use super::sessions::{option_from_wire, option_to_wire};
use crate::front::flight::auth::Identity;
use crate::front::flight::call::Call;
use crate::front::flight::service::{health, FlightService};
use crate::front::flight::status::{invalid_argument, rejection_status};

/// The actions with their descriptions. Clients see both.
const ACTIONS: [(&str, &str); 7] = [
    ("CancelFlightInfo", "Gives a flight up. In: CancelFlightInfoRequest. Out: CancelFlightInfoResult."),
    ("RenewFlightEndpoint", "Makes an endpoint count for longer. In: RenewFlightEndpointRequest. Out: FlightEndpoint."),
    ("ExpireFlightEndpoint", "Makes an endpoint count no longer. In: FlightEndpoint. Out: nothing."),
    ("SetSessionOptions", "Sets compression, timeout_ms, whole_only. In: SetSessionOptionsRequest. Out: SetSessionOptionsResult."),
    ("GetSessionOptions", "Tells the session's options. In: nothing. Out: GetSessionOptionsResult."),
    ("CloseSession", "Forgets the session's options. In: nothing. Out: CloseSessionResult."),
    ("Advice", "Tells when a client that finds no room may come back. In: nothing. Out: JSON."),
];

/// `SetSessionOptionsResult.ErrorValue`: there is no such option.
const INVALID_NAME: i32 = 1;
/// `SetSessionOptionsResult.ErrorValue`: the value is invalid for the option.
const INVALID_VALUE: i32 = 2;
/// `CloseSessionResult.Status`: the session is closed.
const CLOSED: i32 = 1;
/// `CloseSessionResult.Status`: there is no session to close.
const NOT_CLOSEABLE: i32 = 3;

impl Call {
    /// `ListActions`: sends the actions.
    ///
    /// # Errors
    /// None.
    pub fn list_actions(&mut self, now: Micros) -> Result<(), Status> {
        for (name, description) in ACTIONS {
            let action = ActionType { r#type: name.to_owned(), description: description.to_owned() };
            self.queue_message(now, &action);
        }
        self.finish_ok();
        Ok(())
    }

    /// `DoAction`: performs one action, and replies with its result if it has one.
    ///
    /// # Errors
    /// The action does not exist, its body cannot be decoded, or it fails.
    pub fn do_action(
        &mut self,
        now: Micros,
        message: &Bytes,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let Action { r#type: name, body } = decode(message, "this is no action")?;
        let identity = &self.head.identity;
        let result = match name.as_str() {
            "CancelFlightInfo" => {
                let request: CancelFlightInfoRequest = decode_body(&body)?;
                let info = request.info.ok_or_else(|| invalid_argument("no FlightInfo"))?;
                let status = service.cancel_flight(now, &info, identity, core)? as i32;
                Some(CancelFlightInfoResult { status }.encode_to_vec())
            }
            "RenewFlightEndpoint" => {
                let request: RenewFlightEndpointRequest = decode_body(&body)?;
                let endpoint = request.endpoint.ok_or_else(|| invalid_argument("no endpoint"))?;
                Some(service.renew_endpoint(now, endpoint, identity, core)?.encode_to_vec())
            }
            "ExpireFlightEndpoint" => {
                let endpoint: FlightEndpoint = decode_body(&body)?;
                service.revoke_endpoint(now, &endpoint, identity, core)?;
                None
            }
            "SetSessionOptions" => Some(self.set_session_options(now, &body, service)?.encode_to_vec()),
            "GetSessionOptions" => Some(self.session_options(now, service).encode_to_vec()),
            "CloseSession" => {
                let closed = identity.session.is_some_and(|id| service.sessions.close(id));
                let status = if closed { CLOSED } else { NOT_CLOSEABLE };
                Some(CloseSessionResult { status }.encode_to_vec())
            }
            "Advice" => Some(retry_advice(service, core).into_bytes()),
            _ => {
                let status = Status::new(Code::Unimplemented, "there is no such action here");
                return Err(status.with_reason("NO_SUCH_ACTION"));
            }
        };
        if let Some(body) = result {
            self.queue_message(now, &ActionResult { body: body.into() });
        }
        self.finish_ok();
        Ok(())
    }

    fn set_session_options(
        &mut self,
        now: Micros,
        body: &Bytes,
        service: &mut FlightService,
    ) -> Result<SetSessionOptionsResult, Status> {
        let request: SessionOptions = decode_body(body)?;
        let id = self.session_or_new(service);
        let options = service.sessions.open(now, id);
        let mut errors = HashMap::new();
        for (name, value) in request.session_options {
            let value = option_from_wire(value).ok_or(OptionError::InvalidValue);
            if let Err(error) = value.and_then(|value| options.set(&name, &value)) {
                let value = if error == OptionError::UnknownName { INVALID_NAME } else { INVALID_VALUE };
                errors.insert(name, SessionError { value });
            }
        }
        Ok(SetSessionOptionsResult { errors })
    }

    fn session_options(&self, now: Micros, service: &mut FlightService) -> SessionOptions {
        let session = self.head.identity.session;
        let options = session.and_then(|id| service.sessions.touch(now, id)).unwrap_or_default();
        let named = options.all().into_iter().map(|(name, value)| (name.to_owned(), option_to_wire(value)));
        SessionOptions { session_options: named.collect() }
    }
}

fn decode_body<M: Message + Default>(body: &Bytes) -> Result<M, Status> {
    decode(body, "the action's body cannot be read")
}

/// Returns, as JSON, how long a client that would be rejected now should wait before a retry.
fn retry_advice(service: &FlightService, core: &mut Core) -> String {
    let retry_after_ms = core.retry_after().div_ceil(1000);
    let serving = service.health_status() == health::SERVING;
    json!({"retry_after_ms": retry_after_ms, "serving": serving}).to_string()
}

impl FlightService {
    /// Cancels the queries of a `FlightInfo`, including those that have not been run yet. If one of them cannot be
    /// cancelled here, none is.
    ///
    /// # Errors
    /// One of its tickets is not valid, belongs to a query that may have been executed by another process, or its query
    /// can no longer be revoked.
    fn cancel_flight(
        &mut self,
        now: Micros,
        info: &FlightInfo,
        identity: &Identity,
        core: &mut Core,
    ) -> Result<CancelStatus, Status> {
        let mut cancellations = Vec::new();
        for (command, origin) in self.commands_of(now, info, identity, core)? {
            let spec = self.polled_query_spec(&command, origin, false, core)?;
            cancellations.push((command, spec));
        }
        let mut status = CancelStatus::Cancelled;
        for (command, spec) in cancellations {
            let key = PolledQueryKey { user: Rc::clone(&identity.user), id: command.id.as_str().into() };
            let result = self
                .polled_queries
                .cancel(now, &key, |run| core.possibly_executed(ResponseHandle::Flight(run.0)));
            match result {
                CancelResult::Cancelled(run, waiters) => {
                    self.cancel_run(run, core);
                    self.queue_outcome(waiters, &Err(rejection_status(RejectReason::Cancelled)));
                }
                CancelResult::AlreadyCancelled => {}
                CancelResult::TooLate => status = CancelStatus::NotCancellable,
                CancelResult::Unknown => {
                    self.cancel_unshared_runs(&key, core);
                    self.polled_queries.revoke(now, &key, spec).map_err(rejection_status)?;
                }
            }
        }
        Ok(status)
    }
}
