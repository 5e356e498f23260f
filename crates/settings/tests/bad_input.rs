//! Property tests with malformed files and endpoint lists: each is either rejected with an error of one line, or read
//! with values within the limits that the program relies on.

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

/// Collects the JSON pointers of a value and of everything in it.
fn collect_pointers(value: &Value, path: &str, found: &mut Vec<String>) {
    found.push(path.to_owned());
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| collect_pointers(value, &format!("{path}/{key}"), found))
        }
        Value::Array(list) => {
            list.iter()
                .enumerate()
                .for_each(|(index, value)| collect_pointers(value, &format!("{path}/{index}"), found));
        }
        _ => {}
    }
}

/// Generates no string with a colon, since it could be taken for an address and resolved by name.
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

/// A change of a JSON value at a randomly selected pointer.
#[derive(Clone, Debug)]
enum Change {
    Replace(prop::sample::Index, Value),
    Remove(prop::sample::Index),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (any::<prop::sample::Index>(), unexpected_value()).prop_map(|(at, value)| Change::Replace(at, value)),
        1 => any::<prop::sample::Index>().prop_map(Change::Remove),
    ]
}

fn mutate(mut value: Value, changes: &[Change]) -> Value {
    for change in changes {
        let mut pointers = Vec::new();
        collect_pointers(&value, "", &mut pointers);
        match change {
            Change::Replace(at, other) => {
                if let Some(found) = value.pointer_mut(&pointers[at.index(pointers.len())]) {
                    *found = other.clone();
                }
            }
            Change::Remove(at) => {
                let path = &pointers[at.index(pointers.len())];
                let Some((parent, key)) = path.rsplit_once('/') else { continue };
                match value.pointer_mut(parent) {
                    Some(Value::Object(fields)) => drop(fields.remove(key)),
                    Some(Value::Array(list)) => drop(list.remove(key.parse().expect("an index"))),
                    _ => {}
                }
            }
        }
    }
    value
}

fn load(platform: &[u8], operator: Option<&[u8]>) -> Result<Config, String> {
    let (platform, operator) = (File::with_content(platform), operator.map(File::with_content));
    let variable = |name: &str| (name == "RELAY_CONFIG").then(|| platform.path().to_owned());
    Config::load(variable, operator.as_ref().map(File::path)).map_err(|error| error.to_string())
}

/// Checks the limits that the program relies on.
fn check(config: &Config) -> Result<(), TestCaseError> {
    let (core_limits, connections) = (&config.core_limits, &config.connections);
    prop_assert!(
        core_limits.max_open > 0
            && core_limits.shards > 0
            && connections.max_attempts_in_flight > 0
            && connections.parts_per_call > 0
    );
    prop_assert!(connections.max_descriptors >= 32 && connections.max_descriptors <= u32::MAX as usize);
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

/// Checks that an error text is one line of limited length, which does not quote the whole input.
fn check_error_text(text: &str) -> Result<(), TestCaseError> {
    prop_assert!(!text.is_empty() && !text.contains(char::is_control), "{text:.300?}");
    prop_assert!(text.len() <= 510, "{} bytes: {text:.300}", text.len());
    Ok(())
}

#[test]
fn unmodified_inputs_are_valid() {
    assert_eq!(endpoint_list::parse(&list()).expect("a list").backends.len(), 3);
    assert!(Site::read(&platform()["settings"]).is_ok());
    let loaded = load(platform().to_string().as_bytes(), Some(operator().to_string().as_bytes()));
    assert!(loaded.expect("a configuration").peers.is_some());
}

// Guards the log against names in an endpoint list, which are untrusted and quoted in error lines.
#[test]
fn quoted_names_are_escaped_and_truncated_to_one_line() {
    for name in ["x".repeat(100_000), "a\nb\u{1b}[2J".to_owned(), "\n".repeat(300), "ž".repeat(400)] {
        let mut value = list();
        value["instances"][0]["instanceId"] = json!(name);
        value["instances"][0]["lifecycle"] = json!("odd");
        let text = endpoint_list::parse(&value).expect_err("no list").to_string();
        assert!(!text.contains(char::is_control) && text.len() <= 510, "{text:.200?}");
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
                for backend in &read.backends {
                    prop_assert!(backend.state == EndpointState::Removed || backend.address.is_some());
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
        platform_changes in prop::collection::vec(change(), 0..3),
        operator_changes in prop::collection::vec(change(), 0..3),
    ) {
        let (platform, operator) = (mutate(platform(), &platform_changes), mutate(operator(), &operator_changes));
        match load(platform.to_string().as_bytes(), Some(operator.to_string().as_bytes())) {
            Ok(config) => check(&config)?,
            Err(text) => check_error_text(&text)?,
        }
    }

    #[test]
    fn a_truncated_configuration_is_rejected(at in any::<prop::sample::Index>(), truncate_operator: bool) {
        let (mut platform, mut operator) = (platform().to_string().into_bytes(), operator().to_string().into_bytes());
        let truncated = if truncate_operator { &mut operator } else { &mut platform };
        truncated.truncate(at.index(truncated.len()));
        let text = load(&platform, Some(&operator)).err().expect("no configuration");
        check_error_text(&text)?;
    }
}
