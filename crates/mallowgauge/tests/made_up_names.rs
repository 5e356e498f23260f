//! The program knows no class, host, zone, tenant or gatherer by name: with names that nobody uses, odd and long ones
//! among them, each class is answered; and no source of the programs holds a name of the platform's.

use std::path::{Path, PathBuf};
use std::time::Duration;

use mallowgauge_testkit::manual_peers::{accept, accept_within, query, TestBed};
use serde_json::json;

/// Longer than any name that the platform gives, and still inside the head of a request.
fn long(text: &str) -> String {
    text.repeat(4_000 / text.len())
}

fn played(mode: &str) {
    let classes = ["qX7~vd.0", "Überfahrt-£9", "日本の予約", &long("wjq0"), &long("ž"), "0"];
    let effects = ["free", "guarded", "single_shot"];
    let class = |(at, name): (usize, &&str)| {
        json!({"Name": name, "AimUs": 1_500_000, "DeadlineUs": 4_000_000, "LateValue": 0.3,
               "Semantics": effects[at % effects.len()], "WindowUs": 2_000_000, "Worth": 1.0})
    };
    let names = [long("ß-7"), "h;{}\"\\ 0x".to_owned(), "主机".to_owned()];
    let zones = ["zq/ö?1", &long("Zz"), "Ω"];
    let mut rig = TestBed::start(names.len(), |file| {
        let count = classes.len();
        file["name"] = json!("g~é:77");
        let settings = &mut file["settings"];
        settings["Classes"] = classes.iter().enumerate().map(class).collect();
        for (key, value) in
            [("ClassFloor", 1.0), ("ClassPartial", 0.9), ("CompleteFrom", 1.0), ("FollowUp", 0.0)]
        {
            settings["FamilyInfo"][key] = json!(vec![value; count]);
        }
        settings["Azs"] = json!(zones);
        settings["Az"] = json!(zones[1]);
        settings["MembershipMode"] = json!(mode);
        settings["Kinds"] = json!(["kß"]);
        settings["Realms"] = json!([{"Name": "t/é", "QuotaRps": 50.0, "Share": 0.5},
                                    {"Name": long("Жt"), "QuotaRps": 50.0, "Share": 0.5}]);
        for (at, instance) in
            file["known"]["instances"].as_array_mut().expect("a list").iter_mut().enumerate()
        {
            instance["instanceId"] = json!(names[at]);
            instance["zone"] = json!(zones[at]);
            instance["machineType"] = json!("kß");
        }
    });
    // What was pushed so far is asked for before any host is used.
    let _watch = (mode == "automatic").then(|| {
        let mut watch = accept(&rig.discovery);
        watch.head();
        watch.send_endpoint_list(1, false, &[]);
        watch
    });
    for (at, kind) in classes.iter().enumerate() {
        let (id, value) = (format!("q{at}"), format!("værdi {at}"));
        let mut client = rig.client();
        let shard = u32::try_from(at).expect("a small number");
        let ask = query(&id, kind, 3000, &[shard]);
        client.send(ask.replacen("\r\n", &format!("\r\nReq-Owner: {}\r\n", long("Жt")), 1));
        // Whichever host is asked first: each one opens its connection as it is needed.
        let called = || rig.backends.iter().find_map(|host| accept_within(host, Duration::from_millis(20)));
        let mut host = (0..300).find_map(|_| called()).expect("a host is asked");
        let part = host.next_parts().pop().expect("a part");
        assert_eq!((part.id.as_str(), part.shard), (format!("{id}.{shard}").as_str(), shard));
        host.answer_part(&part, "good", &value);
        let (status, body) = client.response().expect("an answer");
        let body: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        let wanted = json!({"total": true, "answers": [{"range": shard, "blob": value}]});
        assert_eq!((status, &body), (200, &wanted), "class {at}");
        // The next class is asked on connections of its own.
        host.reset();
    }
    // A class that the settings do not name is no class, whatever it is called elsewhere.
    let mut client = rig.client();
    client.send(query("other", "search", 3000, &[0]));
    assert_eq!(client.response().map(|(status, _)| status), Some(400));
    rig.program.signal(libc::SIGTERM);
    assert_eq!(rig.wait_for_exit(), Some(0));
}

#[test]
fn each_class_is_answered_with_lists_asked_for() {
    played("subscribe");
}

#[test]
fn each_class_is_answered_with_lists_pushed() {
    played("automatic");
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

/// A line without its comment; a slash pair inside a text ends nothing.
fn code(line: &str) -> &str {
    let mut quoted = false;
    let bytes = line.as_bytes();
    for at in 0..bytes.len() {
        match bytes[at] {
            b'"' if at == 0 || bytes[at - 1] != b'\\' => quoted = !quoted,
            b'/' if !quoted && bytes.get(at + 1) == Some(&b'/') => return &line[..at],
            _ => {}
        }
    }
    line
}

/// The first name of the platform's that stands in a piece of code, as a word of its own or a part of one.
fn name(code: &str) -> Option<String> {
    let lower = code.to_lowercase();
    let words = [
        "search",
        "place-hold",
        "place_hold",
        "placehold",
        "sales-report",
        "sales_report",
        "salesreport",
        "regina",
    ];
    if let Some(word) = words.iter().find(|word| lower.contains(**word)) {
        return Some((*word).to_owned());
    }
    // A host's id: `s-` that goes on from no other word, and six hex digits or more.
    let starts = lower.match_indices("s-").filter(|(at, _)| {
        !lower[..*at].ends_with(|before: char| before.is_ascii_alphanumeric() || before == '_')
    });
    let hex = |(at, _): (usize, &str)| {
        let rest = &lower[at + 2..];
        let digits = rest.len() - rest.trim_start_matches(|c: char| c.is_ascii_hexdigit()).len();
        (digits >= 6).then(|| lower[at..at + 2 + digits].to_owned())
    };
    starts.into_iter().find_map(hex)
}

#[test]
fn no_source_names_a_class_host_or_site() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = vec![root.join("deploy/balancer.toml")];
    for entry in std::fs::read_dir(root.join("crates")).expect("the crates") {
        let path = entry.expect("an entry").path();
        // Stand-ins and experiments are linked into neither program, and may say what they stand for.
        if path.is_dir() && !path.ends_with("testkit") && !path.ends_with("lab") {
            sources(&path.join("src"), &mut files);
        }
    }
    assert!(files.len() > 50, "only {} files", files.len());
    let mut named = Vec::new();
    for path in &files {
        let text = std::fs::read_to_string(path).expect("text");
        for (at, line) in text.lines().enumerate() {
            if let Some(word) = name(code(line)) {
                named.push(format!("{}:{}: {word}", path.display(), at + 1));
            }
        }
    }
    assert!(named.is_empty(), "{named:#?}");
}

#[test]
fn the_search_for_names_finds_them() {
    for planted in [
        r#"if class == "search" {"#,
        "const REGINA: u32 = 1;",
        r#"("http://x", "place-hold")"#,
        "SalesReport",
        r#"let id = "s-5be2a07c"; // a host"#,
        "regina-main",
    ] {
        assert!(name(code(planted)).is_some(), "{planted}");
    }
    for sound in
        [r#"let id = "s-"; // s-5be2a07c"#, "/// search", "let hosts-5be2a07c", "a.sort(); // regina"]
    {
        assert_eq!(name(code(sound)), None, "{sound}");
    }
}
