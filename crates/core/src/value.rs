//! The value of a part: a string from the frame protocol, or a table in Arrow's format.

use std::fmt;
use std::rc::Rc;

use bytes::Bytes;

use crate::table_memory::TableLease;

/// One Arrow IPC message of a table as received; it is not copied on its way to the client.
#[derive(Clone, PartialEq, Eq)]
pub struct Message {
    /// The header, a flatbuffer.
    pub header: Bytes,
    /// The body; empty for a schema.
    pub body: Bytes,
}

impl fmt::Debug for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Message({}+{} bytes)", self.header.len(), self.body.len())
    }
}

/// A table as a backend sent it: its schema, then dictionaries and record batches.
#[derive(Debug)]
pub struct Table {
    /// The header of the schema's message.
    pub schema: Bytes,
    /// Dictionaries and record batches, in the order in which they were received.
    pub messages: Vec<Message>,
    /// Rows in all record batches.
    pub rows: u64,
    /// Its reservation in the table memory, until the whole table has been sent to the client.
    pub lease: TableLease,
}

impl Table {
    /// Returns the size in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let messages = self.messages.iter().map(|m| m.header.len() + m.body.len());
        self.schema.len() + messages.sum::<usize>()
    }
}

impl PartialEq for Table {
    fn eq(&self, other: &Self) -> bool {
        self.schema == other.schema && self.messages == other.messages
    }
}

/// The value of a part.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A string.
    Text(Rc<str>),
    /// A table.
    Table(Rc<Table>),
}

impl Value {
    /// Returns the size in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Value::Text(text) => text.len(),
            Value::Table(table) => table.bytes(),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Text(text) => f.write_str(text),
            Value::Table(table) => write!(f, "({} rows)", table.rows),
        }
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.into())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Value::Text(text.into())
    }
}
