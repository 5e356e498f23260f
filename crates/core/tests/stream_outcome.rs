//! The outcome of an attempt for each stage and end of its stream.

use mallowgauge_core::stream_outcome::{classify, not_executed, StreamEnd, StreamStage};
use mallowgauge_router::Outcome;

const STAGES: [StreamStage; 4] =
    [StreamStage::Queued, StreamStage::Sent, StreamStage::Answering, StreamStage::Complete];
const ENDS: [StreamEnd; 11] = [
    StreamEnd::Ok,
    StreamEnd::RetryLaterStatus,
    StreamEnd::DeadlineStatus,
    StreamEnd::Status,
    StreamEnd::RefusedStream,
    StreamEnd::AboveGoAway,
    StreamEnd::Reset,
    StreamEnd::ConnectionLost,
    StreamEnd::Malformed,
    StreamEnd::Stalled,
    StreamEnd::Cancelled,
];

// Guards against executing a non-idempotent part twice: only these ends prove that it was not executed.
#[test]
fn only_three_stream_ends_and_the_later_status_prove_that_a_part_was_not_executed() {
    for stage in STAGES {
        for end in ENDS {
            let outcome = classify(stage, end);
            let proved = match stage {
                StreamStage::Queued => end != StreamEnd::Cancelled,
                StreamStage::Sent => matches!(
                    end,
                    StreamEnd::RetryLaterStatus | StreamEnd::RefusedStream | StreamEnd::AboveGoAway
                ),
                StreamStage::Answering | StreamStage::Complete => false,
            };
            assert_eq!(not_executed(outcome), proved, "{stage:?} {end:?}");
            // Only a complete table with the status OK has succeeded.
            assert_eq!(
                outcome == Outcome::Succeeded,
                (stage, end) == (StreamStage::Complete, StreamEnd::Ok),
                "{stage:?} {end:?}"
            );
        }
    }
}
