//! Bugs that are injected on purpose, so that fault-injection tests of real processes can be seen to catch
//! them. Without the cargo feature `planted`, which no released build has, all of it is off and compiles to
//! nothing.

/// A bug that breaks one of the register's promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// An attempt is sent before a majority has accepted its intent.
    SkipTheIntent,
    /// An acceptor accepts a proposal under a ballot that it no longer promises.
    ForgetAPromise,
    /// A fenced proposer sends the attempts that waited for their permits.
    SendAfterTheFence,
    /// An outcome is told before a majority has accepted it.
    AnswerBeforeTheRecord,
    /// A takeover acts upon the first promise.
    AdoptWithoutAMajority,
}

/// Why a bug is not injected.
#[cfg(feature = "planted")]
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InjectionError {
    /// There is no bug of that name.
    #[error("there is no planted fault {0:?}")]
    UnknownBug(String),
    /// A bug is injected already.
    #[error("one is planted already")]
    AlreadyInjected,
}

#[cfg(feature = "planted")]
static INJECTED: std::sync::OnceLock<Bug> = std::sync::OnceLock::new();

/// Injects the bug of this name for as long as the process runs.
///
/// # Errors
/// There is none of that name, or one is injected already.
#[cfg(feature = "planted")]
pub fn inject(name: &str) -> Result<(), InjectionError> {
    let bug = match name {
        "skip-the-intent" => Bug::SkipTheIntent,
        "forget-a-promise" => Bug::ForgetAPromise,
        "send-after-the-fence" => Bug::SendAfterTheFence,
        "answer-before-the-record" => Bug::AnswerBeforeTheRecord,
        "adopt-without-a-majority" => Bug::AdoptWithoutAMajority,
        _ => return Err(InjectionError::UnknownBug(name.to_owned())),
    };
    INJECTED.set(bug).map_err(|_| InjectionError::AlreadyInjected)
}

/// Whether this bug is injected.
#[cfg(feature = "planted")]
#[must_use]
pub(crate) fn is_injected(bug: Bug) -> bool {
    INJECTED.get() == Some(&bug)
}

/// Whether this bug is injected: never, without the feature.
#[cfg(not(feature = "planted"))]
#[must_use]
pub(crate) const fn is_injected(_: Bug) -> bool {
    false
}
