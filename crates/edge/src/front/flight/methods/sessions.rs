//! Sessions: the cookie that names one, and its options on the wire.

use mallowgauge_core::sessions::{SessionId, Setting};
use mallowgauge_flight::proto::{OptionValue, SessionOptionValue};

use crate::front::flight::auth::COOKIE;
use crate::front::flight::call::Call;
use crate::front::flight::service::Office;

impl Call {
    /// The call's session; one that has none is given one, which its client keeps as a cookie.
    pub fn session(&mut self, office: &mut Office) -> SessionId {
        if let Some(id) = self.head.who.session {
            return id;
        }
        let id = office.session();
        self.line("set-cookie", &format!("{COOKIE}={:032x}", id.0));
        id
    }
}

pub fn setting(value: SessionOptionValue) -> Option<Setting> {
    Some(match value.option_value {
        None => Setting::Unset,
        Some(OptionValue::Text(text)) => Setting::Text(text),
        Some(OptionValue::Flag(flag)) => Setting::Flag(flag),
        Some(OptionValue::Whole(number)) => Setting::Whole(number),
        Some(OptionValue::Number(_) | OptionValue::Texts(_)) => return None,
    })
}

pub fn unset(value: Setting) -> SessionOptionValue {
    let option_value = match value {
        Setting::Unset => None,
        Setting::Text(text) => Some(OptionValue::Text(text)),
        Setting::Flag(flag) => Some(OptionValue::Flag(flag)),
        Setting::Whole(number) => Some(OptionValue::Whole(number)),
    };
    SessionOptionValue { option_value }
}
