//! The Flight front.
