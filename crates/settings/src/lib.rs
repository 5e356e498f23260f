//! What the programs are told: the platform's file and settings, the operator's file. All of it is checked
//! here, and what is wrong is said with file and key.

pub mod hosts;
mod operator;
mod peers;
mod platform;
mod site;

pub use operator::{Flight, HostTls, LogFormat, Operator, ServerTls};
pub use peers::{Fleet, Peer};
pub use platform::{Config, Links};
pub use site::{small, zone, Section, Site};

/// Longest message about what is wrong with an input.
const LONGEST_WORDS: usize = 500;

/// A message that quotes its input, as one line of the log.
fn one_line(words: impl AsRef<str>) -> String {
    let mut line = String::new();
    for c in words.as_ref().chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
        if line.len() > LONGEST_WORDS {
            line.truncate(line.floor_char_boundary(LONGEST_WORDS));
            line.push('…');
            break;
        }
    }
    line
}
