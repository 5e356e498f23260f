//! The adapter process with handwritten input lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ENV: &str = r#"{"Instances":2,"TickUs":5000,"MembershipMode":"automatic","New":{"key":1},
"Classes":[{"Name":"find","AimUs":2000000,"DeadlineUs":6000000,"LateValue":0.1,"Semantics":"free","Worth":3}],
"FamilyInfo":{"ClassFloor":[1],"CompleteFrom":[1],"ClassPartial":[0.9],"FollowUp":[0],"OverheadUs":0,
"PartsACall":1,"Places":2,"Width":2,"Shards":2},
"Limits":{"Cancel":true,"Probing":true,"SecondCopies":true,"RetryAfter":true,"MaxAttempts":3,
"MaxRetryAfterUs":1000000},
"Safety":{"ColdFrom":0.2,"WarmWithinUs":9000000,"TipMultiple":3,"FallUs":2000000}}"#;
const QUERY: &str = "5d3a91c4-2572-45da-a42e-edcdda366f3e";
const PART: &str = "0e6f2b19-eb8a-4746-aa3a-97cf27f007ea";

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mallowgauge-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("a pipe");
    // The adapter may stop at an invalid line before all lines are written.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Lines that begin a batch, start instance 3 and give it an endpoint list.
fn start_lines() -> Vec<String> {
    let env = ENV.replace('\n', "");
    vec![
        r#"["Turn",1000]"#.to_owned(),
        format!(r#"["Begin",3,77,{env}]"#),
        r#"["Register",0,[["node_a","z",null,0,"ready",1,null],["node_b","z","k",1,"ready",1,0]]]"#
            .to_owned(),
        r#"["Sync",3,"Persisted",1,0]"#.to_owned(),
    ]
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_query_goes_from_arrival_to_answer() {
    let mut lines = start_lines();
    lines.push(format!(r#"["Incoming",3,"{QUERY}","find",null,null,4000000,null,9,-1,1,0]"#));
    lines.push(format!(r#"["Incoming",3,"{PART}","find",null,null,4000000,null,9,0,1.0,0]"#));
    lines.push(r#"["Commit"]"#.to_owned());
    lines.push(r#"["Turn",90000]"#.to_owned());
    lines.push(format!(r#"["Outcome",3,"{PART}",0,"node_a","pass",80000,true,null]"#));
    lines.push(r#"["Commit"]"#.to_owned());
    let output = run(&lines);
    let reply = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(reply.contains(&format!(r#"["SubmitTo",3,"{PART}",4000000,"node_"#)), "{reply}");
    assert!(reply.contains(&format!(r#"["GatherUp",3,"{QUERY}",true]"#)), "{reply}");
    assert_eq!(reply.matches(r#"["Eor"]"#).count(), 2);
}

#[test]
fn empty_batches_and_messages_about_unknown_queries_get_empty_replies() {
    let mut lines = vec![r#"["Turn",1]"#.to_owned(), r#"["Commit"]"#.to_owned()];
    lines.extend(start_lines());
    lines.push(format!(r#"["Left",3,"{QUERY}"]"#));
    lines.push(format!(r#"["Outcome",3,"{PART}",0,"node_a","cut",1,true,null]"#));
    lines.push(r#"["Ring",3,"old"]"#.to_owned());
    lines.push(r#"["Message",3,1,"6869"]"#.to_owned());
    lines.push(r#"["PowerOff",3]"#.to_owned());
    lines.push(r#"["Commit"]"#.to_owned());
    let output = run(&lines);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout), "[\"Eor\"]\n[\"Eor\"]\n");
}

#[test]
fn invalid_lines_get_one_error_line_and_a_failure_status() {
    let query = format!(r#"["Incoming",3,"{QUERY}","nope",null,null,4000000,null,9,-1,1,0]"#);
    let broken = start_lines()[1].replace(r#""Places":2"#, r#""Places":0"#);
    let missing = start_lines()[1].replace(r#""TickUs":5000,"#, "");
    let uneven = start_lines()[1].replace(r#""ClassFloor":[1]"#, r#""ClassFloor":[1,1]"#);
    let entry = |fields: &str| format!(r#"["Register",1,[[{fields}]]]"#);
    let id = format!(r#"["Left",3,"{QUERY}"]"#);
    let part = format!(r#"["Incoming",3,"{PART}","find",null,null,4000000,null,9,SLAB,1.0,0]"#);
    let outcome = format!(r#"["Outcome",3,"{PART}",0,"node_a","pass",80000,true,null]"#);
    let cases = [
        (r#"["Ring",3,"#.to_owned(), "not valid JSON"),
        (r#"["Ring",4,"x"]"#.to_owned(), "no instance 4"),
        (r#"["Ring",3]"#.to_owned(), "Name is missing"),
        (r#"["Ring","3","x"]"#.to_owned(), "Router is not a whole number"),
        (r#"["Left",3,"short"]"#.to_owned(), "not a request id"),
        (r#"["Sync",3,"Complete",1,7]"#.to_owned(), "no list 7"),
        (r#"{"a":1}"#.to_owned(), "not an array"),
        (query, "class nope is unknown"),
        (broken, "layout.cells is zero"),
        (missing, "TickUs is missing"),
        (uneven, "ClassFloor is not as long as Classes"),
        (r#"["Turn",5]"#.to_owned(), "no Commit"),
        (r#"["Turn",5]"#.to_owned(), "line 5: Turn: the batch before it has no Commit"),
        (r#"[]"#.to_owned(), "line 5: no message name"),
        (r#"["PowerOff",4]"#.to_owned(), "line 5: PowerOff: no instance 4"),
        (r#"["Register",1,7]"#.to_owned(), "line 5: Register: Records is not an array"),
        (r#"["Register",1,[7]]"#.to_owned(), "line 5: Register: an entry is not an array"),
        (entry(r#""n",null,null,0,"lost",1,null"#), "Register: Phase is none of ready, draining, gone"),
        (entry(r#""n",null,null,-1,"ready",1,null"#), "Register: SlotNo is not a small whole number"),
        (entry(r#""n",null,null,0,"ready",1,"x""#), "Register: LastStartUs is not a whole number"),
        (entry(r#"7,null,null,0,"ready",1,null"#), "Register: Node is not a text"),
        (r#"["Sync",3,"Half",1,0]"#.to_owned(), "Sync: Mode Half is unknown"),
        (id.replace("-", ""), "is not a request id in its canonical form"),
        (part.replace("SLAB", "0.5"), "Incoming: Slab is not a whole number"),
        (part.replace(r#""find""#, "1").replace("SLAB", "-1"), "Incoming: Cls is not a text"),
        (outcome.replace("pass", "odd"), "Outcome: Rc odd is unknown"),
        (outcome.replace(",0,", ",-1,"), "Outcome: Copy is not a whole number"),
    ];
    for (line, message) in cases {
        let mut lines = start_lines();
        lines.push(line.clone());
        lines.push(r#"["Commit"]"#.to_owned());
        let output = run(&lines);
        let error = text(&output.stderr);
        assert!(!output.status.success(), "{line}");
        assert!(error.contains("line 5: ") && error.contains(message), "{line}: {error}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(output.stdout.is_empty(), "only complete replies are written");
    }
}

#[test]
fn input_that_ends_inside_a_batch_is_an_error() {
    let output = run(&start_lines());
    assert!(!output.status.success());
    assert!(text(&output.stderr).contains("ends inside a batch"));
}
