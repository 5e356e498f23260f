//! Sessions: the session cookie, and the wire format of session options.

use mallowgauge_core::sessions::{SessionId, Setting};
use mallowgauge_flight::proto::{OptionValue, SessionOptionValue};

use crate::front::flight::auth::COOKIE;
use crate::front::flight::call::Call;
use crate::front::flight::service::FlightService;

impl Call {
    /// Returns the call's session. Without one, creates a new session and sets its cookie.
    pub fn session_or_new(&mut self, service: &mut FlightService) -> SessionId {
        if let Some(id) = self.head.identity.session {
            return id;
        }
        let id = service.generate_session_id();
        self.add_header("set-cookie", &format!("{COOKIE}={:032x}", id.0));
        id
    }
}

/// Converts an option's value from the wire; `None` for a type that no option has.
pub fn option_from_wire(value: SessionOptionValue) -> Option<Setting> {
    Some(match value.option_value {
        None => Setting::Unset,
        Some(OptionValue::String(text)) => Setting::Text(text),
        Some(OptionValue::Bool(flag)) => Setting::Flag(flag),
        Some(OptionValue::Int64(number)) => Setting::Integer(number),
        Some(OptionValue::Double(_) | OptionValue::StringList(_)) => return None,
    })
}

/// Converts an option's value to the wire.
pub fn option_to_wire(value: Setting) -> SessionOptionValue {
    let option_value = match value {
        Setting::Unset => None,
        Setting::Text(text) => Some(OptionValue::String(text)),
        Setting::Flag(flag) => Some(OptionValue::Bool(flag)),
        Setting::Integer(number) => Some(OptionValue::Int64(number)),
    };
    SessionOptionValue { option_value }
}
