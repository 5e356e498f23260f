//! Reads the settings object, which the adapter and the gatherer are both given.

use serde_json::Value;

use mallowgauge_router::*;

/// What the settings say of the site, with the names that go with the router's numbers.
pub struct Site {
    /// What the router is told.
    pub settings: Settings,
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Names of the zones, in order.
    pub zones: Vec<String>,
}

/// The zone of that name; `None` for one that the settings do not name.
pub fn zone(zones: &[String], name: &str) -> Option<ZoneId> {
    zones.iter().position(|known| known == name).and_then(|at| u32::try_from(at).ok()).map(ZoneId)
}

/// A whole number below 2^32.
pub fn small(value: &Value) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok())
}

/// A settings object and the path that leads to it.
pub struct Section<'a> {
    /// The object.
    pub value: &'a Value,
    path: String,
}

impl<'a> Section<'a> {
    /// The whole object.
    ///
    /// # Errors
    /// Any other value than an object.
    pub fn root(value: &'a Value) -> Result<Self, String> {
        if value.is_object() {
            Ok(Section { value, path: String::new() })
        } else {
            Err(" is not an object".to_owned())
        }
    }

    /// The object under a key.
    ///
    /// # Errors
    /// Names the key.
    pub fn sub(&self, key: &str) -> Result<Section<'a>, String> {
        let value = self.value.get(key).filter(|v| v.is_object());
        let path = format!("{}{key}.", self.path);
        value.map(|value| Section { value, path }).ok_or_else(|| self.bad(key, "an object"))
    }

    /// The message for a key that does not hold what it should.
    pub fn bad(&self, key: &str, what: &str) -> String {
        let found = if self.value.get(key).is_some() { "is not" } else { "is missing; it should be" };
        format!(".{}{key} {found} {what}", self.path)
    }

    /// A whole number.
    ///
    /// # Errors
    /// Names the key.
    pub fn int(&self, key: &str) -> Result<u64, String> {
        self.value.get(key).and_then(Value::as_u64).ok_or_else(|| self.bad(key, "a whole number"))
    }

    /// A whole number below 2^32.
    ///
    /// # Errors
    /// Names the key.
    pub fn int32(&self, key: &str) -> Result<u32, String> {
        self.value.get(key).and_then(small).ok_or_else(|| self.bad(key, "a small whole number"))
    }

    /// A number.
    ///
    /// # Errors
    /// Names the key.
    pub fn number(&self, key: &str) -> Result<f64, String> {
        self.value.get(key).and_then(Value::as_f64).ok_or_else(|| self.bad(key, "a number"))
    }

    /// True or false.
    ///
    /// # Errors
    /// Names the key.
    pub fn flag(&self, key: &str) -> Result<bool, String> {
        self.value.get(key).and_then(Value::as_bool).ok_or_else(|| self.bad(key, "true or false"))
    }

    /// A text.
    ///
    /// # Errors
    /// Names the key.
    pub fn text(&self, key: &str) -> Result<&'a str, String> {
        self.value.get(key).and_then(Value::as_str).ok_or_else(|| self.bad(key, "a text"))
    }

    /// A list.
    ///
    /// # Errors
    /// Names the key.
    pub fn list(&self, key: &str) -> Result<&'a [Value], String> {
        self.value
            .get(key)
            .and_then(Value::as_array)
            .map(Vec::as_slice)
            .ok_or_else(|| self.bad(key, "a list"))
    }

    /// Figures of the classes, in the order of the classes.
    fn per_class(&self, key: &str, classes: usize) -> Result<Vec<f64>, String> {
        let list = self.list(key)?;
        if list.len() != classes {
            return Err(self.bad(key, "as long as Classes"));
        }
        list.iter().map(|v| v.as_f64().ok_or_else(|| self.bad(key, "a list of numbers"))).collect()
    }
}

impl Site {
    /// Reads the settings object that an instance is given.
    ///
    /// # Errors
    /// Names the first key that does not hold what it should.
    pub fn read(env: &Value) -> Result<Self, String> {
        let env = Section::root(env)?;
        let (family, limits, rules) = (env.sub("FamilyInfo")?, env.sub("Limits")?, env.sub("Safety")?);
        let list = env.list("Classes")?;
        let floor = family.per_class("ClassFloor", list.len())?;
        let need = family.per_class("CompleteFrom", list.len())?;
        let partial = family.per_class("ClassPartial", list.len())?;
        let second = family.per_class("FollowUp", list.len())?;
        let (mut classes, mut names) = (Vec::new(), Vec::new());
        let listed = env.value.get("Azs").and_then(Value::as_array);
        let zones: Vec<String> =
            listed.into_iter().flatten().filter_map(|name| name.as_str().map(str::to_owned)).collect();
        for (i, value) in list.iter().enumerate() {
            let class = Section { value, path: format!("Classes[{i}].") };
            names.push(class.text("Name")?.to_owned());
            classes.push(Class {
                latency_objective: class.int("AimUs")?,
                objective_per_work: class.number("AimStretch").unwrap_or(0.0),
                deadline: class.int("DeadlineUs")?,
                late_value: class.number("LateValue")?,
                idempotency: match class.text("Semantics")? {
                    "free" => Idempotency::Idempotent,
                    "guarded" => Idempotency::Keyed { dedup_window: class.int("WindowUs")? },
                    "single_shot" => Idempotency::NonIdempotent,
                    _ => return Err(class.bad("Semantics", "one of free, guarded, single_shot")),
                },
                minimum_completeness: floor[i],
                required_completeness: need[i],
                partial_value: partial[i],
                second_step_parts: second[i] as u32,
            });
        }
        let budget = match rules.value.get("LookBackUs") {
            Some(Value::Number(_)) if rules.value.get("ResendRatio").is_some_and(Value::is_number) => {
                Some(RetryBudgetSettings {
                    min_retries: rules.number("BudgetFree").unwrap_or(0.0),
                    retry_ratio: rules.number("ResendRatio")?,
                    window: rules.int("LookBackUs")?,
                })
            }
            _ => None,
        };
        let settings = Settings {
            zone: env.value.get("Az").and_then(Value::as_str).and_then(|name| zone(&zones, name)),
            cross_zone_costs: env
                .sub("Charges")
                .is_ok_and(|c| c.number("CrossZone").is_ok_and(|price| price > 0.0)),
            routers: env.int32("Instances")?,
            batch_interval: env.int("TickUs")?,
            classes,
            layout: ShardLayout {
                ring_positions: family.int32("Places")?,
                replication_factor: family.int32("Width")?,
                parts_per_call: family.int32("PartsACall")?,
                call_work: family.int("OverheadUs")?,
            },
            limits: DeploymentLimits {
                cancellation: limits.flag("Cancel")?,
                health_checks: limits.flag("Probing")?,
                hedging: limits.flag("SecondCopies")?,
                max_attempts: limits.int32("MaxAttempts")?,
                max_retry_after: if limits.flag("RetryAfter")? { limits.int("MaxRetryAfterUs")? } else { 0 },
            },
            rules: RuleSettings {
                initial_capacity: rules.number("ColdFrom")?,
                warm_up_time: rules.int("WarmWithinUs")?,
                overload_multiple: rules.number("TipMultiple")?,
                overload_window: rules.int("FallUs")?,
                retry_budget: budget,
                max_poll_interval: rules.int("AskWithinUs").unwrap_or(0),
            },
            discovery: match env.text("MembershipMode")? {
                "automatic" => Discovery::Push,
                "subscribe" => Discovery::Poll,
                _ => return Err(env.bad("MembershipMode", "one of automatic, subscribe")),
            },
        };
        Ok(Site { settings, classes: names, zones })
    }
}
