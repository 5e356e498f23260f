//! Bugs that are injected on purpose, to verify that tests of real processes detect them. Without the cargo
//! feature `planted`, which no released build has, nothing is injected and the checks compile to nothing.

/// A bug that breaks one of the register's guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// An attempt is sent before a majority has accepted its intent.
    SendWithoutIntent,
    /// An acceptor accepts a proposal under a ballot that it no longer promises.
    ForgetPromise,
    /// A fenced proposer sends the attempts that waited for permits.
    SendAfterFencing,
    /// A client receives an outcome before a majority has accepted it.
    RespondBeforeRecord,
    /// A takeover proceeds after the first promise.
    TakeOverWithoutMajority,
}

/// The error of [`inject`].
#[cfg(feature = "planted")]
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InjectionError {
    /// There is no bug of that name.
    #[error("unknown injected fault {0:?}")]
    UnknownBug(String),
    /// Another bug is already injected.
    #[error("a fault is already injected")]
    AlreadyInjected,
}

#[cfg(feature = "planted")]
static INJECTED: std::sync::OnceLock<Bug> = std::sync::OnceLock::new();

/// Injects the bug of this name for the lifetime of the process.
///
/// # Errors
/// There is no bug of that name, or one is already injected.
#[cfg(feature = "planted")]
pub fn inject(name: &str) -> Result<(), InjectionError> {
    let bug = match name {
        "skip-the-intent" => Bug::SendWithoutIntent,
        "forget-a-promise" => Bug::ForgetPromise,
        "send-after-the-fence" => Bug::SendAfterFencing,
        "answer-before-the-record" => Bug::RespondBeforeRecord,
        "adopt-without-a-majority" => Bug::TakeOverWithoutMajority,
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

/// Whether this bug is injected: always false without the feature `planted`.
#[cfg(not(feature = "planted"))]
#[must_use]
pub(crate) const fn is_injected(_: Bug) -> bool {
    false
}
