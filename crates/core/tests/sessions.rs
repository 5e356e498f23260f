//! Sessions: the limit on their number, their options, and their idle timeout.

use mallowgauge_core::sessions::{Compression, OptionError, Options, SessionId, Sessions, Setting};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sessions_are_bounded_and_the_one_that_was_idle_longest_is_evicted(ids in prop::collection::vec(0..20_u128, 1..100)) {
        let mut sessions = Sessions::new(5, 1_000);
        let mut order: Vec<u128> = Vec::new();
        for (now, id) in (1..).zip(ids) {
            sessions.open(now, SessionId(id));
            order.retain(|&known| known != id);
            order.push(id);
            let evicted = order.len().saturating_sub(5);
            order.drain(..evicted);
            prop_assert_eq!(sessions.count(), order.len());
        }
        for id in 0..20 {
            prop_assert_eq!(sessions.touch(200, SessionId(id)).is_some(), order.contains(&id));
        }
    }
}

#[test]
fn options_are_set_one_by_one_and_forgotten_after_the_idle_timeout() {
    let mut sessions = Sessions::new(5, 1_000);
    let options = sessions.open(10, SessionId(1));
    assert_eq!(options.set("compression", &Setting::Text("lz4".into())), Ok(()));
    assert_eq!(options.set("compression", &Setting::Text("brotli".into())), Err(OptionError::InvalidValue));
    assert_eq!(options.set("compression", &Setting::Flag(true)), Err(OptionError::InvalidValue));
    assert_eq!(options.set("timeout_ms", &Setting::Integer(250)), Ok(()));
    assert_eq!(options.set("timeout_ms", &Setting::Integer(0)), Err(OptionError::InvalidValue));
    assert_eq!(options.set("colour", &Setting::Unset), Err(OptionError::UnknownName));
    let set = Options { compression: Compression::Lz4, timeout: Some(250_000), complete_only: false };
    assert_eq!(sessions.touch(900, SessionId(1)), Some(set));
    assert_eq!(sessions.touch(1_899, SessionId(1)), Some(set));
    assert_eq!(sessions.touch(2_899, SessionId(1)), None);
    assert_eq!(*sessions.open(2_900, SessionId(1)), Options::default());
    assert!(sessions.close(SessionId(1)) && !sessions.close(SessionId(1)));
}
