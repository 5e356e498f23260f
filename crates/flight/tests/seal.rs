//! Tickets are trusted only whole, in time and under their key; passwords only with their own line.

use bytes::Bytes;
use mallowgauge_flight::seal::{
    is_valid_password_entry, password_entry, verify_password, Key, SealError, Ticket,
};

#[test]
fn a_ticket_survives_a_copy_with_the_same_key_and_no_change() {
    let (key, copy, other) = (Key::new(b"one secret"), Key::new(b"one secret"), Key::new(b"another"));
    let command = Bytes::from_static(b"{}");
    let ticket = Ticket { command, issued_at: 5, expires: 100, user: "ann".into(), issuer: 9, polled: false };
    let sealed = key.sign_ticket(&ticket);
    assert_eq!(copy.read_ticket(99, &sealed), Ok(ticket));
    assert_eq!(copy.read_ticket(100, &sealed), Err(SealError::Expired));
    assert_eq!(other.read_ticket(99, &sealed), Err(SealError::Forged));
    // What was signed as a ticket is no token.
    assert_eq!(copy.read_token(99, &sealed), Err(SealError::Forged));
    for at in 0..sealed.len() {
        let mut changed = sealed.to_vec();
        changed[at] ^= 1;
        assert_eq!(copy.read_ticket(99, &changed), Err(SealError::Forged), "byte {at}");
        assert_eq!(copy.read_ticket(99, &sealed[..at]), Err(SealError::Forged), "cut at {at}");
    }
}

#[test]
fn passwords_fit_their_own_line_only() {
    let line = password_entry("wheat", b"salt", 1000);
    // From RFC 7914, section 11, with the first 32 bytes of its result.
    assert_eq!(
        password_entry("passwd", b"salt", 1),
        "pbkdf2-sha256$1$73616c74$55ac046e56e3089fec1691c22544b605f94185216dde0465e68b9d57c20dacbc"
    );
    assert!(verify_password(&line, "wheat"));
    assert!(!verify_password(&line, "oats"));
    for bad in ["", "plain", "pbkdf2-sha256$0$00$00", "pbkdf2-sha256$1$0$00", "pbkdf2-sha256$9999999$00$00"] {
        assert!(!is_valid_password_entry(bad) && !verify_password(bad, ""), "{bad}");
    }
}
