//! The encoded form of tickets and tokens: a ticket signed by one build must be accepted by another.

use bytes::Bytes;
use mallowgauge_flight::seal::{fingerprint, Key, Ticket, Token};

/// Issued at 5 µs and expires at 100 µs.
fn ticket() -> Ticket {
    let command = Bytes::from_static(br#"{"id":"q"}"#);
    Ticket {
        command,
        issued_at: 5,
        expires: 100,
        user: "ann".into(),
        issuer: 0x0102_0304_0506_0708,
        polled: true,
    }
}

fn token() -> Token {
    Token { user: "ann".into(), expires: 300, session_high: 0x1112_1314_1516_1718, session_low: 0x2122 }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

const TICKET: &str = "3d2e5a57374aad8ff64c7981ec3952fd6344beff1f2da04c574172dbb82cad5f0a0a7b226964223a2271227d100518642203616e6e2908070605040302013001";
const SHORTEST_TICKET: &str = "74bafb0041e3c80d2df4bb2af1a80164ec66d9b0a6a7da9a67355909ff6777e51864";
const TOKEN: &str = "c7fecc43557146b3f48e1aa40e05d0b4d518f7c905f8c4362582f20c1b5e902c0a03616e6e10ac02191817161514131211212221000000000000";

#[test]
fn a_ticket_has_these_bytes() {
    let key = Key::new(b"a secret of sixteen bytes or more");
    assert_eq!(hex(&key.sign_ticket(&ticket())), TICKET);
    assert_eq!(key.read_ticket(99, &decode_hex(TICKET)), Ok(ticket()));
    let shortest = Ticket { expires: 100, ..Ticket::default() };
    assert_eq!(hex(&key.sign_ticket(&shortest)), SHORTEST_TICKET);
    assert_eq!(key.read_ticket(99, &decode_hex(SHORTEST_TICKET)), Ok(shortest));
}

#[test]
fn a_token_has_these_bytes() {
    let key = Key::new(b"a secret of sixteen bytes or more");
    assert_eq!(hex(&key.sign_token(&token())), TOKEN);
    assert_eq!(key.read_token(299, &decode_hex(TOKEN)), Ok(token()));
}

#[test]
fn a_fingerprint_has_this_value() {
    assert_eq!(format!("{:016x}", fingerprint(br#"{"predicate":"c41e77d0"}"#)), "cfe38fa671dd1adb");
}
