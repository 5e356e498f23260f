//! Which settings are rejected, and with what text.

mod common;

use common::*;
use mallowgauge_router::*;

#[test]
fn settings_that_make_no_sense_are_rejected_with_the_field() {
    type Spoil = fn(&mut Settings);
    let cases: [(&str, Spoil); 5] = [
        ("classes", |s| s.classes.clear()),
        ("layout.cells", |s| s.layout.ring_positions = 0),
        ("classes[0].floor", |s| s.classes[0].minimum_completeness = 1.5),
        ("rules.cold_from", |s| s.rules.initial_capacity = -0.1),
        ("routers", |s| s.routers = 0),
    ];
    for (field, spoil) in cases {
        let mut s = safe();
        spoil(&mut s);
        assert_eq!(Router::new(1, s).expect_err(field).field, field);
    }
}
