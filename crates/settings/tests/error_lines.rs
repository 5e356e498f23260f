//! Compares the error lines of the settings byte for byte with `golden/error_lines.txt`, since operators and their
//! tools read them. The file has one line per case, with its name and the error.

mod examples;

use examples::{list, operator, platform, File};
use mallowgauge_settings::{endpoint_list, Config, Site};
use serde_json::{json, Value};

const GOLDEN: &str = include_str!("golden/error_lines.txt");

/// Sets the value at a JSON pointer, adding a missing key; `None` removes the key.
fn change(mut value: Value, pointer: &str, new: Option<Value>) -> Value {
    let Some((parent, key)) = pointer.rsplit_once('/') else { return new.expect("a value for the root") };
    match (value.pointer_mut(parent).expect("a parent"), new) {
        (Value::Object(fields), Some(new)) => drop(fields.insert(key.to_owned(), new)),
        (Value::Object(fields), None) => drop(fields.remove(key)),
        (Value::Array(list), Some(new)) => list[key.parse::<usize>().expect("an index")] = new,
        (parent, _) => panic!("{pointer} is in {parent}"),
    }
    value
}

/// Returns the error of `Config::load`, with placeholders in place of the files' paths.
fn load_error(platform: &Value, operator: Option<&Value>) -> String {
    load_text_error(&platform.to_string(), operator.map(Value::to_string).as_deref())
}

fn load_text_error(platform: &str, operator: Option<&str>) -> String {
    let platform = File::with_content(platform.as_bytes());
    let operator = operator.map(|text| File::with_content(text.as_bytes()));
    let variable = |name: &str| (name == "RELAY_CONFIG").then(|| platform.path().to_owned());
    let error = Config::load(variable, operator.as_ref().map(File::path)).err().expect("no configuration");
    let text = error.to_string().replace(platform.path(), "PLATFORM");
    operator.map_or(text.clone(), |file| text.replace(file.path(), "OPERATOR"))
}

/// Returns the error of `Config::load` for an operator's file that names another file with the content `beside`.
fn error_with_file(change_operator: impl FnOnce(&str) -> Value, beside: &[u8]) -> String {
    let beside = File::with_content(beside);
    load_error(&platform(), Some(&change_operator(beside.path()))).replace(beside.path(), "BESIDE")
}

type Case = (&'static str, Option<Value>);

fn platform_cases() -> Vec<Case> {
    vec![
        ("/name", None),
        ("/listen", None),
        ("/listen", Some(json!("nowhere"))),
        ("/discovery", None),
        ("/discovery", Some(json!("127.0.0.1"))),
        ("/settings", None),
        ("/settings", Some(json!(3))),
        ("/seed", None),
        ("/seed", Some(json!("xyz"))),
        ("/known", None),
        ("/known", Some(json!({}))),
        ("/limits/sockets", Some(json!(4))),
        ("/limits/sockets", Some(json!("many"))),
        ("/limits/memory_mb", Some(json!(1_u64 << 32))),
        ("/settings/FamilyInfo/Shards", Some(json!(0))),
        ("/settings/FamilyInfo/Shards", Some(json!(1_u64 << 32))),
        ("/settings/FamilyInfo/Shards", Some(json!("few"))),
        ("/settings/Limits/MaxOpen", Some(json!(0))),
        ("/settings/Limits/MaxOpen", None),
        ("/settings/Limits/MaxStreams", Some(json!(0))),
        ("/settings/Limits/ConnIdleUs", None),
        ("/settings/Limits/DialTimeoutUs", Some(json!(-1))),
        ("/settings/Instances", Some(json!(0))),
        ("/settings/Classes/0/AimUs", Some(json!(0))),
        ("/settings/Classes/0/AimUs", Some(json!(3_000_000))),
        ("/settings/Classes/1/LateValue", Some(json!(1.5))),
        ("/settings/Classes/2/AimStretch", Some(json!(-1.0))),
        ("/settings/FamilyInfo/ClassFloor", Some(json!([1.0, 0.5, 2.0]))),
        ("/settings/FamilyInfo/ClassFloor", Some(json!([1.0, 0.9, 1.0]))),
        ("/settings/FamilyInfo/CompleteFrom", Some(json!([1.0, 0.8, 1.1]))),
        ("/settings/FamilyInfo/ClassPartial", Some(json!([-0.1, 0.9, 0.9]))),
        ("/settings/FamilyInfo/Places", Some(json!(0))),
        ("/settings/FamilyInfo/Width", Some(json!(0))),
        ("/settings/FamilyInfo/PartsACall", Some(json!(0))),
        ("/settings/Limits/MaxAttempts", Some(json!(0))),
        ("/settings/Safety/ColdFrom", Some(json!(1.1))),
        ("/settings/Safety/TipMultiple", Some(json!(0))),
        ("/settings/Safety/BudgetFree", Some(json!(-1.0))),
        ("/settings/Safety/ResendRatio", Some(json!(-1.0))),
        ("/settings/Safety/LookBackUs", Some(json!(0))),
    ]
}

fn site_cases() -> Vec<Case> {
    vec![
        ("", Some(json!([]))),
        ("/FamilyInfo", None),
        ("/FamilyInfo", Some(json!(1))),
        ("/Limits", None),
        ("/Safety", None),
        ("/Classes", None),
        ("/Classes", Some(json!({}))),
        ("/Classes/1/Name", None),
        ("/Classes/1/Name", Some(json!(1))),
        ("/Classes/1/AimUs", None),
        ("/Classes/1/AimUs", Some(json!(0.5))),
        ("/Classes/1/DeadlineUs", None),
        ("/Classes/1/LateValue", Some(json!("half"))),
        ("/Classes/1/Semantics", None),
        ("/Classes/1/Semantics", Some(json!("odd"))),
        ("/Classes/1/WindowUs", None),
        ("/FamilyInfo/ClassFloor", None),
        ("/FamilyInfo/ClassFloor", Some(json!([1.0]))),
        ("/FamilyInfo/ClassFloor", Some(json!([1.0, "x", 1.0]))),
        ("/FamilyInfo/CompleteFrom", Some(json!([]))),
        ("/FamilyInfo/ClassPartial", Some(json!(1))),
        ("/FamilyInfo/FollowUp", None),
        ("/FamilyInfo/Places", Some(json!(1_u64 << 32))),
        ("/FamilyInfo/Width", None),
        ("/FamilyInfo/PartsACall", Some(json!(-1))),
        ("/FamilyInfo/OverheadUs", Some(json!("x"))),
        ("/Instances", None),
        ("/TickUs", Some(json!("soon"))),
        ("/Limits/Cancel", Some(json!(1))),
        ("/Limits/Probing", None),
        ("/Limits/SecondCopies", None),
        ("/Limits/MaxAttempts", Some(json!("x"))),
        ("/Limits/RetryAfter", None),
        ("/Limits/MaxRetryAfterUs", None),
        ("/Safety/ColdFrom", None),
        ("/Safety/WarmWithinUs", None),
        ("/Safety/TipMultiple", Some(json!("x"))),
        ("/Safety/FallUs", None),
        ("/Safety/LookBackUs", Some(json!(0.5))),
        ("/MembershipMode", None),
        ("/MembershipMode", Some(json!("odd"))),
    ]
}

fn list_cases() -> Vec<Case> {
    vec![
        ("", Some(json!(null))),
        ("/generation", None),
        ("/generation", Some(json!(-1))),
        ("/reset", None),
        ("/reset", Some(json!("yes"))),
        ("/instances", None),
        ("/instances", Some(json!({}))),
        ("/instances/0/instanceId", None),
        ("/instances/0/lifecycle", None),
        ("/instances/0/lifecycle", Some(json!("asleep"))),
        ("/instances/0/hostPort", None),
        ("/instances/0/hostPort", Some(json!("localhost:1"))),
        ("/instances/1/cell", Some(json!(1_u64 << 32))),
    ]
}

fn operator_cases() -> Vec<Case> {
    vec![
        ("", Some(json!([]))),
        ("/other", Some(json!({}))),
        ("/log", Some(json!(1))),
        ("/log/format", Some(json!("xml"))),
        ("/log/format", Some(json!(1))),
        ("/log/level", Some(json!("info"))),
        ("/phases", Some(json!([]))),
        ("/phases/other", Some(json!(1))),
        ("/phases/rule", Some(json!("odd"))),
        ("/phases/rule", Some(json!({"share": 1.0}))),
        ("/phases/sketches", Some(json!(1_000_001))),
        ("/phases/sketch_ms", Some(json!("x"))),
        ("/flight", Some(json!("on"))),
        ("/flight/other", Some(json!(1))),
        ("/flight/listen", Some(json!(1))),
        ("/flight/listen", Some(json!("here"))),
        ("/flight/hosts", Some(json!(3))),
        ("/flight/hosts", Some(json!("some"))),
        ("/flight/hosts", Some(json!([1]))),
        ("/flight/key", Some(json!(1))),
        ("/flight/key", Some(json!("no-such-file"))),
        ("/flight/users", Some(json!("no-such-file"))),
        ("/flight/ticket_s", Some(json!(0))),
        ("/flight/token_s", Some(json!(2_592_001))),
        ("/flight/tls", Some(json!(1))),
        ("/flight/tls", Some(json!({"other": 1}))),
        ("/flight/tls", Some(json!({}))),
        ("/flight/tls", Some(json!({"certificate": "no-such-file"}))),
        ("/flight/host_tls", Some(json!(1))),
        ("/flight/host_tls", Some(json!({"other": 1}))),
        ("/flight/host_tls", Some(json!({}))),
        ("/flight/host_tls", Some(json!({"name": 1}))),
    ]
}

fn peer_cases() -> Vec<Case> {
    vec![
        ("/fleet", Some(json!([]))),
        ("/fleet/nmae", Some(json!("n1"))),
        ("/fleet/name", Some(json!(1))),
        ("/fleet/name", Some(json!("n9"))),
        ("/fleet/anywhere", Some(json!("yes"))),
        ("/fleet/peers", None),
        ("/fleet/peers", Some(json!([]))),
        ("/fleet/peers/other", Some(json!([]))),
        ("/fleet/peers/version", None),
        ("/fleet/peers/version", Some(json!(0))),
        ("/fleet/peers/list", None),
        ("/fleet/peers/list", Some(json!([]))),
        ("/fleet/peers/list", Some(json!(vec![1; 513]))),
        ("/fleet/peers/list/1", Some(json!(1))),
        ("/fleet/peers/list/1/port", Some(json!(1))),
        ("/fleet/peers/list/1/name", None),
        ("/fleet/peers/list/1/name", Some(json!("x".repeat(65)))),
        ("/fleet/peers/list/1/name", Some(json!("n1"))),
        ("/fleet/peers/list/1/address", None),
        ("/fleet/peers/list/1/address", Some(json!("nowhere"))),
        ("/fleet/peers/list/1/address", Some(json!("127.0.0.1:7401"))),
        ("/fleet/peers/list/1/address", Some(json!("192.0.2.1:7401"))),
        ("/fleet/group", Some(json!("x"))),
        ("/fleet/group", Some(json!(2))),
        ("/fleet/group", Some(json!(5))),
        ("/fleet/listen", Some(json!("nowhere"))),
        ("/fleet/listen", Some(json!("192.0.2.1:7401"))),
        ("/fleet/pace", Some(json!(1))),
        ("/fleet/pace", Some(json!({"other": 1}))),
        ("/fleet/pace", Some(json!({"probe_ms": 1}))),
        ("/fleet/pace", Some(json!({"answer_ms": "x"}))),
        ("/fleet/pace", Some(json!({"doubt_ms": 60_001}))),
        ("/fleet/bounds", Some(json!({"other": 1}))),
        ("/fleet/bounds", Some(json!({"queue_kb": 1}))),
        ("/fleet/bounds", Some(json!({"messages_a_second": 1}))),
        ("/fleet/handover", Some(json!({"other": 1}))),
        ("/fleet/handover", Some(json!({"life_ms": 1}))),
        ("/fleet/handover", Some(json!({}))),
    ]
}

fn file_cases() -> Vec<(&'static str, String)> {
    let flight =
        |key: &'static str| move |file: &str| change(operator(), "/flight", Some(json!({ key: file })));
    let host_tls = |key: &'static str| {
        move |file: &str| change(operator(), "/flight/host_tls", Some(json!({ key: file })))
    };
    let tls = |file: &str| change(operator(), "/flight/tls", Some(json!({"certificate": file})));
    let user = "ann:pbkdf2-sha256$1$00$55ac046e56e3089fec1691c22544b605f94185216dde0465e68b9d57c20dacbc";
    vec![
        ("a key of 15 bytes", error_with_file(flight("key"), &[7; 15])),
        ("users that are no text", error_with_file(flight("users"), b"\xff")),
        ("a user without a colon", error_with_file(flight("users"), b"# users\n\nann\n")),
        ("a user without a secret", error_with_file(flight("users"), b"ann:secret\n")),
        ("a user twice", error_with_file(flight("users"), format!("{user}\n{user}\n").as_bytes())),
        ("a certificate without its key", error_with_file(tls, b"PEM")),
        ("a host certificate without its key", error_with_file(host_tls("certificate"), b"PEM")),
        ("a host key without its certificate", error_with_file(host_tls("key"), b"PEM")),
        ("a name without roots", error_with_file(host_tls("name"), b"PEM")),
    ]
}

fn load_cases() -> Vec<(&'static str, String)> {
    let unset_variable = Config::load(|_| None, None).err().expect("no configuration").to_string();
    let absent = |name: &str| (name == "RELAY_CONFIG").then(|| "no-such-file".to_owned());
    let absent_file = Config::load(absent, None).err().expect("no configuration").to_string();
    let valid_platform = platform().to_string();
    let long_name = change(list(), "/instances/0/instanceId", Some(json!("é".repeat(300))));
    let long_name = change(long_name, "/instances/0/lifecycle", None);
    let long_name = endpoint_list::parse(&long_name).expect_err("no list").to_string();
    let few_sockets = change(platform(), "/limits/sockets", Some(json!(32)));
    let little_memory = change(platform(), "/limits/memory_mb", Some(json!(1)));
    let peers = |count: u32| -> Vec<Value> {
        (1..=count).map(|n| json!({"name": format!("n{n}"), "address": format!("127.0.0.1:{n}")})).collect()
    };
    let many_peers = change(operator(), "/fleet/peers/list", Some(json!(peers(40))));
    let mut nameless = operator();
    nameless = change(nameless, "/fleet/name", None);
    let nameless_platform = change(platform(), "/name", None);
    vec![
        ("RELAY_CONFIG is unset", unset_variable),
        ("the platform's file is absent", absent_file),
        ("the platform's file is no JSON", load_text_error("{", None)),
        ("the operator's file is no JSON", load_text_error(&valid_platform, Some("[1,"))),
        ("too many peers for the sockets", load_error(&few_sockets, Some(&many_peers))),
        ("too many peers for the memory", load_error(&little_memory, Some(&many_peers))),
        ("nobody names this instance", load_error(&nameless_platform, Some(&nameless))),
        ("a long name", long_name),
        (
            "control characters",
            load_error(&change(platform(), "/listen", Some(json!("a\nb\u{1b}[2J"))), None),
        ),
    ]
}

fn all_lines() -> Vec<String> {
    let name = |kind: &str, (pointer, value): &Case| {
        let value = value.as_ref().map_or("absent".to_owned(), Value::to_string);
        format!("{kind}{pointer} {value:.60}")
    };
    let mut lines = Vec::new();
    for case in platform_cases() {
        let error = load_error(&change(platform(), case.0, case.1.clone()), None);
        lines.push(format!("{} => {error}", name("platform", &case)));
    }
    for case in site_cases() {
        let settings = change(platform()["settings"].clone(), case.0, case.1.clone());
        let error = Site::read(&settings).err().expect("no site").to_string();
        lines.push(format!("{} => {error}", name("settings", &case)));
    }
    for case in list_cases() {
        let error =
            endpoint_list::parse(&change(list(), case.0, case.1.clone())).expect_err("no list").to_string();
        lines.push(format!("{} => {error}", name("list", &case)));
    }
    for case in operator_cases().into_iter().chain(peer_cases()) {
        let error = load_error(&platform(), Some(&change(operator(), case.0, case.1.clone())));
        lines.push(format!("{} => {error}", name("operator", &case)));
    }
    let named = file_cases().into_iter().chain(load_cases());
    lines.extend(named.map(|(name, error)| format!("{name} => {error}")));
    lines
}

#[test]
fn error_lines_match_the_golden_file() {
    let lines = all_lines();
    let golden: Vec<&str> = GOLDEN.lines().collect();
    for (line, expected) in lines.iter().zip(&golden) {
        assert_eq!(line, expected);
    }
    assert_eq!(lines.len(), golden.len(), "{:#?}", &lines[golden.len().min(lines.len())..]);
}
