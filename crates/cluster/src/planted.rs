//! Faults that are planted on purpose, so that trials of real processes can be seen to catch them. All of it is
//! off, and compiled to nothing, without the feature `planted`, which no build that is put to use has.

/// A promise that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// An attempt is sent before its intent is with a majority.
    SkipTheIntent,
    /// A keeper takes what is written under a ballot that it has promised away.
    ForgetAPromise,
    /// Who hears that another has a higher ballot sends what waited for leave.
    SendAfterTheFence,
    /// An outcome is told before it is with a majority.
    AnswerBeforeTheRecord,
    /// Who takes over acts with the first promise.
    AdoptWithoutAMajority,
}

#[cfg(feature = "planted")]
static PLANTED: std::sync::OnceLock<Bug> = std::sync::OnceLock::new();

/// Plants one for the rest of the process's life.
///
/// # Errors
/// There is none of that name.
#[cfg(feature = "planted")]
pub fn plant(name: &str) -> Result<(), String> {
    let bug = match name {
        "skip-the-intent" => Bug::SkipTheIntent,
        "forget-a-promise" => Bug::ForgetAPromise,
        "send-after-the-fence" => Bug::SendAfterTheFence,
        "answer-before-the-record" => Bug::AnswerBeforeTheRecord,
        "adopt-without-a-majority" => Bug::AdoptWithoutAMajority,
        _ => return Err(format!("there is no planted fault {name:?}")),
    };
    PLANTED.set(bug).map_err(|_| "one is planted already".to_owned())
}

/// Whether this one is planted.
#[cfg(feature = "planted")]
#[must_use]
pub(crate) fn is(bug: Bug) -> bool {
    PLANTED.get() == Some(&bug)
}

/// Whether this one is planted: never.
#[cfg(not(feature = "planted"))]
#[must_use]
pub(crate) const fn is(_: Bug) -> bool {
    false
}
