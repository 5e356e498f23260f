//! Validation of settings. Operators see the errors in one-line messages about a bad configuration, with the
//! field names of the deployment's files.

mod common;

use common::*;
use mallowgauge_router::*;

#[test]
fn invalid_settings_are_rejected_with_the_field() {
    type MakeInvalid = fn(&mut Settings);
    let cases: [(&str, MakeInvalid); 5] = [
        ("classes", |s| s.classes.clear()),
        ("layout.cells", |s| s.layout.ring_positions = 0),
        ("classes[0].floor", |s| s.classes[0].minimum_completeness = 1.5),
        ("rules.cold_from", |s| s.rules.initial_capacity = -0.1),
        ("routers", |s| s.routers = 0),
    ];
    for (field, make_invalid) in cases {
        let mut s = idempotent_settings();
        make_invalid(&mut s);
        assert_eq!(Router::new(1, s).expect_err(field).field.to_string(), field);
    }
}

/// Guards the error texts for operators: each field has its name from the deployment's files, and each
/// problem its fixed text.
#[test]
fn each_error_keeps_its_text() {
    type MakeInvalid = fn(&mut Settings);
    fn budget(s: &mut Settings) -> &mut RetryBudgetSettings {
        let budget = RetryBudgetSettings { min_retries: 1.0, retry_ratio: 0.1, window: SECOND };
        s.rules.retry_budget.insert(budget)
    }
    let cases: [(&str, MakeInvalid); 18] = [
        ("setting routers is zero", |s| s.routers = 0),
        ("setting classes is empty", |s| s.classes.clear()),
        ("setting layout.cells is zero", |s| s.layout.ring_positions = 0),
        ("setting layout.reach is zero", |s| s.layout.replication_factor = 0),
        ("setting layout.parts_per_call is zero", |s| s.layout.parts_per_call = 0),
        ("setting limits.max_attempts is zero", |s| s.limits.max_attempts = 0),
        ("setting rules.cold_from lies outside 0 to 1", |s| s.rules.initial_capacity = 1.1),
        ("setting rules.tip_multiple is not above zero", |s| s.rules.overload_multiple = 0.0),
        ("setting rules.budget.free is negative", |s| budget(s).min_retries = -1.0),
        ("setting rules.budget.share is negative", |s| budget(s).retry_ratio = -1.0),
        ("setting rules.budget.window is zero", |s| budget(s).window = 0),
        ("setting classes[0].aim is zero", |s| s.classes[0].latency_objective = 0),
        ("setting classes[0].aim lies beyond the deadline", |s| s.classes[0].deadline = 1),
        ("setting classes[0].need lies outside 0 to 1", |s| s.classes[0].required_completeness = 2.0),
        ("setting classes[0].floor lies above the need", |s| s.classes[0].required_completeness = 0.5),
        ("setting classes[0].late_worth lies outside 0 to 1", |s| s.classes[0].late_value = -0.5),
        ("setting classes[0].partial_worth lies outside 0 to 1", |s| s.classes[0].partial_value = f64::NAN),
        ("setting classes[0].aim_stretch is not a share", |s| {
            s.classes[0].objective_per_work = f64::INFINITY
        }),
    ];
    for (text, make_invalid) in cases {
        let mut s = idempotent_settings();
        make_invalid(&mut s);
        assert_eq!(Router::new(1, s).expect_err(text).to_string(), text);
    }
}
