//! Checks that the program depends on no name of a class, backend, zone, tenant or instance: every class is answered
//! under invented names, including long and unusual ones, and no source file of the programs contains a name of the
//! platform.

use std::path::{Path, PathBuf};
use std::time::Duration;

use mallowgauge_testkit::manual_peers::{accept, accept_within, query, TestBed};
use serde_json::json;

/// Repeats the text to a name that is longer than any of the platform's and still fits into a request head.
fn long_name(text: &str) -> String {
    text.repeat(4_000 / text.len())
}

/// Starts the program with invented names and checks that it answers a query of each class.
fn check_each_class_is_answered(membership_mode: &str) {
    let classes = ["qX7~vd.0", "Überfahrt-£9", "日本の予約", &long_name("wjq0"), &long_name("ž"), "0"];
    let semantics = ["free", "guarded", "single_shot"];
    let class = |(index, name): (usize, &&str)| {
        json!({"Name": name, "AimUs": 1_500_000, "DeadlineUs": 4_000_000, "LateValue": 0.3,
               "Semantics": semantics[index % semantics.len()], "WindowUs": 2_000_000, "Worth": 1.0})
    };
    let names = [long_name("ß-7"), "h;{}\"\\ 0x".to_owned(), "主机".to_owned()];
    let zones = ["zq/ö?1", &long_name("Zz"), "Ω"];
    let mut test_bed = TestBed::start(names.len(), |file| {
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
        settings["MembershipMode"] = json!(membership_mode);
        settings["Kinds"] = json!(["kß"]);
        settings["Realms"] = json!([{"Name": "t/é", "QuotaRps": 50.0, "Share": 0.5},
                                    {"Name": long_name("Жt"), "QuotaRps": 50.0, "Share": 0.5}]);
        for (index, instance) in
            file["known"]["instances"].as_array_mut().expect("a list").iter_mut().enumerate()
        {
            instance["instanceId"] = json!(names[index]);
            instance["zone"] = json!(zones[index]);
            instance["machineType"] = json!("kß");
        }
    });
    // In this mode the program requests the list that was pushed so far before it uses any backend.
    let _watch_connection = (membership_mode == "automatic").then(|| {
        let mut watch = accept(&test_bed.discovery);
        watch.head();
        watch.send_endpoint_list(1, false, &[]);
        watch
    });
    for (index, kind) in classes.iter().enumerate() {
        let (id, value) = (format!("q{index}"), format!("værdi {index}"));
        let mut client = test_bed.client();
        let shard = u32::try_from(index).expect("a small number");
        let request = query(&id, kind, 3000, &[shard]);
        client.send(request.replacen("\r\n", &format!("\r\nReq-Owner: {}\r\n", long_name("Жt")), 1));
        // Any backend may get the part; the program connects to a backend when it needs it.
        let accept_any = || {
            test_bed.backends.iter().find_map(|listener| accept_within(listener, Duration::from_millis(20)))
        };
        let mut backend = (0..300).find_map(|_| accept_any()).expect("a connection to a backend");
        let part = backend.next_parts().pop().expect("a part");
        assert_eq!((part.id.as_str(), part.shard), (format!("{id}.{shard}").as_str(), shard));
        backend.answer_part(&part, "good", &value);
        let (status, body) = client.response().expect("an answer");
        let body: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        let expected = json!({"total": true, "answers": [{"range": shard, "blob": value}]});
        assert_eq!((status, &body), (200, &expected), "class {index}");
        // The next class starts with new connections.
        backend.reset();
    }
    // A class that is not in the settings is unknown, also if the platform uses its name.
    let mut client = test_bed.client();
    client.send(query("other", "search", 3000, &[0]));
    assert_eq!(client.response().map(|(status, _)| status), Some(400));
    test_bed.program.signal(libc::SIGTERM);
    assert_eq!(test_bed.wait_for_exit(), Some(0));
}

#[test]
fn each_class_is_answered_with_requested_endpoint_lists() {
    check_each_class_is_answered("subscribe");
}

#[test]
fn each_class_is_answered_with_pushed_endpoint_lists() {
    check_each_class_is_answered("automatic");
}

/// Collects the Rust source files of a folder.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

/// Removes the comment from a line. Two slashes inside a string literal start no comment.
fn without_comment(line: &str) -> &str {
    let mut quoted = false;
    let bytes = line.as_bytes();
    for index in 0..bytes.len() {
        match bytes[index] {
            b'"' if index == 0 || bytes[index - 1] != b'\\' => quoted = !quoted,
            b'/' if !quoted && bytes.get(index + 1) == Some(&b'/') => return &line[..index],
            _ => {}
        }
    }
    line
}

/// Returns the first name of the platform in the code, as a whole word or as a part of one.
fn find_platform_name(code: &str) -> Option<String> {
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
    // A backend's id: `s-` at the start of a word, then six or more hex digits.
    let starts = lower.match_indices("s-").filter(|(start, _)| {
        !lower[..*start].ends_with(|before: char| before.is_ascii_alphanumeric() || before == '_')
    });
    let backend_id = |(start, _): (usize, &str)| {
        let rest = &lower[start + 2..];
        let digits = rest.len() - rest.trim_start_matches(|c: char| c.is_ascii_hexdigit()).len();
        (digits >= 6).then(|| lower[start..start + 2 + digits].to_owned())
    };
    starts.into_iter().find_map(backend_id)
}

#[test]
fn no_source_file_names_a_class_backend_or_site() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = vec![root.join("deploy/balancer.toml")];
    for entry in std::fs::read_dir(root.join("crates")).expect("the crates") {
        let path = entry.expect("an entry").path();
        // Test tooling and experiments are not linked into the programs and may use the platform's names.
        if path.is_dir() && !path.ends_with("testkit") && !path.ends_with("lab") {
            collect_sources(&path.join("src"), &mut files);
        }
    }
    assert!(files.len() > 50, "only {} files", files.len());
    let mut violations = Vec::new();
    for path in &files {
        let text = std::fs::read_to_string(path).expect("text");
        for (index, line) in text.lines().enumerate() {
            if let Some(word) = find_platform_name(without_comment(line)) {
                violations.push(format!("{}:{}: {word}", path.display(), index + 1));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn platform_names_are_found_in_code_and_ignored_in_comments() {
    for forbidden in [
        r#"if class == "search" {"#,
        "const REGINA: u32 = 1;",
        r#"("http://x", "place-hold")"#,
        "SalesReport",
        r#"let id = "s-5be2a07c"; // a host"#,
        "regina-main",
    ] {
        assert!(find_platform_name(without_comment(forbidden)).is_some(), "{forbidden}");
    }
    for allowed in
        [r#"let id = "s-"; // s-5be2a07c"#, "/// search", "let hosts-5be2a07c", "a.sort(); // regina"]
    {
        assert_eq!(find_platform_name(without_comment(allowed)), None, "{allowed}");
    }
}
