//! Plans against a brute-force model: random blocks, bounds, failures, orders of arrival and times. `exact` is
//! never claimed wrongly, there is one final action and nothing behind it, and it comes before the deadline.
//! `PHASES_CASES` sets how many cases are played (a few thousand here, 100,000 by `make test-phases`).

use std::collections::BTreeSet;

use mallowgauge_core::two_phase::{
    parse_rows, parse_sketch, BlockSelection, BlockSetup, MissingSketchPolicy, PartLoss, PhaseTimeEstimator,
    Plan, PlanAction, PlanSetup, PlanSpec, Ranked, Row, ScoutBudget, ScoutBudgetRule, Sketch, SketchCache,
    SketchCacheLimits, MAX_ROWS_PER_BLOCK,
};
use mallowgauge_router::{Micros, ShardId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
struct BlockModel {
    scores: Vec<u8>,
    slack: u8,
    counts: bool,
    scout_fails: bool,
    fetch: u8, // 0 to 7: in; 8: not executed; 9: possibly executed; 10: never ends
    stale: Option<u8>,
}

#[derive(Clone, Debug)]
struct Case {
    blocks: Vec<BlockModel>,
    choose: u8,
    k: usize,
    top: usize,
    wave: usize,
    skip: bool,
    effect: bool,
    floor: f64,
    budget: u64,
    blind: bool,
    order: Vec<(u16, u16)>,
}

fn block() -> impl Strategy<Value = BlockModel> {
    (
        prop::collection::vec(0..40_u8, 0..6),
        0..6_u8,
        any::<bool>(),
        prop::bool::weighted(0.15),
        prop_oneof![6 => 0..8_u8, 1 => Just(8_u8), 1 => Just(9), 1 => Just(10)],
        prop::option::weighted(0.1, 0..40_u8),
    )
        .prop_map(|(scores, slack, counts, scout_fails, fetch, stale)| BlockModel {
            scores,
            slack,
            counts,
            scout_fails,
            fetch,
            stale,
        })
}

fn case() -> impl Strategy<Value = Case> {
    (
        (prop::collection::vec(block(), 1..14), 0..4_u8, 1..5_usize, 1..6_usize, 1..5_usize),
        (any::<bool>(), prop::bool::weighted(0.2), prop_oneof![Just(1.0), Just(0.8), Just(0.0)]),
        (50..400_u64, prop::bool::weighted(0.1)),
        prop::collection::vec((any::<u16>(), 0..120_u16), 80),
    )
        .prop_map(|((blocks, choose, k, top, wave), (skip, effect, floor), (budget, blind), order)| {
            Case { blocks, choose, k, top, wave, skip, effect, floor, budget: budget * 1000, blind, order }
        })
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
    let selection = match case.choose {
        0 => BlockSelection::Best(case.k),
        1 => BlockSelection::Threshold,
        2 => BlockSelection::Share(0.6),
        _ => BlockSelection::All,
    };
    let missing_sketches = if case.skip { MissingSketchPolicy::Skip } else { MissingSketchPolicy::Fetch };
    PlanSpec { selection, row_limit: case.top, wave_size: case.wave, missing_sketches }
}

fn setup_of(case: &Case) -> PlanSetup {
    let count = case.blocks.len();
    let stale = |b: &BlockModel| b.stale.map(|bound| Sketch { bound: f64::from(bound), count: Some(0) });
    let block = |i: usize| BlockSetup {
        shard: ShardId(i as u32),
        weight: 1.0 / count as f64,
        known: stale(&case.blocks[i]),
    };
    PlanSetup {
        blocks: (0..count).map(block).collect(),
        spec: spec_of(case),
        has_effect: case.effect,
        minimum_completeness: case.floor,
        objective: OBJECTIVE,
        deadline: DEADLINE,
        budget: if case.blind { ScoutBudget::NoScouts } else { ScoutBudget::Until(case.budget) },
        wave_time: 100_000,
    }
}

/// A part that is in flight.
#[derive(Clone, Copy)]
enum Sent {
    Scout(usize),
    Fetch(usize),
}

/// What carries out a plan's actions, and remembers them.
#[derive(Default)]
struct Model {
    scouts: BTreeSet<usize>,
    fetches: BTreeSet<usize>,
    ever_scouted: BTreeSet<usize>,
    ever_fetched: BTreeSet<usize>,
    /// Effects that were had or may have been.
    effects: u32,
    final_actions: Vec<PlanAction>,
}

impl Model {
    fn act(&mut self, case: &Case, action: PlanAction) -> Result<(), TestCaseError> {
        prop_assert!(self.final_actions.is_empty(), "something behind the final action: {:?}", action);
        match action {
            PlanAction::SendScouts(blocks) => {
                for block in blocks {
                    prop_assert!(self.ever_scouted.insert(block), "a scout sent twice");
                    self.scouts.insert(block);
                }
            }
            PlanAction::Fetch(blocks) => {
                prop_assert!(!blocks.is_empty() && (!case.effect || blocks.len() == 1));
                let goes_on = case.effect && self.effects > 0;
                prop_assert!(!goes_on, "fetched on though an effect may have been had");
                for block in blocks {
                    prop_assert!(self.ever_fetched.insert(block), "a block fetched twice");
                    self.fetches.insert(block);
                }
            }
            PlanAction::CancelScouts(blocks) => self.scouts.retain(|b| !blocks.contains(b)),
            PlanAction::CancelFetches(blocks) => {
                for block in blocks {
                    prop_assert!(self.fetches.remove(&block));
                    self.effects += 1;
                }
            }
            PlanAction::Respond(_) | PlanAction::GiveUp { .. } => self.final_actions.push(action),
        }
        Ok(())
    }

    /// One of the parts in flight that end one day.
    fn pick(&self, case: &Case, pick: u16) -> Option<Sent> {
        let scouts = self.scouts.iter().map(|&block| Sent::Scout(block));
        let ending = self.fetches.iter().filter(|&&block| case.blocks[block].fetch < 10);
        let sent: Vec<Sent> = scouts.chain(ending.map(|&block| Sent::Fetch(block))).collect();
        sent.get(usize::from(pick) % sent.len().max(1)).copied()
    }

    /// Ends a part as the case says.
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
            8 => plan.fetch_completed(now, block, Err(PartLoss::NotExecuted)),
            9 => {
                self.effects += 1;
                plan.fetch_completed(now, block, Err(PartLoss::PossiblyExecuted))
            }
            _ if case.effect => {
                self.effects += 1;
                plan.effect_completed(now, block, "held".into())
            }
            _ => plan.fetch_completed(now, block, Ok(rows_of(case, block))),
        }
    }
}

fn report_of(model: &BlockModel) -> Result<Sketch, PartLoss> {
    if model.scout_fails {
        return Err(PartLoss::PossiblyExecuted);
    }
    let top = model.scores.iter().max().copied().unwrap_or(0);
    Ok(Sketch {
        bound: f64::from(top + model.slack),
        count: model.counts.then_some(model.scores.len() as u64),
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
        let due = plan.poll_timeout().expect("an open plan has a time-out");
        // The caller handles each time-out when it is due. Once nothing more comes, only the clock goes on.
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
    // Whatever comes behind it changes nothing.
    for block in 0..case.blocks.len() {
        prop_assert!(plan.scout_completed(now, block, Err(PartLoss::NotExecuted)).is_empty());
        prop_assert!(plan.fetch_completed(now, block, Ok(rows_of(case, block))).is_empty());
    }
    prop_assert!(plan.handle_timeout(DEADLINE + 1).is_empty() && plan.poll_timeout().is_none());
    match model.final_actions.pop() {
        Some(PlanAction::Respond(response)) => check_response(case, &model, &response),
        Some(PlanAction::GiveUp { effect_possible }) => {
            prop_assert_eq!(effect_possible, case.effect && model.effects > 0);
            Ok(())
        }
        other => Err(TestCaseError::fail(format!("{other:?}"))),
    }
}

fn check_response(case: &Case, model: &Model, response: &Ranked) -> Result<(), TestCaseError> {
    let count = case.blocks.len();
    // Each block is in one list, and the lists tell the truth.
    let lists = [&response.fetched, &response.pruned, &response.skipped, &response.failed];
    let mut all: Vec<u32> = lists.into_iter().flatten().map(|shard| shard.0).collect();
    all.sort_unstable();
    prop_assert_eq!(all, (0..count as u32).collect::<Vec<_>>());
    let received: BTreeSet<usize> = response.fetched.iter().map(|shard| shard.0 as usize).collect();
    prop_assert!(received.is_subset(&model.ever_fetched));
    prop_assert_eq!(response.complete, received.len() == count);
    if case.effect {
        prop_assert!(!response.exact || response.complete);
        prop_assert!(response.effect.is_some() && received.len() == 1);
        return Ok(());
    }
    // The rows are the best of what was received.
    let best = |of: &mut dyn Iterator<Item = usize>| {
        let mut rows: Vec<Row> = of.flat_map(|block| rows_of(case, block)).collect();
        rows.sort_by(Row::order);
        rows.truncate(case.top);
        rows
    };
    prop_assert_eq!(&response.rows, &best(&mut received.iter().copied()));
    if response.exact {
        prop_assert_eq!(&response.rows, &best(&mut (0..count)), "exact, and it is not");
    }
    // What failed or had no time counts against the class's minimum completeness.
    let counts = |shard: &&ShardId| !case.skip || model.ever_fetched.contains(&(shard.0 as usize));
    let wanted =
        response.fetched.len() + response.failed.len() + response.skipped.iter().filter(counts).count();
    let share = if wanted == 0 { 1.0 } else { response.fetched.len() as f64 / wanted as f64 };
    prop_assert!(case.skip || share >= case.floor - 1e-6, "{share} under {}", case.floor);
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
            .map(|i| BlockSetup { shard: ShardId(i as u32), weight, known: None })
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

fn one(score: f64, block: usize) -> Vec<Row> {
    vec![Row { score, id: "x".into(), shard: ShardId(block as u32), text: "{}".into() }]
}

/// Has all scouts say these bounds at once.
fn scouted(plan: &mut Plan, bounds: &[f64]) -> Vec<PlanAction> {
    let mut actions = Vec::new();
    for (i, &bound) in bounds.iter().enumerate() {
        actions.extend(plan.scout_completed(1_000, i, Ok(Sketch { bound, count: None })));
    }
    actions
}

#[test]
fn of_a_thousand_blocks_a_few_are_fetched() {
    let bounds: Vec<f64> = (0..1000).map(|i| f64::from((i * 7919) % 1000)).collect();
    let spec = PlanSpec {
        selection: BlockSelection::Best(3),
        row_limit: 10,
        wave_size: 4,
        missing_sketches: MissingSketchPolicy::Fetch,
    };
    let (mut plan, actions) = Plan::start(0, setup(&bounds, spec));
    assert!(matches!(&actions[..], [PlanAction::SendScouts(all)] if all.len() == 1000));
    let actions = scouted(&mut plan, &bounds);
    let [PlanAction::Fetch(wave)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(wave.iter().map(|&i| bounds[i]).collect::<Vec<_>>(), [999.0, 998.0, 997.0]);
    let wave = wave.clone();
    let mut last = Vec::new();
    for block in wave {
        last = plan.fetch_completed(2_000, block, Ok(one(bounds[block], block)));
    }
    let [PlanAction::Respond(answer)] = &last[..] else { panic!("{last:?}") };
    assert_eq!(
        (answer.fetched.len(), answer.pruned.len(), answer.complete, answer.exact),
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
    assert_eq!(scouted(&mut plan, &bounds), [PlanAction::Fetch(vec![0, 1])]);
    assert!(plan.fetch_completed(2_000, 0, Ok(one(5.0, 0))).is_empty());
    assert_eq!(plan.fetch_completed(2_000, 1, Ok(one(4.0, 1))), [PlanAction::Fetch(vec![2, 3])]);
    assert!(plan.fetch_completed(3_000, 2, Ok(one(6.0, 2))).is_empty());
    let actions = plan.fetch_completed(3_000, 3, Ok(one(1.0, 3)));
    let [PlanAction::Respond(answer)] = &actions[..] else { panic!("{actions:?}") };
    // The two that are left are bounded by 3 and 2, under the second best row of 5.
    assert!(answer.exact && !answer.complete);
    assert_eq!(answer.rows.iter().map(|r| r.score).collect::<Vec<_>>(), [6.0, 5.0]);
    assert_eq!(answer.pruned, [ShardId(4), ShardId(5)]);
}

#[test]
fn a_contradicted_sketch_takes_the_proof_away() {
    let bounds = [10.0, 2.0];
    let spec = PlanSpec {
        selection: BlockSelection::Threshold,
        row_limit: 1,
        wave_size: 1,
        missing_sketches: MissingSketchPolicy::Fetch,
    };
    let (mut plan, _) = Plan::start(0, setup(&bounds, spec));
    scouted(&mut plan, &bounds);
    // A score above its own bound: none of the bounds is believed any more, and the rest is asked.
    assert_eq!(plan.fetch_completed(2_000, 0, Ok(one(11.0, 0))), [PlanAction::Fetch(vec![1])]);
}

#[test]
fn a_non_idempotent_query_goes_to_the_next_block_only_if_not_executed() {
    let bounds = [3.0, 2.0, 1.0];
    let spec = PlanSpec {
        selection: BlockSelection::Best(2),
        row_limit: 1,
        wave_size: 4,
        missing_sketches: MissingSketchPolicy::Fetch,
    };
    let hold = PlanSetup { has_effect: true, ..setup(&bounds, spec) };
    let (mut plan, _) = Plan::start(0, hold.clone());
    assert_eq!(scouted(&mut plan, &bounds), [PlanAction::Fetch(vec![0])]);
    assert_eq!(plan.fetch_completed(2_000, 0, Err(PartLoss::NotExecuted)), [PlanAction::Fetch(vec![1])]);
    assert_eq!(
        plan.fetch_completed(3_000, 1, Err(PartLoss::NotExecuted)),
        [PlanAction::GiveUp { effect_possible: false }]
    );
    let (mut plan, _) = Plan::start(0, hold);
    scouted(&mut plan, &bounds);
    assert_eq!(
        plan.fetch_completed(2_000, 0, Err(PartLoss::PossiblyExecuted)),
        [PlanAction::GiveUp { effect_possible: true }]
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
        // Guards the estimate against its own budgets: how long scouts took that reported is recorded, not the
        // wait for those that did not.
        assert_eq!(plan.take_phase_times().scouts, Some(1_000));
        assert_eq!(actions, [PlanAction::CancelScouts(vec![1, 2]), PlanAction::Fetch(fetch)]);
    }
    // The deadline comes in the same call as the end of the scouts' budget.
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
                PlanAction::GiveUp { effect_possible: false }
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
fn malformed_values_are_no_sketch_and_no_row() {
    assert_eq!(parse_sketch(r#"{"bound": 2.5, "count": 3}"#), Ok(Sketch { bound: 2.5, count: Some(3) }));
    for bad in [
        "",
        "{}",
        r#"{"bound": "high"}"#,
        r#"{"bound": null}"#,
        r#"{"bound": 1e999}"#,
        r#"{"bound": 1, "count": -1}"#,
    ] {
        assert!(parse_sketch(bad).is_err(), "{bad}");
    }
    assert!(parse_sketch(&format!(r#"{{"bound": 1, "x": "{}"}}"#, "y".repeat(2000))).is_err());
    assert_eq!(parse_rows(ShardId(3), r#"[{"score": 1, "id": "a"}]"#).map(|r| r.len()), Ok(1));
    for bad in ["{}", "[1]", r#"[{"score": "x", "id": "a"}]"#, r#"[{"score": 1}]"#] {
        assert!(parse_rows(ShardId(3), bad).is_err(), "{bad}");
    }
    let many = vec![r#"{"score": 1, "id": "a"}"#; MAX_ROWS_PER_BLOCK + 1].join(",");
    assert!(parse_rows(ShardId(3), &format!("[{many}]")).is_err());
}

#[test]
fn scouts_get_what_they_need_and_no_more_than_waves_leave() {
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
    // A change shows.
    for _ in 0..3_000 {
        times.record_scouts(200_000);
    }
    assert!(near(times.budget(0, 1_000_000, 1_000_000, 1), 400_000));
}

#[test]
fn simpler_rules_split_what_is_left() {
    assert_eq!(
        PhaseTimeEstimator::new(ScoutBudgetRule::Half).budget(10, 1_000, 400, 3),
        ScoutBudget::Until(210)
    );
    assert_eq!(
        PhaseTimeEstimator::new(ScoutBudgetRule::Share(0.25)).budget(10, 1_000, 400, 3),
        ScoutBudget::Until(110)
    );
}
