//! What waits to be sent to a peer, what goes together, and how fast its messages are taken.

use mallowgauge_cluster::inbound_rate_limit::InboundRateLimit;
use mallowgauge_cluster::outbound_queue::{MessageBatch, OutboundQueue, Priority};
use proptest::prelude::*;

/// The message that is written next.
fn next(queue: &OutboundQueue) -> Option<Vec<u8>> {
    queue.unsent().next().map(<[u8]>::to_vec)
}

proptest! {
    // A queue holds its bound, gives out what it holds in order and whole, and never cuts a begun message.
    #[test]
    fn a_queue_is_bounded_and_the_least_worth_goes_first(
        steps in prop::collection::vec((0_u8..4, 1_usize..40, 0_usize..30), 1..200)
    ) {
        let worths = [Priority::Gossip, Priority::Probe, Priority::Reply, Priority::Handshake];
        let mut queue = OutboundQueue::new(100);
        let (mut pushed, mut out, mut dropped) = (Vec::new(), Vec::new(), 0);
        for (number, (worth, length, written)) in steps.into_iter().enumerate() {
            let message: Vec<u8> = std::iter::once(length as u8)
                .chain(std::iter::repeat_n(number as u8, length))
                .collect();
            pushed.push(message.clone());
            dropped += queue.push(worths[usize::from(worth)], message);
            prop_assert!(queue.bytes() <= 100);
            let next = next(&queue).unwrap_or_default();
            let written = written.min(next.len());
            out.extend_from_slice(&next[..written]);
            queue.written(written);
        }
        while let Some(next) = next(&queue) {
            out.extend_from_slice(&next);
            queue.written(next.len());
        }
        prop_assert_eq!(dropped, queue.dropped());
        // What came out are whole messages, in the order in which they were put in.
        let (mut at, mut from, mut whole) = (0, 0, 0);
        while at < out.len() {
            let message = &out[at..=at + usize::from(out[at])];
            let found = pushed[from..].iter().position(|known| known == message);
            prop_assert!(found.is_some(), "a message that nobody sent, or out of its order");
            from += found.unwrap_or_default() + 1;
            at += message.len();
            whole += 1;
        }
        prop_assert_eq!(whole + dropped, pushed.len() as u64);
    }
}

#[test]
fn an_answer_outlives_hearsay_and_questions() {
    let mut queue = OutboundQueue::new(10);
    for (worth, byte) in [(Priority::Reply, 1), (Priority::Gossip, 2), (Priority::Probe, 3)] {
        assert_eq!(queue.push(worth, vec![byte; 3]), 0);
    }
    assert_eq!(queue.push(Priority::Handshake, vec![4; 3]), 1);
    assert_eq!(queue.push(Priority::Gossip, vec![5; 3]), 1, "the newcomer itself, where it is worth least");
    let mut left = Vec::new();
    while let Some(next) = next(&queue) {
        left.push(next[0]);
        queue.written(next.len());
    }
    assert_eq!(left, [1, 3, 4]);
}

#[test]
fn a_flood_is_taken_at_its_rate() {
    let mut intake = InboundRateLimit::new(0, 100);
    let taken = (0..1_000_000_u64).filter(|at| intake.admit(*at)).count();
    assert_eq!(taken, 199, "a hundred at once, and a hundred in the second that passed");
}

#[test]
fn notes_of_a_turn_go_together_and_take_along_what_nobody_waits_for() {
    let mut bundle = MessageBatch::new(8);
    assert_eq!(bundle.add(0, b"ab", false), None);
    assert_eq!((bundle.take_due(0), bundle.poll_timeout()), (None, Some(50_000)), "nobody waits for it yet");
    assert_eq!(bundle.add(10, b"cd", true), None);
    assert_eq!(bundle.add(10, b"ef", true), None);
    assert_eq!(bundle.take_due(10), Some(b"abcdef".to_vec()));
    assert_eq!((bundle.take_due(99_999), bundle.poll_timeout()), (None, None));
    // What does not fit goes first, in its order; one that is longer than all goes alone.
    assert_eq!(bundle.add(20, b"123456", false), None);
    assert_eq!(bundle.add(20, b"789", false), Some(b"123456".to_vec()));
    assert_eq!(bundle.add(20, b"0123456789", true), Some(b"789".to_vec()));
    assert_eq!(bundle.take_due(20), Some(b"0123456789".to_vec()));
    assert_eq!(bundle.add(30, b"z", false), None);
    assert_eq!((bundle.take_due(50_029), bundle.take_due(50_030)), (None, Some(b"z".to_vec())));
}

#[test]
fn a_message_counts_for_as_many_as_are_in_it() {
    let mut intake = InboundRateLimit::new(0, 100);
    assert!(intake.admit(0));
    intake.charge(249);
    assert!(!intake.admit(1_000_000), "150 are owed, and 100 were gained");
    assert!(intake.admit(1_600_000));
}
