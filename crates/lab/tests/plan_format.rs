//! Format of plan files: every file of `trials/` parses, and plans serialize exactly as in `golden/plans.txt`.

use mallowgauge_lab::plan::Plan;

const GOLDEN: &str = include_str!("golden/plans.txt");

fn to_json(plan: &Plan) -> String {
    serde_json::to_string(plan).expect("a plan as JSON")
}

fn parse(text: &str) -> Plan {
    Plan::read(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

/// Returns a line for each plan: its file name or seed, and its JSON.
fn all_lines() -> Vec<String> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../trials");
    let files =
        std::fs::read_dir(directory).expect("the plan files").map(|entry| entry.expect("a file").path());
    let mut files: Vec<_> =
        files.filter(|path| path.extension().is_some_and(|extension| extension == "json")).collect();
    files.sort();
    let mut lines = Vec::new();
    for path in files {
        let plan = parse(&std::fs::read_to_string(&path).expect("a plan file"));
        lines.push(format!("{} {}", path.file_stem().expect("a name").to_string_lossy(), to_json(&plan)));
    }
    for seed in 1..=6 {
        lines.push(format!("random-{seed} {}", to_json(&Plan::random(seed, 5, seed % 2 == 0))));
    }
    for seed in 1..=2 {
        lines.push(format!("storm-{seed} {}", to_json(&Plan::repeated_faults(seed, 5, 6, seed % 2 == 0))));
    }
    lines
}

#[test]
fn plans_round_trip_in_the_golden_format() {
    let lines = all_lines();
    let golden: Vec<&str> = GOLDEN.lines().collect();
    for (line, expected) in lines.iter().zip(&golden) {
        assert_eq!(line, expected);
    }
    assert_eq!(lines.len(), golden.len(), "{:#?}", &lines[golden.len().min(lines.len())..]);
    for (name, text) in golden.iter().map(|line| line.split_once(' ').expect("a name and a plan")) {
        assert_eq!(to_json(&parse(text)), text, "{name}");
    }
}

/// Covers the names of steps, injected faults and membership states. The files in `trials/` cover link faults and the
/// behaviors of misbehaving peers.
#[test]
fn every_name_in_a_plan_file_round_trips() {
    let plan = |rest: &str| format!(r#"{{"name":"x","processes":3,"steps":[]{rest}}}"#);
    let step = |step: &str| format!(r#"{{"name":"x","processes":3,"steps":[{step}]}}"#);
    let assert_round_trip = |text: &str| {
        assert_eq!(to_json(&serde_json::from_str::<Plan>(text).expect(text)), with_defaults(text))
    };
    for name in
        ["double_runs", "mute_discovery", "double_answers", "lost_answers", "secret_kill", "tight_limits"]
    {
        assert_round_trip(&plan(&format!(r#","planted":"{name}""#)));
    }
    for held in ["alive", "doubted", "gone", "left"] {
        assert_round_trip(&step(&format!(r#"{{"await":{{"at":"n1","of":["n2","n3"],"held":"{held}"}}}}"#)));
        assert_round_trip(&step(&format!(r#"{{"never":{{"at":"all","of":"n2","held":"{held}"}}}}"#)));
    }
    for name in ["kill", "stop", "continue", "terminate", "restart", "linked", "double", "kill_double"] {
        assert_round_trip(&step(&format!(r#"{{"{name}":"n1"}}"#)));
    }
    for name in [r#""heal""#, r#""mark""#, r#""crowd_leaves""#] {
        assert_round_trip(&step(name));
    }
    for name in ["pass_ms", "drain", "cold", "answered"] {
        assert_round_trip(&step(&format!(r#"{{"{name}":1}}"#)));
    }
    assert_round_trip(&step(r#"{"discovery_down":true}"#));
    assert_round_trip(&step(r#"{"crowd":{"to":"n1","clients":4}}"#));
    for name in ["logged", "not_logged"] {
        assert_round_trip(&step(&format!(r#"{{"{name}":{{"at":"n1","text":"words"}}}}"#)));
    }
}

/// Adds the default values that serialization writes.
fn with_defaults(text: &str) -> String {
    let limits =
        r#""hosts":3,"load":10,"work_ms":2,"limits":{"descriptors":512,"memory_mb":64,"cold_parts":60},"#;
    let (head, rest) = text.split_once(r#""steps":"#).expect("steps");
    match rest.split_once(r#"],"planted":"#) {
        Some((steps, planted)) => {
            let planted = planted.strip_suffix('}').expect("the closing brace");
            format!(r#"{head}{limits}"planted":{planted},"steps":{steps}]}}"#)
        }
        None => format!(r#"{head}{limits}"steps":{rest}"#),
    }
}

#[test]
fn syntax_errors_and_unknown_names_are_rejected() {
    let error = |text: &str| Plan::read(text).err().map(|error| error.to_string()).expect("an error");
    assert_eq!(error("{"), "EOF while parsing an object at line 1 column 1");
    assert_eq!(error(r#"{"name":"x","processes":3,"steps":[],"other":1}"#), "unknown field `other`, expected one of `name`, `processes`, `hosts`, `load`, `work_ms`, `limits`, `lists`, `handover`, `planted`, `steps` at line 1 column 44");
    assert_eq!(error(r#"{"name":"x","processes":3,"steps":["jump"]}"#), "unknown variant `jump`, expected one of `kill`, `stop`, `continue`, `terminate`, `restart`, `double`, `kill_double`, `fault`, `heal`, `await`, `linked`, `logged`, `not_logged`, `never`, `mark`, `pass_ms`, `drain`, `cold`, `discovery_down`, `stranger`, `crowd`, `crowd_leaves`, `answered` at line 1 column 41");
    assert_eq!(error(r#"{"name":"x","processes":0,"steps":[]}"#), "processes is 0, not 1 to 16");
}
