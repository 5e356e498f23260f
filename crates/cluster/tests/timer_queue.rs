//! The timer queue of queries' deadlines.

use std::sync::Arc;

use mallowgauge_cluster::register::QueryId;
use mallowgauge_cluster::timer_queue::TimerQueue;

#[test]
fn each_query_is_due_once_at_its_last_set_deadline() {
    let mut timers = TimerQueue::default();
    let ids: Vec<QueryId> = ["a", "b", "c"].map(QueryId::from).into();
    timers.set(&ids[0], Some(30));
    timers.set(&ids[1], Some(20));
    timers.set(&ids[2], Some(10));
    timers.set(&ids[0], Some(5));
    timers.set(&ids[2], None);
    assert_eq!(
        (timers.poll_timeout(), timers.deadline("b"), timers.deadline("c")),
        (Some(5), Some(20), None)
    );
    assert_eq!(timers.take_due(19), [Arc::clone(&ids[0])]);
    assert_eq!(timers.take_due(20), [Arc::clone(&ids[1])]);
    assert_eq!((timers.poll_timeout(), timers.take_due(99)), (None, Vec::new()));
}
