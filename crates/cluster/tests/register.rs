//! The register's keepers one by one: what they forget, what they never do, and what they say of it.

use std::sync::Arc;

use mallowgauge_cluster::register::{
    keepers, Abstains, Actor, Ballot, Bounds, Id, Keeper, Lives, Meeting, Opened, Order, Word, Written,
};
use mallowgauge_cluster::{Incarnation, PeerId};

const LIFE: u64 = 1_000_000;
const BOUNDS: Bounds = Bounds { records: 4, bytes: 1 << 20, life: LIFE };

fn life(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0 }
}

fn ballot(round: u32, by: u16) -> Ballot {
    Ballot { round, by: PeerId(by), life: life(1), turn: 0 }
}

fn fresh(number: u64) -> Keeper {
    Keeper::new(0, PeerId(0), life(number), 3, 3, BOUNDS)
}

fn meeting(from: u16, whole: bool) -> Meeting {
    let (records, after, next) = (Vec::new(), None, None);
    Meeting { from: PeerId(from), life: life(1), to: life(1), epoch: 0, whole, records, after, next }
}

/// One that remembers, for there was nothing before it.
fn founder() -> Keeper {
    let mut keeper = fresh(1);
    keeper.met(0, meeting(1, true));
    keeper.met(0, meeting(2, true));
    keeper
}

fn open(id: &str, ballot: Ballot, turn: u64) -> Order {
    open_in(0, id, ballot, turn)
}

/// What opens an id, asked while this keeper was in that epoch.
fn open_in(epoch: u64, id: &str, ballot: Ballot, turn: u64) -> Order {
    let ballot = Ballot { turn, ..ballot };
    let (id, asked): (Id, Arc<[u8]>) = (id.into(), b"what"[..].into());
    let lives: Lives = [(PeerId(0), life(1))].into();
    let epochs = [(PeerId(0), epoch)].into();
    Order::Open { id, ballot, lives, epochs, asked, written: Written::default(), version: 1 }
}

fn why(word: Option<Word>) -> Option<Abstains> {
    match word {
        Some(Word::Abstains { why, .. }) => Some(why),
        _ => None,
    }
}

fn settled(id: &str) -> Order {
    Order::Settled { id: id.into(), outcome: b"end"[..].into() }
}

#[test]
fn one_that_starts_gives_no_word_until_it_has_heard_from_enough_others() {
    let mut keeper = fresh(1);
    assert_eq!(why(keeper.order(0, open("a", ballot(0, 9), 1))), Some(Abstains::Forgetful));
    let opened = Opened { lives: [(PeerId(0), life(1))].into(), epochs: [(PeerId(0), 0)].into() };
    let take = Order::Take { id: "a".into(), ballot: ballot(1, 9), opened };
    assert_eq!(why(keeper.order(0, take.clone())), Some(Abstains::Forgetful));
    keeper.met(0, meeting(1, true));
    assert_eq!(why(keeper.order(0, take.clone())), Some(Abstains::Forgetful));
    // One that does not remember itself is no help.
    keeper.met(0, meeting(2, false));
    assert_eq!(why(keeper.order(0, take.clone())), Some(Abstains::Forgetful));
    assert_eq!(keeper.unmet(), [(PeerId(2), None)]);
    // What was meant for an earlier life of it is none either.
    keeper.met(0, Meeting { to: life(0), ..meeting(2, true) });
    assert!(!keeper.is_whole(0));
    keeper.met(0, meeting(2, true));
    assert!(keeper.is_whole(0) && keeper.unmet().is_empty());
    assert!(matches!(keeper.order(0, take), Some(Word::Promised { record: None, .. })));
}

#[test]
fn where_all_started_at_once_they_wait_until_no_id_from_before_can_be_asked() {
    let mut keeper = fresh(1);
    keeper.met(0, meeting(1, false));
    keeper.met(0, meeting(2, false));
    assert_eq!(why(keeper.order(2 * LIFE - 1, open("a", ballot(0, 9), 1))), Some(Abstains::Forgetful));
    assert!(matches!(keeper.order(2 * LIFE, open("a", ballot(0, 9), 1)), Some(Word::Done { .. })));
    // Time alone is not enough: whom it has not met may count on an earlier life of it.
    assert_eq!(why(fresh(1).order(9 * LIFE, open("a", ballot(0, 9), 1))), Some(Abstains::Forgetful));
}

#[test]
fn an_id_that_was_forgotten_is_not_opened_again_by_what_comes_late() {
    let mut keeper = founder();
    keeper.order(0, open("a", ballot(0, 9), 7));
    keeper.order(0, settled("a"));
    // However long it was paused, what it was told of meanwhile finds the record.
    assert!(keeper.tidy(100 * LIFE) && !keeper.tidy(100 * LIFE));
    assert!(matches!(keeper.order(100 * LIFE, open("a", ballot(0, 8), 1)), Some(Word::Held { .. })));
    assert!(keeper.tidy(101 * LIFE) && keeper.record("a").is_some());
    assert!(keeper.tidy(102 * LIFE));
    assert_eq!((keeper.epoch(), keeper.holds()), (3, (0, 0)));
    // Now it is forgotten, and so is whatever was asked by then.
    let late = keeper.order(101 * LIFE, open("a", ballot(0, 8), 1));
    assert_eq!(why(late), Some(Abstains::Unknown));
    assert!(matches!(keeper.order(101 * LIFE, open_in(2, "b", ballot(0, 9), 8)), Some(Word::Done { .. })));
    let write = Order::Write {
        id: "a".into(),
        ballot: Ballot { turn: 7, ..ballot(0, 9) },
        lives: Lives::new(),
        written: Written::default(),
        version: 2,
    };
    assert_eq!(why(keeper.order(LIFE, write)), Some(Abstains::Unknown));
}

#[test]
fn a_full_keeper_takes_no_more_and_forgets_nothing_that_has_not_ended() {
    let mut keeper = founder();
    for (number, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
        keeper.order(0, open(id, ballot(0, 9), number as u64));
    }
    keeper.order(0, settled("b"));
    assert_eq!(why(keeper.order(0, open("e", ballot(0, 9), 5))), Some(Abstains::Full));
    keeper.tidy(LIFE);
    assert_eq!(why(keeper.order(LIFE, open_in(1, "e", ballot(0, 9), 5))), Some(Abstains::Full));
    for times in 2..4 {
        keeper.tidy(times * LIFE);
    }
    assert!(matches!(keeper.order(3 * LIFE, open_in(3, "e", ballot(0, 9), 5)), Some(Word::Done { .. })));
    assert!(keeper.record("b").is_none() && keeper.record("a").is_some());
    for times in 4..20 {
        keeper.tidy(times * LIFE);
    }
    assert_eq!(keeper.open().count(), 4);
}

#[test]
fn an_attempt_that_is_void_under_one_ballot_is_not_void_under_another() {
    let names = || vec![PeerId(0), PeerId(1), PeerId(2)];
    let mut all: Vec<Keeper> = (0..3_u16)
        .map(|at| {
            let mut keeper = Keeper::new(0, PeerId(at), life(1), 3, 3, BOUNDS);
            (0..3).filter(|from| *from != at).for_each(|from| drop(keeper.met(0, meeting(from, true))));
            keeper
        })
        .collect();
    let mut tell = |actor: &mut Actor, to: &[u16]| {
        for &at in to {
            let order = actor.order(PeerId(at)).expect("something to say");
            let word = all[usize::from(at)].order(0, order).expect("a word");
            actor.word(PeerId(at), word);
        }
    };
    let lives: Lives = names().into_iter().map(|peer| (peer, life(1))).collect();
    let opened = Opened { lives, epochs: names().into_iter().map(|peer| (peer, 0)).collect() };
    let mut owner = Actor::open("a".into(), ballot(0, 9), names(), opened.clone(), b"what"[..].into());
    // Its first attempt is known to keeper 2 alone, and so is that it never ran.
    let first = owner.intend(0, 0).expect("an attempt");
    owner.void(first);
    tell(&mut owner, &[2]);
    assert!(!owner.granted(first));
    let mut second = Actor::take("a".into(), ballot(1, 8), names(), opened.clone());
    tell(&mut second, &[0, 1]);
    let sent = second.intend(0, 0).expect("an attempt");
    tell(&mut second, &[0, 1]);
    assert!(second.granted(sent));
    // It dies. Whoever comes next hears of both attempts, and of one that it is void.
    let mut third = Actor::take("a".into(), ballot(2, 7), names(), opened);
    tell(&mut third, &[1, 2]);
    assert!(third.may_have_run(0));
    assert_eq!(third.intend(0, 0), None);
}

#[test]
fn who_opens_an_id_again_after_it_ended_is_told_how() {
    let mut keeper = founder();
    keeper.order(0, open("a", ballot(0, 9), 1));
    // The same process, the same life, another time.
    assert!(matches!(keeper.order(0, open("a", ballot(0, 9), 2)), Some(Word::Held { .. })));
    keeper.order(0, settled("a"));
    assert!(
        matches!(keeper.order(0, open("a", ballot(0, 9), 1)), Some(Word::Held { record, .. }) if record.settled)
    );
}

#[test]
fn every_process_finds_the_same_keepers_and_all_have_their_share() {
    let mut count = [0_u32; 7];
    for id in 0..7000 {
        let found = keepers(&format!("{id:x}"), 7, 3);
        assert_eq!(found.len(), 3);
        assert!(found[0] != found[1] && found[1] != found[2] && found[0] != found[2]);
        found.iter().for_each(|peer| count[usize::from(peer.0)] += 1);
    }
    assert!(count.iter().all(|n| (2700..=3300).contains(n)), "{count:?}");
    // The loss of one that keeps nothing of an id changes nothing for it: the list is fixed, and so is the order.
    assert_eq!(keepers("q", 7, 3), keepers("q", 7, 5)[..3]);
}

/// However much a keeper holds, another hears it in pieces that a link takes; one that is lost is asked for again,
/// one that comes twice or late changes nothing, and nothing is remembered before the last one.
#[test]
fn what_a_keeper_holds_goes_over_in_pages() {
    let many = Bounds { records: 1000, ..BOUNDS };
    let mut full = Keeper::new(0, PeerId(0), life(1), 3, 3, many);
    full.met(0, meeting(1, true));
    full.met(0, meeting(2, true));
    let ids: Vec<Id> = (0..200).map(|at| format!("q{at:03}").into()).collect();
    for (id, turn) in ids.iter().zip(1..) {
        assert!(matches!(full.order(0, open(id, ballot(0, 2), turn)), Some(Word::Done { .. })));
    }
    let mut late = Keeper::new(0, PeerId(1), life(2), 3, 3, many);
    late.met(0, Meeting { to: life(2), ..meeting(2, true) });
    let (mut after, mut pages) = (None, 0);
    loop {
        let page = full.meet(0, PeerId(1), life(2), after.clone());
        assert!(page.records.len() < 20 && !page.records.is_empty());
        assert!(!late.is_whole(0), "not before the last page");
        pages += 1;
        let last = page.next.is_none();
        // It comes twice, and an early one comes late.
        let next = late.met(0, page.clone());
        assert_eq!(next, page.next);
        if last {
            break;
        }
        assert_eq!(late.met(0, page), None);
        assert_eq!(late.met(0, full.meet(0, PeerId(1), life(2), None)), None);
        let unmet = late.unmet().into_iter().find(|(peer, _)| *peer == PeerId(0));
        assert_eq!(unmet, Some((PeerId(0), next.clone())), "a lost one is asked for again, not all of them");
        after = next;
    }
    assert!(pages > 10 && late.is_whole(0));
    assert!(ids.iter().all(|id| late.record(id) == full.record(id)));
}

/// Keepers that start one after the other do not tell each other of all that ever ended, for good.
#[test]
fn what_ended_long_ago_is_not_passed_on_for_ever() {
    let mut now = 0;
    let mut keepers: Vec<Keeper> = vec![founder(), founder()];
    keepers[1] = Keeper::new(0, PeerId(1), life(1), 3, 3, BOUNDS);
    keepers[1].met(0, Meeting { from: PeerId(0), ..meeting(0, true) });
    keepers[1].met(0, meeting(2, true));
    keepers[0].order(now, open("old", ballot(0, 9), 1));
    keepers[0].order(now, settled("old"));
    for number in 3..10 {
        // Each is told by the other one just after its start, and starts again before it forgets anything.
        now += LIFE * 7 / 10;
        let (at, other) = (number % 2, 1 - number % 2);
        let me = PeerId(at as u16);
        let mut fresh = Keeper::new(now, me, life(number as u64), 3, 3, BOUNDS);
        let page = keepers[other].meet(now + 5, me, life(number as u64), None);
        assert!(fresh.met(now + 10, page).is_none());
        // Asked for within its life, it is known.
        let known = fresh.record("old").is_some();
        assert!(known || now >= LIFE, "forgotten after {now}");
        assert!(!known || now <= 3 * LIFE, "still passed on after {now}");
        keepers[at] = fresh;
    }
}
