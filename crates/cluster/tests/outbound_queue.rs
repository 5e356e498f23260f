//! The outbound queue, the batching of messages, and the rate limit for inbound messages.

use mallowgauge_cluster::inbound_rate_limit::InboundRateLimit;
use mallowgauge_cluster::outbound_queue::{MessageBatch, OutboundQueue, Priority};
use proptest::prelude::*;

/// Returns the unsent part of the first message.
fn next(queue: &OutboundQueue) -> Option<Vec<u8>> {
    queue.unsent().next().map(<[u8]>::to_vec)
}

proptest! {
    // The queue stays within its limit, returns messages complete and in order, and never drops a partly sent
    // message.
    #[test]
    fn a_queue_is_bounded_and_keeps_messages_complete_and_in_order(
        steps in prop::collection::vec((0_u8..4, 1_usize..40, 0_usize..30), 1..200)
    ) {
        let priorities = [Priority::Gossip, Priority::Probe, Priority::Reply, Priority::Handshake];
        let mut queue = OutboundQueue::new(100);
        let (mut pushed, mut out, mut dropped) = (Vec::new(), Vec::new(), 0);
        for (number, (priority, length, written)) in steps.into_iter().enumerate() {
            let message: Vec<u8> = std::iter::once(length as u8)
                .chain(std::iter::repeat_n(number as u8, length))
                .collect();
            pushed.push(message.clone());
            dropped += queue.push(priorities[usize::from(priority)], message);
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
        // The output consists of complete messages, in the order in which they were pushed.
        let (mut offset, mut from, mut complete) = (0, 0, 0);
        while offset < out.len() {
            let message = &out[offset..=offset + usize::from(out[offset])];
            let found = pushed[from..].iter().position(|known| known == message);
            prop_assert!(found.is_some(), "a message that was not pushed, or is out of order");
            from += found.unwrap_or_default() + 1;
            offset += message.len();
            complete += 1;
        }
        prop_assert_eq!(complete + dropped, pushed.len() as u64);
    }
}

#[test]
fn gossip_and_probes_are_dropped_before_replies() {
    let mut queue = OutboundQueue::new(10);
    for (priority, byte) in [(Priority::Reply, 1), (Priority::Gossip, 2), (Priority::Probe, 3)] {
        assert_eq!(queue.push(priority, vec![byte; 3]), 0);
    }
    assert_eq!(queue.push(Priority::Handshake, vec![4; 3]), 1);
    assert_eq!(
        queue.push(Priority::Gossip, vec![5; 3]),
        1,
        "the new message itself, if its priority is lowest"
    );
    let mut remaining = Vec::new();
    while let Some(next) = next(&queue) {
        remaining.push(next[0]);
        queue.written(next.len());
    }
    assert_eq!(remaining, [1, 3, 4]);
}

#[test]
fn a_flood_is_admitted_at_the_limit() {
    let mut rate_limit = InboundRateLimit::new(0, 100);
    let admitted = (0..1_000_000_u64).filter(|now| rate_limit.admit(*now)).count();
    assert_eq!(admitted, 199, "a burst of 100, and 100 more within the second");
}

#[test]
fn messages_of_one_iteration_are_batched_with_delayed_ones() {
    let mut batch = MessageBatch::new(8);
    assert_eq!(batch.add(0, b"ab", false), None);
    assert_eq!(
        (batch.take_due(0), batch.poll_timeout()),
        (None, Some(50_000)),
        "the receiver does not wait for it"
    );
    assert_eq!(batch.add(10, b"cd", true), None);
    assert_eq!(batch.add(10, b"ef", true), None);
    assert_eq!(batch.take_due(10), Some(b"abcdef".to_vec()));
    assert_eq!((batch.take_due(99_999), batch.poll_timeout()), (None, None));
    // If a message does not fit, the earlier ones are sent first; an oversized message is sent alone.
    assert_eq!(batch.add(20, b"123456", false), None);
    assert_eq!(batch.add(20, b"789", false), Some(b"123456".to_vec()));
    assert_eq!(batch.add(20, b"0123456789", true), Some(b"789".to_vec()));
    assert_eq!(batch.take_due(20), Some(b"0123456789".to_vec()));
    assert_eq!(batch.add(30, b"z", false), None);
    assert_eq!((batch.take_due(50_029), batch.take_due(50_030)), (None, Some(b"z".to_vec())));
}

#[test]
fn a_batch_is_charged_for_each_message_in_it() {
    let mut rate_limit = InboundRateLimit::new(0, 100);
    assert!(rate_limit.admit(0));
    rate_limit.charge(249);
    assert!(!rate_limit.admit(1_000_000), "the balance is -150, and 100 tokens were added");
    assert!(rate_limit.admit(1_600_000));
}
