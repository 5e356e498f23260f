//! Ids of queries and parts in the wire's format: 32 hexadecimal digits in five groups.

use crate::error::WireError;

/// Parses an id. Only the canonical form is accepted, so that it is written back unchanged.
pub fn parse(text: &str) -> Result<u128, WireError> {
    let digits: String = text.split('-').collect();
    let id = u128::from_str_radix(&digits, 16).map_err(|_| WireError::InvalidRequestId(text.to_owned()))?;
    if format(id) == text {
        Ok(id)
    } else {
        Err(WireError::NotCanonicalRequestId(text.to_owned()))
    }
}

/// Formats an id.
pub fn format(id: u128) -> String {
    let hex = format!("{id:032x}");
    format!("{}-{}-{}-{}-{}", &hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..])
}
