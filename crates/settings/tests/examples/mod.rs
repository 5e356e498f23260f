//! Valid inputs, which the tests modify, and temporary files.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::{json, Value};

/// Returns an endpoint list in the format of discovery.
pub fn list() -> Value {
    json!({"generation": 4, "reset": true, "instances": [
        {"instanceId": "é-1", "hostPort": "127.0.0.1:7070", "zone": "z", "machineType": "m", "cell": 0,
         "lifecycle": "active", "weight": 1.0, "startedAtMs": 12},
        {"instanceId": "two", "hostPort": "127.0.0.1:7071", "zone": "z", "machineType": "m", "cell": 1,
         "lifecycle": "leaving", "weight": 1.0, "startedAtMs": 0},
        {"instanceId": "three", "lifecycle": "left"}]})
}

/// Returns the content of a platform's file.
pub fn platform() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "AimUs": 900_000, "DeadlineUs": 2_000_000, "LateValue": 0.2, "Semantics": effect,
               "WindowUs": 700_000, "Worth": 1.0, "AimStretch": 0.5})
    };
    let settings = json!({
        "Az": "b", "Azs": ["a", "b"], "Instances": 3, "TickUs": 4000, "MembershipMode": "automatic",
        "Charges": {"CrossZone": 0.1},
        "Classes": [class("p", "free"), class("q", "guarded"), class("r", "single_shot")],
        "FamilyInfo": {"ClassFloor": [1.0, 0.5, 1.0], "ClassPartial": [0.9, 0.9, 0.9], "CompleteFrom": [1.0, 0.8, 1.0],
            "FollowUp": [0, 0, 0], "OverheadUs": 100, "PartsACall": 4, "Places": 5, "Shards": 10, "Width": 2},
        "Limits": {"Cancel": true, "ConnIdleUs": 1_000_000, "DialTimeoutUs": 250_000, "MaxAttempts": 3, "MaxOpen": 20,
            "MaxRetryAfterUs": 2_000_000, "MaxStreams": 8, "Probing": true, "RetryAfter": true, "SecondCopies": true},
        "Safety": {"AskWithinUs": 10_000_000, "ColdFrom": 0.2, "FallUs": 900_000, "TipMultiple": 3.0,
            "WarmWithinUs": 9_000_000, "ResendRatio": 0.3, "BudgetFree": 2.0, "LookBackUs": 5_000_000}});
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "known": list(), "settings": settings})
}

/// Returns the content of an operator's file with all sections.
pub fn operator() -> Value {
    json!({"flight": {"listen": "127.0.0.1:0", "hosts": ["x"], "ticket_s": 60, "token_s": 60},
           "phases": {"rule": {"share": 0.5}, "sketches": 10, "sketch_ms": 100},
           "fleet": {"name": "n1", "group": 3, "listen": "127.0.0.1:0", "peers": {"version": 1, "list": [
               {"name": "n1", "address": "127.0.0.1:7401"}, {"name": "n2", "address": "127.0.0.1:7402"},
               {"name": "n3", "address": "127.0.0.1:7403"}]}},
           "log": {"format": "json"}})
}

/// A uniquely named file in the temporary folder, removed on drop.
pub struct File(PathBuf);

impl File {
    /// Creates a file with this content.
    pub fn with_content(content: &[u8]) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("mallowgauge-bad-input-{}-{number}", std::process::id()));
        std::fs::write(&path, content).expect("a file in the temporary folder");
        Self(path)
    }

    /// Returns the path.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("a UTF-8 path")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
