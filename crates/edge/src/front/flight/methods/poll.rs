//! `PollFlightInfo`: a query that goes on between calls, and how it stands.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{PolledQueryKey, PolledQuerySpec, PolledState, RejectReason};
use mallowgauge_core::{Core, QueryResponse, ResponseHandle};
use mallowgauge_flight::answer;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo, PollInfo};
use mallowgauge_router::Micros;
use serde_json::json;

use super::info::encapsulated;
use crate::front::flight::call::{Call, Waiting, Wanted, Work};
use crate::front::flight::command::Command;
use crate::front::flight::service::Office;
use crate::front::flight::status::{failure, refusal};
use crate::front::flight::submission::Submitted;
use crate::front::flight::tickets::timestamp;
use crate::front::query;

/// A poll is answered after so long, whether something has changed or not.
pub const POLL: Micros = 1_000_000;

impl Call {
    pub fn poll(
        &mut self,
        now: Micros,
        number: u64,
        descriptor: &FlightDescriptor,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let command = Command::of(descriptor, core, &office.fresh())?;
        let key = PolledQueryKey { user: Rc::clone(&self.head.who.user), id: command.id.as_str().into() };
        let first = office.flights.state(now, &key).is_none();
        // The query goes on between calls: its time is its class's, not the call's.
        let ask = command.ask(None, self.head.options.timeout, core)?;
        let effect = !core.is_idempotent(command.class);
        let spec = PolledQuerySpec { body: command.fingerprint(), effect, polled: true, made: None };
        match office.submit(now, core, number, "", key.clone(), spec, ask) {
            Submitted::Waiting(caller) if first => {
                // The first call is answered at once, so that the client knows what to poll with.
                office.leave(caller, core);
                self.stands(now, &key, &command, office, core);
            }
            Submitted::Waiting(caller) => {
                let wait = self.left(now).map_or(POLL, |left| (left / 2).min(POLL));
                let form = Wanted::Poll(key, command);
                let (until, caller) = (Some(now + wait), Some(caller));
                self.work = Work::Waiting(Waiting { form, until, caller });
            }
            Submitted::Over(outcome) => {
                outcome?;
                self.stands(now, &key, &command, office, core);
            }
        }
        Ok(())
    }

    /// A poll whose time has come without an outcome.
    pub fn poll_over(&mut self, now: Micros, office: &mut Office, core: &mut Core) {
        let Work::Waiting(waiting) = &mut self.work else { return };
        if waiting.until.is_none_or(|until| until > now) {
            return;
        }
        let caller = waiting.caller.take();
        let Wanted::Poll(key, command) = std::mem::replace(&mut waiting.form, Wanted::Table) else { return };
        caller.into_iter().for_each(|caller| office.leave(caller, core));
        self.stands(now, &key, &command, office, core);
    }

    /// Says how a polled query stands, and ends the call.
    pub fn stands(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        command: &Command,
        office: &mut Office,
        core: &Core,
    ) {
        let standing = office.flights.state(now, key);
        match office.poll_info(now, &key.user, standing, command, core) {
            Ok(info) => {
                self.message(now, &info);
                self.end(&Status::new(Code::Ok, ""));
            }
            Err(status) => self.fail(now, &status),
        }
    }
}

impl Office {
    /// How a polled query stands.
    pub fn poll_info(
        &mut self,
        now: Micros,
        user: &str,
        standing: Option<PolledState<Rc<QueryResponse>>>,
        command: &Command,
        core: &Core,
    ) -> Result<PollInfo, Status> {
        let next = FlightDescriptor::command(command.text());
        let mut info = FlightInfo {
            schema: self.schema(command.class).unwrap_or_default(),
            flight_descriptor: Some(next.clone()),
            total_records: -1,
            total_bytes: -1,
            ..FlightInfo::default()
        };
        match standing {
            Some(PolledState::Running(run)) => {
                let progress = core.progress(ResponseHandle::Flight(run.0));
                let share = progress.map_or(0.0, |(done, all)| done as f64 / all.max(1) as f64);
                let until = now + self.unpolled;
                let expiration_time = Some(timestamp(until));
                let flight_descriptor = Some(next);
                Ok(PollInfo { info: Some(info), flight_descriptor, progress: Some(share), expiration_time })
            }
            Some(PolledState::Done(answer, until)) => {
                if let Some(status) = failure(&answer) {
                    return Err(status);
                }
                if let QueryResponse::Ranked(ranked) = &*answer {
                    info.total_records = ranked.rows.len() as i64;
                    info.app_metadata = query::marks(ranked).to_string().into();
                    info.schema = answer::schema_message(&answer::ranked_schema()).unwrap_or_default();
                }
                if let QueryResponse::Completed { complete: whole, values } = &*answer {
                    let rows = |value: &mallowgauge_core::Value| match value {
                        mallowgauge_core::Value::Text(_) => 1,
                        mallowgauge_core::Value::Table(table) => table.rows as i64,
                    };
                    info.total_records = values.iter().map(|(_, value)| rows(value)).sum();
                    info.total_bytes = values.iter().map(|(_, value)| value.bytes() as i64).sum();
                    info.app_metadata = json!({ "total": whole }).to_string().into();
                    info.schema = encapsulated(values).unwrap_or_default();
                }
                info.endpoint = vec![self.sealed(now, command, user, now, true)];
                let expiration_time = Some(timestamp(until));
                Ok(PollInfo {
                    info: Some(info),
                    flight_descriptor: None,
                    progress: Some(1.0),
                    expiration_time,
                })
            }
            Some(PolledState::Cancelled) => Err(refusal(RejectReason::Cancelled)),
            None => Err(Status::new(Code::NotFound, "it is no longer known").because("OUTCOME_FORGOTTEN")),
        }
    }
}
