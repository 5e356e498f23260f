//! Requests that are rejected before they reach the router, with the error text that clients get.

mod common;

use mallowgauge_core::two_phase::{
    BlockSelection, MissingSketchPolicy, PlanSpec, ScoutBudgetRule, SketchCacheLimits,
};
use mallowgauge_core::{
    Core, CoreLimits, Failure, PartRequest, PlanRequest, QueryRequest, QueryResponse, ResponseHandle,
    TwoPhaseSettings, ValidationError,
};
use mallowgauge_router::{Idempotency, ShardId};

use common::request;

const SHARDS: u32 = 4;
const SPEC: PlanSpec = PlanSpec {
    selection: BlockSelection::Threshold,
    row_limit: 10,
    wave_size: 4,
    missing_sketches: MissingSketchPolicy::Fetch,
};

fn core(idempotency: Idempotency) -> Core {
    let settings = common::settings(vec![common::class(idempotency)]);
    let limits = CoreLimits { max_open: 100, shards: SHARDS };
    Core::new(7, settings, vec!["search".to_owned()], limits).expect("valid settings")
}

fn with_parts(parts: &[(u32, f64)]) -> QueryRequest {
    let part = |&(shard, weight): &(u32, f64)| PartRequest { shard: ShardId(shard), weight };
    QueryRequest { parts: parts.iter().map(part).collect(), ..request("a") }
}

fn with_plan(spec: PlanSpec) -> QueryRequest {
    let scout = b"scout".as_slice().into();
    QueryRequest { plan: Some(PlanRequest { spec, scout }), ..request("a") }
}

/// Submits an invalid request and checks the error and its text.
fn assert_rejected(core: &mut Core, request: QueryRequest, error: ValidationError, text: &str) {
    let open = core.open_queries();
    let response = core.submit(0, ResponseHandle::Http(9), request);
    assert_eq!(response, Err(QueryResponse::Failed(Failure::Invalid(error))));
    assert_eq!((error.message(), error.to_string().as_str()), (text, text));
    assert_eq!(core.open_queries(), open);
}

#[test]
fn parts_need_distinct_shards_and_weights_that_add_up_to_one() {
    let mut core = core(Idempotency::Idempotent);
    assert_rejected(&mut core, with_parts(&[]), ValidationError::NoParts, "a query needs a part");
    let unknown = ValidationError::UnknownShard;
    assert_rejected(&mut core, with_parts(&[(SHARDS, 1.0)]), unknown, "there is no such shard");
    let duplicate = ValidationError::DuplicateShard;
    assert_rejected(&mut core, with_parts(&[(1, 0.5), (1, 0.5)]), duplicate, "a shard is named twice");
    for weights in [(0.5, 0.4), (0.6, 0.5), (1.0, 0.0), (1.5, -0.5), (f64::NAN, 0.5), (f64::INFINITY, 0.5)] {
        let parts = with_parts(&[(0, weights.0), (1, weights.1)]);
        let text = "the shares of the parts do not add up to 1";
        assert_rejected(&mut core, parts, ValidationError::InvalidWeights, text);
    }
    // Rounding is tolerated.
    let parts = with_parts(&[(0, 0.333), (1, 0.333), (2, 0.333)]);
    assert_eq!(core.submit(0, ResponseHandle::Http(1), parts), Ok(()));
}

#[test]
fn plans_are_validated_if_two_phase_queries_are_enabled() {
    let mut core = core(Idempotency::Idempotent);
    let disabled = "queries in two phases are not taken here";
    assert_rejected(&mut core, with_plan(SPEC), ValidationError::TwoPhaseDisabled, disabled);
    let sketches = SketchCacheLimits { entries: 0, age: 0 };
    core.enable_two_phase(TwoPhaseSettings { rule: ScoutBudgetRule::Learned, sketches });
    let out_of_range = [
        PlanSpec { selection: BlockSelection::Best(0), ..SPEC },
        PlanSpec { selection: BlockSelection::Share(1.1), ..SPEC },
        PlanSpec { selection: BlockSelection::Share(f64::NAN), ..SPEC },
        PlanSpec { row_limit: 0, ..SPEC },
        PlanSpec { row_limit: 1001, ..SPEC },
        PlanSpec { wave_size: 0, ..SPEC },
        PlanSpec { wave_size: 1001, ..SPEC },
    ];
    for spec in out_of_range {
        assert_rejected(&mut core, with_plan(spec), ValidationError::InvalidPlan, "the plan makes no sense");
    }
    let largest =
        PlanSpec { selection: BlockSelection::Share(1.0), row_limit: 1000, wave_size: 1000, ..SPEC };
    assert_eq!(core.submit(0, ResponseHandle::Http(1), with_plan(largest)), Ok(()));
}

#[test]
fn an_id_in_use_is_rejected_unless_the_same_request_may_be_coalesced() {
    let mut idempotent = core(Idempotency::Idempotent);
    assert_eq!(idempotent.submit(0, ResponseHandle::Http(1), request("a")), Ok(()));
    let in_use = "a query of this id is open";
    assert_rejected(&mut idempotent, request("a"), ValidationError::IdInUse, in_use);

    let mut non_idempotent = core(Idempotency::NonIdempotent);
    non_idempotent.require_permits();
    assert_eq!(non_idempotent.submit(0, ResponseHandle::Http(1), request("a")), Ok(()));
    let other_body = QueryRequest { body: b"other".as_slice().into(), ..request("a") };
    let different = ValidationError::IdInUseWithDifferentBody;
    assert_rejected(
        &mut non_idempotent,
        other_body,
        different,
        "a query of this id with another body is open",
    );
    // Up to 16 more clients may wait for the same outcome.
    for waiter in 2..18 {
        assert_eq!(non_idempotent.submit(0, ResponseHandle::Http(waiter), request("a")), Ok(()));
    }
    let full = non_idempotent.submit(0, ResponseHandle::Http(18), request("a"));
    assert!(matches!(full, Err(QueryResponse::Rejected { not_executed: false, .. })), "{full:?}");
    assert_eq!(non_idempotent.release_query("a").len(), 17);
}

// Guards the error texts that only other crates send.
#[test]
fn error_texts_about_replicated_records_are_unchanged() {
    let different = ValidationError::IdReplicatedWithDifferentBody;
    assert_eq!(different.message(), "this id was asked with another body");
    let too_large = ValidationError::TooLargeToReplicate;
    assert_eq!(too_large.message(), "more is asked than other gatherers keep");
}
