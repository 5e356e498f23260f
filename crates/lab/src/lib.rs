//! Fault injection trials with several real processes of the program.
//!
//! A [`plan`] describes the instances, the faults and the expected results. A [`trial`] runs it on a [`fleet`]: real
//! processes, linked through relays, with simulated backends, discovery and clients. A [`verdict`] reports which rules
//! were kept. [`timeline`] interprets the instances' logs, [`storm`] runs many random plans, and [`measure`] takes
//! measurements.

pub mod fleet;
pub mod measure;
pub mod plan;
pub mod storm;
pub mod timeline;
pub mod trial;
pub mod verdict;
