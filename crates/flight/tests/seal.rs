//! Verification of signed tickets and of passwords.

use bytes::Bytes;
use mallowgauge_flight::seal::{
    is_valid_password_entry, password_entry, verify_password, Key, SealError, Ticket,
};

#[test]
fn a_ticket_is_accepted_only_unmodified_unexpired_and_with_the_same_key() {
    let (key, same_key, other_key) = (Key::new(b"one secret"), Key::new(b"one secret"), Key::new(b"another"));
    let command = Bytes::from_static(b"{}");
    let ticket = Ticket { command, issued_at: 5, expires: 100, user: "ann".into(), issuer: 9, polled: false };
    let sealed = key.sign_ticket(&ticket);
    assert_eq!(same_key.read_ticket(99, &sealed), Ok(ticket));
    assert_eq!(same_key.read_ticket(100, &sealed), Err(SealError::Expired));
    assert_eq!(other_key.read_ticket(99, &sealed), Err(SealError::Forged));
    // A signed ticket is not accepted as a token.
    assert_eq!(same_key.read_token(99, &sealed), Err(SealError::Forged));
    for at in 0..sealed.len() {
        let mut changed = sealed.to_vec();
        changed[at] ^= 1;
        assert_eq!(same_key.read_ticket(99, &changed), Err(SealError::Forged), "byte {at}");
        assert_eq!(same_key.read_ticket(99, &sealed[..at]), Err(SealError::Forged), "cut at {at}");
    }
}

#[test]
fn a_password_matches_only_its_own_entry() {
    let entry = password_entry("wheat", b"salt", 1000);
    // Test vector from RFC 7914, section 11, truncated to the first 32 bytes.
    assert_eq!(
        password_entry("passwd", b"salt", 1),
        "pbkdf2-sha256$1$73616c74$55ac046e56e3089fec1691c22544b605f94185216dde0465e68b9d57c20dacbc"
    );
    assert!(verify_password(&entry, "wheat"));
    assert!(!verify_password(&entry, "oats"));
    for invalid in
        ["", "plain", "pbkdf2-sha256$0$00$00", "pbkdf2-sha256$1$0$00", "pbkdf2-sha256$9999999$00$00"]
    {
        assert!(!is_valid_password_entry(invalid) && !verify_password(invalid, ""), "{invalid}");
    }
}
