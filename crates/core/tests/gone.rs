//! Clients that leave while their query is open.

use mallowgauge_core::{Ask, AskPart, Asker, Bounds, Core, Effect};
use mallowgauge_router::{
    Class, ClassId, Discovery, Effect as Semantics, Layout, Limits, ListNews, Micros, Phase, RuleFigures,
    ServerEntry, ServerId, Settings, ShardId,
};

const START: Micros = 100_000_000;

/// A core whose only class has an effect, in a fleet that gives leave for each attempt.
fn core() -> Core {
    let class = Class {
        aim: 2_000_000,
        aim_stretch: 0.0,
        deadline: 6_000_000,
        late_worth: 0.1,
        effect: Semantics::Unsafe,
        floor: 1.0,
        need: 1.0,
        partial_worth: 0.9,
        second_step: 0,
    };
    let settings = Settings {
        routers: 1,
        tick: 5_000,
        classes: vec![class],
        layout: Layout { cells: 1, reach: 1, parts_per_call: 1, call_work: 0 },
        limits: Limits {
            cancel: true,
            probes: true,
            second_copies: true,
            max_attempts: 3,
            max_retry_after: 1_000_000,
        },
        rules: RuleFigures {
            cold_from: 0.2,
            warm_within: 10_000_000,
            tip_multiple: 3.0,
            fall_window: 2_000_000,
            budget: None,
            ask_within: 0,
        },
        discovery: Discovery::Push,
        zone: None,
        crossing_costs: false,
    };
    let bounds = Bounds { max_open: 100, shards: 1 };
    let mut core = Core::new(7, settings, vec!["hold".to_owned()], bounds).expect("sound settings");
    core.guard();
    core
}

fn hold(retry: bool) -> Ask {
    Ask {
        id: "a".into(),
        class: ClassId(0),
        expires_in: 5_000_000,
        retry,
        work_hint: None,
        text: b"q".as_slice().into(),
        parts: vec![AskPart { shard: ShardId(0), weight: 1.0 }],
        plan: None,
    }
}

/// The only host is told; how many attempts wait for leave after some turns.
fn attempts(core: &mut Core) -> usize {
    let host = ServerEntry { server: ServerId(0), cell: 0, phase: Phase::Ready, started: None, zone: None };
    core.list(ListNews::Full(vec![host]));
    let turns = (1..100).map(|turn| START + turn * 10_000);
    turns.flat_map(|now| core.turn(now)).filter(|effect| matches!(effect, Effect::Leave(..))).count()
}

#[test]
fn a_hold_whose_client_left_before_its_first_attempt_is_not_begun() {
    let mut core = core();
    core.ask(START, Asker::Http(1), hold(false)).expect("it is taken");
    core.gone(Asker::Http(1));
    assert_eq!((core.open(), attempts(&mut core)), (0, 0));
}

#[test]
fn a_hold_that_was_begun_goes_on_without_its_client() {
    let mut core = core();
    core.ask(START, Asker::Http(1), hold(false)).expect("it is taken");
    assert_eq!(attempts(&mut core), 1);
    core.gone(Asker::Http(1));
    assert_eq!(core.open(), 1);
}

#[test]
fn a_hold_goes_on_for_who_asked_again() {
    for leaves in [[1, 2], [2, 1]] {
        let mut core = core();
        core.ask(START, Asker::Http(1), hold(false)).expect("it is taken");
        core.ask(START, Asker::Http(2), hold(true)).expect("it waits for the same outcome");
        core.gone(Asker::Http(leaves[0]));
        assert_eq!(core.open(), 1);
        core.gone(Asker::Http(leaves[1]));
        assert_eq!((core.open(), attempts(&mut core)), (0, 0));
    }
}
