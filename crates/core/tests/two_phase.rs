//! Plans checked against a brute-force model with random blocks, bounds, failures, arrival orders and times.
//! A response is never wrongly marked `exact`, and there is exactly one final action, the last one, before
//! the deadline. `PHASES_CASES` sets the number of cases (4,000 by default, 100,000 in `make test-phases`).

use std::collections::BTreeSet;

use mallowgauge_core::two_phase::{
    parse_rows, parse_sketch, BlockSelection, BlockSetup, MissingSketchPolicy, PartLoss, PhaseTimeEstimator,
    Plan, PlanAction, PlanSetup, PlanSpec, Ranked, Row, ScoutBudget, ScoutBudgetRule, Sketch, SketchCache,
    SketchCacheLimits, MAX_ROWS_PER_BLOCK,
};
use mallowgauge_router::{Micros, ShardId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Values of [`BlockModel::fetch`]: how the fetch of a block ends. With any smaller value its rows are
/// received.
const FETCH_NOT_EXECUTED: u8 = 8;
const FETCH_POSSIBLY_EXECUTED: u8 = 9;
const FETCH_NEVER_ENDS: u8 = 10;

#[derive(Clone, Debug)]
struct BlockModel {
    scores: Vec<u8>,
    /// How far the reported bound is above the highest score.
    slack: u8,
    /// Whether the scout reports the number of rows.
    reports_count: bool,
    scout_fails: bool,
    fetch: u8,
    /// The bound of an outdated cached sketch.
    stale_bound: Option<u8>,
}

#[derive(Clone, Debug)]
struct Case {
    blocks: Vec<BlockModel>,
    selection: u8,
    best: usize,
    row_limit: usize,
    wave_size: usize,
    skip: bool,
    has_effect: bool,
    minimum_completeness: f64,
    budget: u64,
    no_scouts: bool,
    /// For each step, which part in flight ends and after how many milliseconds.
    order: Vec<(u16, u16)>,
}

fn block() -> impl Strategy<Value = BlockModel> {
    (
        prop::collection::vec(0..40_u8, 0..6),
        0..6_u8,
        any::<bool>(),
        prop::bool::weighted(0.15),
        prop_oneof![
            6 => 0..FETCH_NOT_EXECUTED,
            1 => Just(FETCH_NOT_EXECUTED),
            1 => Just(FETCH_POSSIBLY_EXECUTED),
            1 => Just(FETCH_NEVER_ENDS)
        ],
        prop::option::weighted(0.1, 0..40_u8),
    )
        .prop_map(|(scores, slack, reports_count, scout_fails, fetch, stale_bound)| BlockModel {
            scores,
            slack,
            reports_count,
            scout_fails,
            fetch,
            stale_bound,
        })
}

fn case() -> impl Strategy<Value = Case> {
    (
        (prop::collection::vec(block(), 1..14), 0..4_u8, 1..5_usize, 1..6_usize, 1..5_usize),
        (any::<bool>(), prop::bool::weighted(0.2), prop_oneof![Just(1.0), Just(0.8), Just(0.0)]),
        (50..400_u64, prop::bool::weighted(0.1)),
        prop::collection::vec((any::<u16>(), 0..120_u16), 80),
    )
        .prop_map(
            |(
                (blocks, selection, best, row_limit, wave_size),
                (skip, has_effect, minimum_completeness),
                (budget_ms, no_scouts),
                order,
            )| Case {
                blocks,
                selection,
                best,
                row_limit,
                wave_size,
                skip,
                has_effect,
                minimum_completeness,
                budget: budget_ms * 1000,
                no_scouts,
                order,
            },
        )
}

fn rows_of(case: &Case, block: usize) -> Vec<Row> {
    let shard = ShardId(block as u32);
    let row = |(i, score): (usize, &u8)| {
        let id = format!("{block}-{i}");
        Row { score: f64::from(*score), id: id.as_str().into(), shard, text: "{}".into() }
    };
    case.blocks[block].scores.iter().enumerate().map(row).collect()
}

const OBJECTIVE: Micros = 1_000_000;
const DEADLINE: Micros = 2_000_000;

fn spec_of(case: &Case) -> PlanSpec {
    let selection = match case.selection {
        0 => BlockSelection::Best(case.best),
        1 => BlockSelection::Threshold,
        2 => BlockSelection::Share(0.6),
        _ => BlockSelection::All,
    };
    let missing_sketches = if case.skip { MissingSketchPolicy::Skip } else { MissingSketchPolicy::Fetch };
    PlanSpec { selection, row_limit: case.row_limit, wave_size: case.wave_size, missing_sketches }
}

fn setup_of(case: &Case) -> PlanSetup {
    let count = case.blocks.len();
    let stale =
        |b: &BlockModel| b.stale_bound.map(|bound| Sketch { bound: f64::from(bound), count: Some(0) });
    let block = |i: usize| BlockSetup {
        shard: ShardId(i as u32),
        weight: 1.0 / count as f64,
        cached_sketch: stale(&case.blocks[i]),
    };
    PlanSetup {
        blocks: (0..count).map(block).collect(),
        spec: spec_of(case),
        has_effect: case.has_effect,
        minimum_completeness: case.minimum_completeness,
        objective: OBJECTIVE,
        deadline: DEADLINE,
        budget: if case.no_scouts { ScoutBudget::NoScouts } else { ScoutBudget::Until(case.budget) },
        wave_time: 100_000,
    }
}

/// A part that is in flight.
#[derive(Clone, Copy)]
enum Sent {
    Scout(usize),
    Fetch(usize),
}

/// Executes a plan's actions and records them.
#[derive(Default)]
struct Model {
    scouts: BTreeSet<usize>,
    fetches: BTreeSet<usize>,
    ever_scouted: BTreeSet<usize>,
    ever_fetched: BTreeSet<usize>,
    /// Number of effects that were or may have been executed.
    possible_effects: u32,
    final_actions: Vec<PlanAction>,
}

impl Model {
    fn act(&mut self, case: &Case, action: PlanAction) -> Result<(), TestCaseError> {
        prop_assert!(self.final_actions.is_empty(), "an action after the final one: {:?}", action);
        match action {
            PlanAction::SendScouts(blocks) => {
                for block in blocks {
                    prop_assert!(self.ever_scouted.insert(block), "a scout sent twice");
                    self.scouts.insert(block);
                }
            }
            PlanAction::Fetch(blocks) => {
                prop_assert!(!blocks.is_empty() && (!case.has_effect || blocks.len() == 1));
                let may_repeat_effect = case.has_effect && self.possible_effects > 0;
                prop_assert!(!may_repeat_effect, "another fetch after a possible effect");
                for block in blocks {
                    prop_assert!(self.ever_fetched.insert(block), "a block fetched twice");
                    self.fetches.insert(block);
                }
            }
            PlanAction::CancelScouts(blocks) => self.scouts.retain(|b| !blocks.contains(b)),
            PlanAction::CancelFetches(blocks) => {
                for block in blocks {
                    prop_assert!(self.fetches.remove(&block));
                    self.possible_effects += 1;
                }
            }
            PlanAction::Respond(_) | PlanAction::GiveUp { .. } => self.final_actions.push(action),
        }
        Ok(())
    }

    /// Picks one of the parts in flight that will end.
    fn pick(&self, case: &Case, pick: u16) -> Option<Sent> {
        let scouts = self.scouts.iter().map(|&block| Sent::Scout(block));
        let ending = self.fetches.iter().filter(|&&block| case.blocks[block].fetch < FETCH_NEVER_ENDS);
        let sent: Vec<Sent> = scouts.chain(ending.map(|&block| Sent::Fetch(block))).collect();
        sent.get(usize::from(pick) % sent.len().max(1)).copied()
    }

    /// Ends a part as the case specifies.
    fn complete(&mut self, case: &Case, plan: &mut Plan, now: Micros, sent: Sent) -> Vec<PlanAction> {
        let block = match sent {
            Sent::Scout(block) => {
                self.scouts.remove(&block);
                return plan.scout_completed(now, block, report_of(&case.blocks[block]));
            }
            Sent::Fetch(block) => block,
        };
        self.fetches.remove(&block);
        match case.blocks[block].fetch {
            FETCH_NOT_EXECUTED => plan.fetch_completed(now, block, Err(PartLoss::NotExecuted)),
            FETCH_POSSIBLY_EXECUTED => {
                self.possible_effects += 1;
                plan.fetch_completed(now, block, Err(PartLoss::PossiblyExecuted))
            }
            _ if case.has_effect => {
                self.possible_effects += 1;
                plan.effect_completed(now, block, "effect".into())
            }
            _ => plan.fetch_completed(now, block, Ok(rows_of(case, block))),
        }
    }
}

fn report_of(model: &BlockModel) -> Result<Sketch, PartLoss> {
    if model.scout_fails {
        return Err(PartLoss::PossiblyExecuted);
    }
    let highest = model.scores.iter().max().copied().unwrap_or(0);
    Ok(Sketch {
        bound: f64::from(highest + model.slack),
        count: model.reports_count.then_some(model.scores.len() as u64),
    })
}

fn play(case: &Case) -> Result<(), TestCaseError> {
    let mut now = 0;
    let (mut plan, mut actions) = Plan::start(now, setup_of(case));
    let mut model = Model::default();
    let mut order = case.order.iter();
    loop {
        for action in std::mem::take(&mut actions) {
            model.act(case, action)?;
        }
        if plan.is_over() {
            break;
        }
        let due = plan.poll_timeout().expect("an open plan has a timeout");
        // The caller handles each timeout when it is due. After the last step, only the clock advances.
        let next = order.next().map(|&(pick, wait)| (pick, now + u64::from(wait) * 1000));
        let Some((pick, next)) = next.filter(|&(_, next)| next < due) else {
            now = now.max(due);
            actions = plan.handle_timeout(now);
            continue;
        };
        now = next;
        if let Some(sent) = model.pick(case, pick) {
            actions = model.complete(case, &mut plan, now, sent);
        }
    }
    prop_assert_eq!(model.final_actions.len(), 1, "one final action");
    prop_assert!(now <= DEADLINE, "before its deadline");
    // Later events have no effect.
    for block in 0..case.blocks.len() {
        prop_assert!(plan.scout_completed(now, block, Err(PartLoss::NotExecuted)).is_empty());
        prop_assert!(plan.fetch_completed(now, block, Ok(rows_of(case, block))).is_empty());
    }
    prop_assert!(plan.handle_timeout(DEADLINE + 1).is_empty() && plan.poll_timeout().is_none());
    match model.final_actions.pop() {
        Some(PlanAction::Respond(response)) => check_response(case, &model, &response),
        Some(PlanAction::GiveUp { possibly_executed }) => {
            prop_assert_eq!(possibly_executed, case.has_effect && model.possible_effects > 0);
            Ok(())
        }
        other => Err(TestCaseError::fail(format!("{other:?}"))),
    }
}

fn check_response(case: &Case, model: &Model, response: &Ranked) -> Result<(), TestCaseError> {
    let count = case.blocks.len();
    // Each block is in exactly one list, and the lists are correct.
    let lists = [&response.fetched, &response.pruned, &response.skipped, &response.failed];
    let mut all: Vec<u32> = lists.into_iter().flatten().map(|shard| shard.0).collect();
    all.sort_unstable();
    prop_assert_eq!(all, (0..count as u32).collect::<Vec<_>>());
    let received: BTreeSet<usize> = response.fetched.iter().map(|shard| shard.0 as usize).collect();
    prop_assert!(received.is_subset(&model.ever_fetched));
    prop_assert_eq!(response.complete, received.len() == count);
    if case.has_effect {
        prop_assert!(!response.exact || response.complete);
        prop_assert!(response.effect.is_some() && received.len() == 1);
        return Ok(());
    }
    // The rows are the best of those received.
    let best = |blocks: &mut dyn Iterator<Item = usize>| {
        let mut rows: Vec<Row> = blocks.flat_map(|block| rows_of(case, block)).collect();
        rows.sort_by(Row::order);
        rows.truncate(case.row_limit);
        rows
    };
    prop_assert_eq!(&response.rows, &best(&mut received.iter().copied()));
    if response.exact {
        prop_assert_eq!(&response.rows, &best(&mut (0..count)), "wrongly marked exact");
    }
    // Blocks that failed or were skipped for lack of time count against the class's minimum completeness.
    let counts = |shard: &&ShardId| !case.skip || model.ever_fetched.contains(&(shard.0 as usize));
    let wanted =
        response.fetched.len() + response.failed.len() + response.skipped.iter().filter(counts).count();
    let completeness = if wanted == 0 { 1.0 } else { response.fetched.len() as f64 / wanted as f64 };
    prop_assert!(
        case.skip || completeness >= case.minimum_completeness - 1e-6,
        "{completeness} is below {}",
        case.minimum_completeness
    );
    Ok(())
}

#[test]
fn a_plan_is_never_wrongly_exact_and_has_one_final_action() {
    let cases = std::env::var("PHASES_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(4_000);
    let config = ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    proptest!(config, |(case in case())| play(&case)?);
}

fn setup(bounds: &[f64], spec: PlanSpec) -> PlanSetup {
    let weight = 1.0 / bounds.len() as f64;
    PlanSetup {
        blocks: (0..bounds.len())
            .map(|i| BlockSetup { shard: ShardId(i as u32), weight, cached_sketch: None })
            .collect(),
        spec,
        has_effect: false,
        minimum_completeness: 1.0,
        objective: OBJECTIVE,
        deadline: DEADLINE,
        budget: ScoutBudget::Until(300_000),
        wave_time: 100_000,
    }
}

fn one_row(score: f64, block: usize) -> Vec<Row> {
    vec![Row { score, id: "x".into(), shard: ShardId(block as u32), text: "{}".into() }]
}

/// Completes all scouts at once, with these bounds.
fn complete_scouts(plan: &mut Plan, bounds: &[f64]) -> Vec<PlanAction> {
    let mut actions = Vec::new();
    for (i, &bound) in bounds.iter().enumerate() {
        actions.extend(plan.scout_completed(1_000, i, Ok(Sketch { bound, count: None })));
    }
    actions
}

#[test]
fn only_the_best_of_a_thousand_blocks_are_fetched() {
    let bounds: Vec<f64> = (0..1000).map(|i| f64::from((i * 7919) % 1000)).collect();
    let spec = PlanSpec {
        selection: BlockSelection::Best(3),
        row_limit: 10,
        wave_size: 4,
        missing_sketches: MissingSketchPolicy::Fetch,
    };
    let (mut plan, actions) = Plan::start(0, setup(&bounds, spec));
    assert!(matches!(&actions[..], [PlanAction::SendScouts(all)] if all.len() == 1000));
    let actions = complete_scouts(&mut plan, &bounds);
    let [PlanAction::Fetch(wave)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(wave.iter().map(|&i| bounds[i]).collect::<Vec<_>>(), [999.0, 998.0, 997.0]);
    let wave = wave.clone();
    let mut final_actions = Vec::new();
    for block in wave {
        final_actions = plan.fetch_completed(2_000, block, Ok(one_row(bounds[block], block)));
    }
    let [PlanAction::Respond(response)] = &final_actions[..] else { panic!("{final_actions:?}") };
    assert_eq!(
        (response.fetched.len(), response.pruned.len(), response.complete, response.exact),
        (3, 997, false, false)
    );
}

#[test]
fn each_wave_raises_the_threshold() {
    let bounds = [10.0, 9.0, 8.0, 7.0, 3.0, 2.0];
    let spec = PlanSpec {
        selection: BlockSelection::Threshold,
        row_limit: 2,
        wave_size: 2,
        missing_sketches: MissingSketchPolicy::Fetch,
    };
    let (mut plan, _) = Plan::start(0, setup(&bounds, spec));
    assert_eq!(complete_scouts(&mut plan, &bounds), [PlanAction::Fetch(vec![0, 1])]);
    assert!(plan.fetch_completed(2_000, 0, Ok(one_row(5.0, 0))).is_empty());
    assert_eq!(plan.fetch_completed(2_000, 1, Ok(one_row(4.0, 1))), [PlanAction::Fetch(vec![2, 3])]);
    assert!(plan.fetch_completed(3_000, 2, Ok(one_row(6.0, 2))).is_empty());
    let actions = plan.fetch_completed(3_000, 3, Ok(one_row(1.0, 3)));
    let [PlanAction::Respond(response)] = &actions[..] else { panic!("{actions:?}") };
    // The two remaining blocks have the bounds 3 and 2, below the second best row's score of 5.
    assert!(response.exact && !response.complete);
    assert_eq!(response.rows.iter().map(|r| r.score).collect::<Vec<_>>(), [6.0, 5.0]);
    assert_eq!(response.pruned, [ShardId(4), ShardId(5)]);
}

#[test]
fn a_contradicted_sketch_disables_pruning() {
    let bounds = [10.0, 2.0];
    let spec = PlanSpec {
        selection: BlockSelection::Threshold,
        row_limit: 1,
        wave_size: 1,
        missing_sketches: MissingSketchPolicy::Fetch,
    };
    let (mut plan, _) = Plan::start(0, setup(&bounds, spec));
    complete_scouts(&mut plan, &bounds);
    // A score above the block's bound: no bound is trusted any more, and the remaining block is fetched.
    assert_eq!(plan.fetch_completed(2_000, 0, Ok(one_row(11.0, 0))), [PlanAction::Fetch(vec![1])]);
}

#[test]
fn a_non_idempotent_query_is_sent_to_the_next_block_only_if_not_executed() {
    let bounds = [3.0, 2.0, 1.0];
    let spec = PlanSpec {
        selection: BlockSelection::Best(2),
        row_limit: 1,
        wave_size: 4,
        missing_sketches: MissingSketchPolicy::Fetch,
    };
    let setup = PlanSetup { has_effect: true, ..setup(&bounds, spec) };
    let (mut plan, _) = Plan::start(0, setup.clone());
    assert_eq!(complete_scouts(&mut plan, &bounds), [PlanAction::Fetch(vec![0])]);
    assert_eq!(plan.fetch_completed(2_000, 0, Err(PartLoss::NotExecuted)), [PlanAction::Fetch(vec![1])]);
    assert_eq!(
        plan.fetch_completed(3_000, 1, Err(PartLoss::NotExecuted)),
        [PlanAction::GiveUp { possibly_executed: false }]
    );
    let (mut plan, _) = Plan::start(0, setup);
    complete_scouts(&mut plan, &bounds);
    assert_eq!(
        plan.fetch_completed(2_000, 0, Err(PartLoss::PossiblyExecuted)),
        [PlanAction::GiveUp { possibly_executed: true }]
    );
}

#[test]
fn slow_scouts_are_cancelled_at_their_budget_and_timeouts_may_coincide() {
    let bounds = [5.0, 4.0, 3.0];
    for (missing_sketches, fetch) in
        [(MissingSketchPolicy::Fetch, vec![1, 2, 0]), (MissingSketchPolicy::Skip, vec![0])]
    {
        let spec =
            PlanSpec { selection: BlockSelection::Threshold, row_limit: 1, wave_size: 9, missing_sketches };
        let (mut plan, _) = Plan::start(0, setup(&bounds, spec));
        assert!(plan.scout_completed(1_000, 0, Ok(Sketch { bound: 5.0, count: None })).is_empty());
        assert_eq!(plan.poll_timeout(), Some(300_000));
        let actions = plan.handle_timeout(300_000);
        // Guards against budgets that raise the estimate: only the time of scouts that reported is recorded,
        // not the wait for those that did not.
        assert_eq!(plan.take_phase_times().scouts, Some(1_000));
        assert_eq!(actions, [PlanAction::CancelScouts(vec![1, 2]), PlanAction::Fetch(fetch)]);
    }
    // The deadline and the end of the scouts' budget are handled in the same call.
    let spec = PlanSpec {
        selection: BlockSelection::Threshold,
        row_limit: 1,
        wave_size: 9,
        missing_sketches: MissingSketchPolicy::Fetch,
    };
    let (mut plan, _) = Plan::start(0, setup(&bounds, spec));
    let actions = plan.handle_timeout(2_000_000);
    assert!(
        matches!(
            &actions[..],
            [
                PlanAction::CancelScouts(_),
                PlanAction::Fetch(_),
                PlanAction::CancelFetches(_),
                PlanAction::GiveUp { possibly_executed: false }
            ]
        ),
        "{actions:?}"
    );
}

#[test]
fn sketches_are_bounded_expire_and_are_invalidated() {
    let mut sketches = SketchCache::new(SketchCacheLimits { entries: 3, age: 100 });
    let sketch = |bound| Sketch { bound, count: None };
    for shard in 0..5_u32 {
        sketches.insert(u64::from(shard), 7, ShardId(shard), sketch(f64::from(shard)));
    }
    assert_eq!((sketches.count(), sketches.get(5, 7, ShardId(1))), (3, None));
    assert_eq!(sketches.get(5, 7, ShardId(4)), Some(sketch(4.0)));
    assert_eq!(sketches.get(5, 8, ShardId(4)), None);
    assert_eq!(sketches.get(104, 7, ShardId(4)), None);
    sketches.insert(10, 7, ShardId(4), sketch(9.0));
    assert_eq!((sketches.count(), sketches.get(105, 7, ShardId(4))), (3, Some(sketch(9.0))));
    sketches.invalidate(|shard| shard.0 == 4);
    assert_eq!((sketches.count(), sketches.get(11, 7, ShardId(4))), (2, None));
}

#[test]
fn malformed_values_are_rejected_as_sketches_and_rows() {
    assert_eq!(parse_sketch(r#"{"bound": 2.5, "count": 3}"#), Ok(Sketch { bound: 2.5, count: Some(3) }));
    for malformed in [
        "",
        "{}",
        r#"{"bound": "high"}"#,
        r#"{"bound": null}"#,
        r#"{"bound": 1e999}"#,
        r#"{"bound": 1, "count": -1}"#,
    ] {
        assert!(parse_sketch(malformed).is_err(), "{malformed}");
    }
    assert!(parse_sketch(&format!(r#"{{"bound": 1, "x": "{}"}}"#, "y".repeat(2000))).is_err());
    assert_eq!(parse_rows(ShardId(3), r#"[{"score": 1, "id": "a"}]"#).map(|r| r.len()), Ok(1));
    for malformed in ["{}", "[1]", r#"[{"score": "x", "id": "a"}]"#, r#"[{"score": 1}]"#] {
        assert!(parse_rows(ShardId(3), malformed).is_err(), "{malformed}");
    }
    let many = vec![r#"{"score": 1, "id": "a"}"#; MAX_ROWS_PER_BLOCK + 1].join(",");
    assert!(parse_rows(ShardId(3), &format!("[{many}]")).is_err());
}

#[test]
fn scouts_get_their_expected_time_within_what_waves_leave() {
    let mut times = PhaseTimeEstimator::new(ScoutBudgetRule::Learned);
    // Without observations: fractions of the objective.
    assert_eq!(times.budget(0, 1_000_000, 1_000_000, 1), ScoutBudget::Until(300_000));
    for _ in 0..100 {
        times.record_scouts(20_000);
        times.record_wave(100_000);
    }
    let near = |budget: ScoutBudget, at: Micros| match budget {
        ScoutBudget::Until(until) => until.abs_diff(at) < at / 50,
        ScoutBudget::NoScouts => false,
    };
    assert!(near(times.budget(0, 1_000_000, 1_000_000, 1), 40_000));
    assert!(near(times.budget(0, 1_000_000, 130_000, 1), 30_000));
    assert_eq!(times.budget(0, 1_000_000, 105_000, 1), ScoutBudget::NoScouts);
    assert!(times.wave_fits(1_000_000, 110_000) && !times.wave_fits(1_000_000, 90_000));
    // The estimate follows a change.
    for _ in 0..3_000 {
        times.record_scouts(200_000);
    }
    assert!(near(times.budget(0, 1_000_000, 1_000_000, 1), 400_000));
}

#[test]
fn fixed_rules_divide_the_remaining_time() {
    assert_eq!(
        PhaseTimeEstimator::new(ScoutBudgetRule::Half).budget(10, 1_000, 400, 3),
        ScoutBudget::Until(210)
    );
    assert_eq!(
        PhaseTimeEstimator::new(ScoutBudgetRule::Share(0.25)).budget(10, 1_000, 400, 3),
        ScoutBudget::Until(110)
    );
}
