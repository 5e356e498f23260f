//! `DoAction` and `ListActions`: cancels, renews and expires, and the session's options.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{CancelResult, PolledQueryKey, PolledQuerySpec, RejectReason};
use mallowgauge_core::{Core, ResponseHandle};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::*;
use mallowgauge_router::Micros;
use prost::Message;
use serde_json::json;
use std::collections::HashMap;

use super::sessions::{option_from_wire, option_to_wire};
use crate::front::flight::auth::Identity;
use crate::front::flight::call::Call;
use crate::front::flight::service::FlightService;
use crate::front::flight::status::{invalid_argument, rejection_status};
use mallowgauge_core::sessions::Bad;

/// The actions, with what they do.
pub const ACTIONS: [(&str, &str); 7] = [
    ("CancelFlightInfo", "Gives a flight up. In: CancelFlightInfoRequest. Out: CancelFlightInfoResult."),
    ("RenewFlightEndpoint", "Makes an endpoint count for longer. In: RenewFlightEndpointRequest. Out: FlightEndpoint."),
    ("ExpireFlightEndpoint", "Makes an endpoint count no longer. In: FlightEndpoint. Out: nothing."),
    ("SetSessionOptions", "Sets compression, timeout_ms, whole_only. In: SetSessionOptionsRequest. Out: SetSessionOptionsResult."),
    ("GetSessionOptions", "Tells the session's options. In: nothing. Out: GetSessionOptionsResult."),
    ("CloseSession", "Forgets the session's options. In: nothing. Out: CloseSessionResult."),
    ("Advice", "Tells when a client that finds no room may come back. In: nothing. Out: JSON."),
];

impl Call {
    pub fn do_action(
        &mut self,
        now: Micros,
        action: &Action,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let body = action.body.clone();
        let unreadable_body = |_| invalid_argument("the action's body cannot be read");
        let reply = match action.r#type.as_str() {
            "CancelFlightInfo" => {
                let request = CancelFlightInfoRequest::decode(body).map_err(unreadable_body)?;
                let info = request.info.ok_or_else(|| invalid_argument("no FlightInfo"))?;
                let status = service.cancel_flight(now, &info, &self.head.identity, core)? as i32;
                Some(CancelFlightInfoResult { status }.encode_to_vec())
            }
            "RenewFlightEndpoint" => {
                let request = RenewFlightEndpointRequest::decode(body).map_err(unreadable_body)?;
                let endpoint = request.endpoint.ok_or_else(|| invalid_argument("no endpoint"))?;
                Some(service.renew_endpoint(now, endpoint, &self.head.identity, core)?.encode_to_vec())
            }
            "ExpireFlightEndpoint" => {
                let endpoint = FlightEndpoint::decode(body).map_err(unreadable_body)?;
                service.revoke_endpoint(now, &endpoint, &self.head.identity, core)?;
                None
            }
            "SetSessionOptions" => {
                let request = SessionOptions::decode(body).map_err(unreadable_body)?;
                let id = self.session_or_new(service);
                let options = service.sessions.open(now, id);
                let mut errors = HashMap::new();
                for (name, value) in request.session_options {
                    let set =
                        option_from_wire(value).map_or(Err(Bad::Value), |value| options.set(&name, &value));
                    if let Err(bad) = set {
                        let value = if bad == Bad::Name { 1 } else { 2 };
                        errors.insert(name, SessionError { value });
                    }
                }
                Some(SetSessionOptionsResult { errors }.encode_to_vec())
            }
            "GetSessionOptions" => {
                let id = self.head.identity.session;
                let options = id.and_then(|id| service.sessions.touch(now, id)).unwrap_or_default();
                let all = options.all().into_iter();
                let session_options =
                    all.map(|(name, value)| (name.to_owned(), option_to_wire(value))).collect();
                Some(SessionOptions { session_options }.encode_to_vec())
            }
            "CloseSession" => {
                let closed = self.head.identity.session.is_some_and(|id| service.sessions.close(id));
                let status = if closed { 1 } else { 3 };
                Some(CloseSessionResult { status }.encode_to_vec())
            }
            "Advice" => {
                let wait = core.retry_after();
                let advice =
                    json!({"retry_after_ms": wait.div_ceil(1000), "serving": service.health_status() == 1});
                Some(advice.to_string().into_bytes())
            }
            _ => {
                let status = Status::new(Code::Unimplemented, "there is no such action here");
                return Err(status.because("NO_SUCH_ACTION"));
            }
        };
        if let Some(body) = reply {
            self.queue_message(now, &ActionResult { body: body.into() });
        }
        Ok(())
    }
}

impl FlightService {
    pub fn cancel_flight(
        &mut self,
        now: Micros,
        info: &FlightInfo,
        identity: &Identity,
        core: &mut Core,
    ) -> Result<CancelStatus, Status> {
        let mut status = CancelStatus::Cancelled;
        for (command, made) in self.commands_of(now, info, identity, core)? {
            let key = PolledQueryKey { user: Rc::clone(&identity.user), id: command.id.as_str().into() };
            let done = self
                .polled_queries
                .cancel(now, &key, |run| core.possibly_executed(ResponseHandle::Flight(run.0)));
            match done {
                CancelResult::Cancelled(run, waiters) => {
                    self.cancel_run(run, core);
                    self.queue_outcome(waiters, &Err(rejection_status(RejectReason::Cancelled)));
                }
                CancelResult::AlreadyCancelled => {}
                CancelResult::TooLate => status = CancelStatus::NotCancellable,
                CancelResult::Unknown => {
                    let effect = !core.is_idempotent(command.class);
                    let spec = PolledQuerySpec {
                        body: command.fingerprint(),
                        effect,
                        polled: false,
                        made: Some(made),
                    };
                    self.cancel_unshared_runs(&key, core);
                    self.polled_queries.revoke(now, &key, spec).map_err(rejection_status)?;
                }
            }
        }
        Ok(status)
    }
}
