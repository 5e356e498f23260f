//! Host connections: the pool, and the wires that hosts are spoken to on.

pub mod flight_connection;
pub mod frames;
mod pool;

pub use pool::{Link, Pool};

use mallowgauge_core::table_memory::CallId;
use mallowgauge_core::{AttemptId, AttemptRequest, Value};
use mallowgauge_router::{BackendId, Micros, Outcome};

/// A frame or message that has begun to come has to be whole within this time.
const SLOWEST_FRAME: Micros = 500_000;

/// What a host connection reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// An attempt has ended, with its value if it was served.
    Ended(AttemptId, Outcome, Option<Value>),
    /// The tables of a query have no room in memory; where it shows at an attempt, that has ended.
    Overrun(CallId, Option<AttemptId>),
    /// A probe came back.
    Probed(BackendId, bool),
}

/// Takes out of a call that waited what may not be begun any more: that has never run.
fn drop_late(now: Micros, sends: &mut Vec<AttemptRequest>, reports: &mut Vec<Report>) {
    let late = sends.extract_if(.., |send| !send.may_begin(now));
    reports.extend(late.map(|send| Report::Ended(send.attempt, Outcome::NotSent, None)));
}
