//! Malformed files and lists: each is read, or rejected in one line, never more than that, and what is read is inside the
//! bounds that the programs rest on.

mod examples;

use examples::{list, operator, platform, File};
use mallowgauge_router::EndpointState;
use mallowgauge_settings::endpoint_list;
use mallowgauge_settings::{Config, Site};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Every place in a value, by its path.
fn places(value: &Value, path: &str, found: &mut Vec<String>) {
    found.push(path.to_owned());
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| places(value, &format!("{path}/{key}"), found))
        }
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(at, value)| places(value, &format!("{path}/{at}"), found));
        }
        _ => {}
    }
}

/// No text with a colon: one could be taken for an address, and looked up by its name.
fn unexpected_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!(0)),
        Just(json!(1)),
        Just(json!(-1)),
        Just(json!(0.5)),
        Just(json!(1e300)),
        Just(json!(-1e300)),
        Just(json!(u64::MAX)),
        Just(json!(u32::MAX)),
        Just(json!(u64::from(u32::MAX) + 1)),
        Just(json!(i64::MIN)),
        Just(json!("")),
        Just(json!("é\n\0")),
        Just(json!("x".repeat(70_000))),
        Just(json!(true)),
        Just(json!([])),
        Just(json!({})),
        Just(json!([null])),
        Just(json!([[], {}])),
        Just(json!({"": 1})),
    ]
}

/// One value in another's place, or one taken away.
#[derive(Clone, Debug)]
enum Change {
    Put(prop::sample::Index, Value),
    Take(prop::sample::Index),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (any::<prop::sample::Index>(), unexpected_value()).prop_map(|(at, value)| Change::Put(at, value)),
        1 => any::<prop::sample::Index>().prop_map(Change::Take),
    ]
}

fn mutate(mut value: Value, changes: &[Change]) -> Value {
    for change in changes {
        let mut all = Vec::new();
        places(&value, "", &mut all);
        match change {
            Change::Put(at, other) => {
                if let Some(found) = value.pointer_mut(&all[at.index(all.len())]) {
                    *found = other.clone();
                }
            }
            Change::Take(at) => {
                let path = &all[at.index(all.len())];
                let Some((parent, key)) = path.rsplit_once('/') else { continue };
                match value.pointer_mut(parent) {
                    Some(Value::Object(fields)) => drop(fields.remove(key)),
                    Some(Value::Array(list)) => drop(list.remove(key.parse().expect("a place"))),
                    _ => {}
                }
            }
        }
    }
    value
}

fn load(platform: &[u8], operator: Option<&[u8]>) -> Result<Config, String> {
    let (platform, operator) = (File::of(platform), operator.map(File::of));
    let variable = |name: &str| (name == "RELAY_CONFIG").then(|| platform.path().to_owned());
    Config::load(variable, operator.as_ref().map(File::path)).map_err(|error| error.to_string())
}

/// What the programs rest on.
fn check(config: &Config) -> Result<(), TestCaseError> {
    let (bounds, links) = (&config.core_limits, &config.connections);
    prop_assert!(
        bounds.max_open > 0 && bounds.shards > 0 && links.max_attempts > 0 && links.parts_per_call > 0
    );
    prop_assert!(links.max_descriptors >= 32 && links.max_descriptors <= u32::MAX as usize);
    let (settings, classes) = (&config.site.settings, &config.site.classes);
    prop_assert!(settings.validate().is_ok());
    prop_assert_eq!(settings.classes.len(), classes.len());
    prop_assert!(
        settings.layout.ring_positions > 0 && settings.layout.replication_factor > 0 && settings.routers > 0
    );
    prop_assert!(settings
        .classes
        .iter()
        .all(|class| class.latency_objective > 0 && class.latency_objective <= class.deadline));
    prop_assert!(endpoint_list::parse(&config.cached_endpoints).is_ok());
    Ok(())
}

/// What is wrong is one line, and not one that holds all of what was sent.
fn check_error_text(words: &str) -> Result<(), TestCaseError> {
    prop_assert!(!words.is_empty() && !words.contains(char::is_control), "{words:.300?}");
    prop_assert!(words.len() <= 510, "{} bytes: {words:.300}", words.len());
    Ok(())
}

#[test]
fn the_inputs_that_are_changed_below_are_valid() {
    assert_eq!(endpoint_list::parse(&list()).expect("a list").backends.len(), 3);
    assert!(Site::read(&platform()["settings"]).is_ok());
    let loaded = load(platform().to_string().as_bytes(), Some(operator().to_string().as_bytes()));
    assert!(loaded.expect("a configuration").peers.is_some());
}

// A list's words go into the log with a name that somebody else chose.
#[test]
fn a_name_that_is_quoted_stays_one_short_line() {
    for name in ["x".repeat(100_000), "a\nb\u{1b}[2J".to_owned(), "\n".repeat(300), "ž".repeat(400)] {
        let mut value = list();
        value["instances"][0]["instanceId"] = json!(name);
        value["instances"][0]["lifecycle"] = json!("odd");
        let words = endpoint_list::parse(&value).expect_err("no list").to_string();
        assert!(!words.contains(char::is_control) && words.len() <= 510, "{words:.200?}");
    }
}

proptest! {
    #![proptest_config(cases(1500))]

    #[test]
    fn a_malformed_list_is_read_or_rejected(changes in prop::collection::vec(change(), 1..4)) {
        let value = mutate(list(), &changes);
        match endpoint_list::parse(&value) {
            Ok(read) => {
                prop_assert_eq!(Some(read.generation), value["generation"].as_u64());
                prop_assert_eq!(Some(read.is_snapshot), value["reset"].as_bool());
                prop_assert_eq!(read.backends.len(), value["instances"].as_array().expect("a list").len());
                for host in &read.backends {
                    prop_assert!(host.state == EndpointState::Removed || host.address.is_some());
                }
            }
            Err(error) => check_error_text(&error.to_string())?,
        }
    }

    #[test]
    fn malformed_settings_are_read_or_rejected(changes in prop::collection::vec(change(), 1..4)) {
        let value = mutate(platform()["settings"].clone(), &changes);
        match Site::read(&value) {
            Ok(site) => prop_assert_eq!(site.classes.len(), site.settings.classes.len()),
            Err(error) => check_error_text(&error.to_string())?,
        }
    }

    #[test]
    fn a_malformed_configuration_is_read_or_rejected(
        changes in prop::collection::vec(change(), 0..3), others in prop::collection::vec(change(), 0..3),
    ) {
        let (platform, operator) = (mutate(platform(), &changes), mutate(operator(), &others));
        match load(platform.to_string().as_bytes(), Some(operator.to_string().as_bytes())) {
            Ok(config) => check(&config)?,
            Err(words) => check_error_text(&words)?,
        }
    }

    #[test]
    fn a_truncated_configuration_is_rejected(at in any::<prop::sample::Index>(), operators: bool) {
        let (mut platform, mut operator) = (platform().to_string().into_bytes(), operator().to_string().into_bytes());
        let cut = if operators { &mut operator } else { &mut platform };
        cut.truncate(at.index(cut.len()));
        let words = load(&platform, Some(&operator)).err().expect("no configuration");
        check_error_text(&words)?;
    }
}
