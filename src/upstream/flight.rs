//! Arrow Flight to hosts that offer it.
use crate::core::{AttemptId, Send};
use crate::interface::*;
use crate::net::Stream;
use crate::upstream::Report;
use std::net::SocketAddr;
/// A connection that speaks Flight.
pub struct FlightLink {}
#[allow(missing_docs, unused_variables, clippy::pedantic)]
impl FlightLink {
    pub fn new(server: ServerId, stream: Stream, now: Micros, until: Micros, addr: SocketAddr) -> Self {
        Self {}
    }
    pub fn load(&self) -> usize {
        0
    }
    pub fn call(&mut self, now: Micros, sends: Vec<Send>, reports: &mut Vec<Report>) -> bool {
        false
    }
    pub fn usable(&self, now: Micros) -> bool {
        false
    }
    pub fn due(&self, idle: Micros) -> Option<Micros> {
        None
    }
    pub fn end(&mut self, reports: &mut Vec<Report>) {}
    pub fn abandon(&mut self, now: Micros, attempt: AttemptId) -> bool {
        true
    }
    pub fn probe(&mut self, now: Micros, until: Micros) -> bool {
        false
    }
    pub fn ready(&mut self, now: Micros, reports: &mut Vec<Report>) -> bool {
        true
    }
    pub fn expire(&mut self, now: Micros, idle: Micros, reports: &mut Vec<Report>) -> bool {
        false
    }
}
