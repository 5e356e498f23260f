//! Plan files in and out: each file of `trials/` is read, and plans are written, as `golden/plans.txt` holds them.

use mallowgauge_lab::plan::Plan;

const GOLDEN: &str = include_str!("golden/plans.txt");

fn written(plan: &Plan) -> String {
    serde_json::to_string(plan).expect("a plan as JSON")
}

fn read(text: &str) -> Plan {
    Plan::read(text).unwrap_or_else(|why| panic!("{why}: {text}"))
}

/// A line for each plan: where it is from, and its JSON.
fn all_lines() -> Vec<String> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../trials");
    let files = std::fs::read_dir(folder).expect("the plan files").map(|entry| entry.expect("a file").path());
    let mut files: Vec<_> = files.filter(|path| path.extension().is_some_and(|end| end == "json")).collect();
    files.sort();
    let mut lines = Vec::new();
    for path in files {
        let plan = read(&std::fs::read_to_string(&path).expect("a plan file"));
        lines.push(format!("{} {}", path.file_stem().expect("a name").to_string_lossy(), written(&plan)));
    }
    for seed in 1..=6 {
        lines.push(format!("random-{seed} {}", written(&Plan::random(seed, 5, seed % 2 == 0))));
    }
    for seed in 1..=2 {
        lines.push(format!("storm-{seed} {}", written(&Plan::storm(seed, 5, 6, seed % 2 == 0))));
    }
    lines
}

#[test]
fn plans_are_read_and_written_as_ever() {
    let lines = all_lines();
    let golden: Vec<&str> = GOLDEN.lines().collect();
    for (line, held) in lines.iter().zip(&golden) {
        assert_eq!(line, held);
    }
    assert_eq!(lines.len(), golden.len(), "{:#?}", &lines[golden.len().min(lines.len())..]);
    for (name, text) in golden.iter().map(|line| line.split_once(' ').expect("a name and a plan")) {
        assert_eq!(written(&read(text)), text, "{name}");
    }
}

/// Steps, planted faults and member states, by their names in the file; faults on links and acts stand in `trials/`.
#[test]
fn every_name_of_a_plan_file_is_known() {
    let plan = |rest: &str| format!(r#"{{"name":"x","processes":3,"steps":[]{rest}}}"#);
    let step = |step: &str| format!(r#"{{"name":"x","processes":3,"steps":[{step}]}}"#);
    let same = |text: &str| {
        assert_eq!(written(&serde_json::from_str::<Plan>(text).expect(text)), text_in_full(text))
    };
    for name in
        ["double_runs", "mute_discovery", "double_answers", "lost_answers", "secret_kill", "tight_limits"]
    {
        same(&plan(&format!(r#","planted":"{name}""#)));
    }
    for held in ["alive", "doubted", "gone", "left"] {
        same(&step(&format!(r#"{{"await":{{"at":"n1","of":["n2","n3"],"held":"{held}"}}}}"#)));
        same(&step(&format!(r#"{{"never":{{"at":"all","of":"n2","held":"{held}"}}}}"#)));
    }
    for one in ["kill", "stop", "continue", "terminate", "restart", "linked", "double", "kill_double"] {
        same(&step(&format!(r#"{{"{one}":"n1"}}"#)));
    }
    for one in [r#""heal""#, r#""mark""#, r#""crowd_leaves""#] {
        same(&step(one));
    }
    for one in ["pass_ms", "drain", "cold", "answered"] {
        same(&step(&format!(r#"{{"{one}":1}}"#)));
    }
    same(&step(r#"{"discovery_down":true}"#));
    same(&step(r#"{"crowd":{"to":"n1","clients":4}}"#));
    for one in ["logged", "not_logged"] {
        same(&step(&format!(r#"{{"{one}":{{"at":"n1","text":"words"}}}}"#)));
    }
}

/// A plan with the defaults that the program writes out.
fn text_in_full(text: &str) -> String {
    let limits =
        r#""hosts":3,"load":10,"work_ms":2,"limits":{"descriptors":512,"memory_mb":64,"cold_parts":60},"#;
    let (head, rest) = text.split_once(r#""steps":"#).expect("steps");
    match rest.split_once(r#"],"planted":"#) {
        Some((steps, planted)) => {
            let planted = planted.strip_suffix('}').expect("an end");
            format!(r#"{head}{limits}"planted":{planted},"steps":{steps}]}}"#)
        }
        None => format!(r#"{head}{limits}"steps":{rest}"#),
    }
}

#[test]
fn unknown_names_are_errors() {
    let error = |text: &str| Plan::read(text).err().map(|why| why.to_string()).expect("no plan");
    assert_eq!(error("{"), "EOF while parsing an object at line 1 column 1");
    assert_eq!(error(r#"{"name":"x","processes":3,"steps":[],"other":1}"#), "unknown field `other`, expected one of `name`, `processes`, `hosts`, `load`, `work_ms`, `limits`, `lists`, `handover`, `planted`, `steps` at line 1 column 44");
    assert_eq!(error(r#"{"name":"x","processes":3,"steps":["jump"]}"#), "unknown variant `jump`, expected one of `kill`, `stop`, `continue`, `terminate`, `restart`, `double`, `kill_double`, `fault`, `heal`, `await`, `linked`, `logged`, `not_logged`, `never`, `mark`, `pass_ms`, `drain`, `cold`, `discovery_down`, `stranger`, `crowd`, `crowd_leaves`, `answered` at line 1 column 41");
    assert_eq!(error(r#"{"name":"x","processes":0,"steps":[]}"#), "processes is 0, not 1 to 16");
}
