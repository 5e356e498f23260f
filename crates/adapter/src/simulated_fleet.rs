//! All simulated instances of one adapter process, which handle their messages batch by batch.

use std::collections::BTreeMap;

use mallowgauge_router::Micros;
use serde_json::Value;

use crate::error::WireError;
use crate::instance::{EndpointLists, Instance};
use crate::message::Message;
use crate::names::{fields, message, reply};

/// The simulated instances, and the endpoint lists that updates refer to by number.
#[derive(Default)]
pub struct SimulatedInstances {
    now: Micros,
    in_batch: bool,
    lists: EndpointLists,
    instances: BTreeMap<u64, Instance>,
}

impl SimulatedInstances {
    /// Returns whether a batch has begun and not ended.
    pub fn is_in_batch(&self) -> bool {
        self.in_batch
    }

    /// Handles one line. Returns the reply if the line ends a batch.
    pub fn receive_line(&mut self, text: &str) -> Result<Option<String>, WireError> {
        let value: Value = serde_json::from_str(text)?;
        let message = Message::new(&value)?;
        if message.name == message::BATCH_START {
            self.begin_batch(&message)?;
            return Ok(None);
        }
        if !self.in_batch {
            return Err(WireError::OutsideBatch(message.name.to_owned()));
        }
        match message.name {
            message::BATCH_END => return Ok(Some(self.end_batch())),
            message::ENDPOINT_LIST => {
                let number = message.int(fields::LIST_NUMBER)?;
                self.lists.insert(number, message.endpoint_list()?);
            }
            message::START_INSTANCE => {
                let instance = Instance::start(&message)?;
                self.instances.insert(message.int(fields::INSTANCE)?, instance);
            }
            message::STOP_INSTANCE => {
                let number = message.int(fields::INSTANCE)?;
                self.instances.remove(&number).ok_or_else(|| unknown_instance(&message, number))?;
            }
            _ => {
                let number = message.int(fields::INSTANCE)?;
                let instance = self.instances.get_mut(&number);
                let instance = instance.ok_or_else(|| unknown_instance(&message, number))?;
                instance.receive(&message, &self.lists)?;
            }
        }
        Ok(None)
    }

    fn begin_batch(&mut self, message: &Message) -> Result<(), WireError> {
        if self.in_batch {
            return Err(WireError::NestedBatch);
        }
        let now = message.int(fields::CLOCK)?;
        if now < self.now {
            return Err(WireError::ClockRunsBackwards);
        }
        (self.now, self.in_batch) = (now, true);
        Ok(())
    }

    fn end_batch(&mut self) -> String {
        self.in_batch = false;
        let mut out = String::new();
        let mut actions = Vec::new();
        for (&number, instance) in &mut self.instances {
            instance.end_batch(self.now, number, &mut actions, &mut out);
        }
        out.push_str(&format!("[\"{}\"]\n", reply::END));
        out
    }
}

fn unknown_instance(message: &Message, instance: u64) -> WireError {
    WireError::UnknownInstance { message: message.name.to_owned(), instance }
}
