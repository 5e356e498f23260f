//! The `settings` object, which both the server and the simulator adapter read. The platform's names for its keys
//! appear only here and, for the keys that only the server reads, in `platform`.

use mallowgauge_router::{
    Class, DeploymentLimits, Discovery, Idempotency, RetryBudgetSettings, RuleSettings, Settings,
    ShardLayout, ZoneId,
};
use serde_json::Value;

use crate::error::SiteError;

/// The settings of the site, with the names for the router's class and zone numbers.
pub struct Site {
    /// The router's settings.
    pub settings: Settings,
    /// The names of the classes, by class number.
    pub classes: Vec<String>,
    /// The names of the zones, by zone number.
    pub zones: Vec<String>,
}

/// Returns the zone of that name; `None` if the settings do not have it.
pub fn find_zone(zones: &[String], name: &str) -> Option<ZoneId> {
    zones.iter().position(|known| known == name).and_then(|at| u32::try_from(at).ok()).map(ZoneId)
}

/// Converts a JSON value to a whole number below 2^32.
pub fn parse_u32(value: &Value) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok())
}

/// A settings object and its path.
pub struct Section<'a> {
    /// The object.
    pub value: &'a Value,
    path: String,
}

impl<'a> Section<'a> {
    /// Creates the section of the whole `settings` object.
    ///
    /// # Errors
    /// The value is not an object.
    pub fn root(value: &'a Value) -> Result<Self, SiteError> {
        if value.is_object() {
            Ok(Section { value, path: String::new() })
        } else {
            Err(SiteError::NotAnObject)
        }
    }

    /// Returns the object under a key.
    ///
    /// # Errors
    /// Names the key.
    pub fn sub(&self, key: &str) -> Result<Section<'a>, SiteError> {
        let value = self.value.get(key).filter(|v| v.is_object());
        let path = format!("{}{key}.", self.path);
        value.map(|value| Section { value, path }).ok_or_else(|| self.error(key, "an object"))
    }

    /// Creates the error for a key that is missing or has an unexpected value.
    #[must_use]
    pub fn error(&self, key: &str, expected: &'static str) -> SiteError {
        let path = format!("{}{key}", self.path);
        if self.value.get(key).is_some() {
            SiteError::Unexpected { path, expected }
        } else {
            SiteError::Missing { path, expected }
        }
    }

    /// Reads a whole number.
    ///
    /// # Errors
    /// Names the key.
    pub fn int(&self, key: &str) -> Result<u64, SiteError> {
        self.value.get(key).and_then(Value::as_u64).ok_or_else(|| self.error(key, "a whole number"))
    }

    /// Reads a whole number below 2^32.
    ///
    /// # Errors
    /// Names the key.
    pub fn int32(&self, key: &str) -> Result<u32, SiteError> {
        self.value.get(key).and_then(parse_u32).ok_or_else(|| self.error(key, "a small whole number"))
    }

    /// Reads a number.
    ///
    /// # Errors
    /// Names the key.
    pub fn number(&self, key: &str) -> Result<f64, SiteError> {
        self.value.get(key).and_then(Value::as_f64).ok_or_else(|| self.error(key, "a number"))
    }

    /// Reads a boolean.
    ///
    /// # Errors
    /// Names the key.
    pub fn flag(&self, key: &str) -> Result<bool, SiteError> {
        self.value.get(key).and_then(Value::as_bool).ok_or_else(|| self.error(key, "true or false"))
    }

    /// Reads a string.
    ///
    /// # Errors
    /// Names the key.
    pub fn text(&self, key: &str) -> Result<&'a str, SiteError> {
        self.value.get(key).and_then(Value::as_str).ok_or_else(|| self.error(key, "a text"))
    }

    /// Reads a list.
    ///
    /// # Errors
    /// Names the key.
    pub fn list(&self, key: &str) -> Result<&'a [Value], SiteError> {
        self.value
            .get(key)
            .and_then(Value::as_array)
            .map(Vec::as_slice)
            .ok_or_else(|| self.error(key, "a list"))
    }

    /// Reads a list with one number per class.
    fn per_class(&self, key: &str, classes: usize) -> Result<Vec<f64>, SiteError> {
        let list = self.list(key)?;
        if list.len() != classes {
            return Err(self.error(key, "as long as Classes"));
        }
        list.iter().map(|v| v.as_f64().ok_or_else(|| self.error(key, "a list of numbers"))).collect()
    }
}

impl Site {
    /// Reads the `settings` object.
    ///
    /// # Errors
    /// Names the first key that is missing or has an unexpected value.
    pub fn read(settings: &Value) -> Result<Self, SiteError> {
        let root = Section::root(settings)?;
        let (family, limits, rules) = (root.sub("FamilyInfo")?, root.sub("Limits")?, root.sub("Safety")?);
        let class_values = ClassValues::read(&root, &family)?;
        let zones = read_zones(&root);
        let (names, classes) = class_values.classes()?;
        let retry_budget = read_retry_budget(&rules)?;
        let settings = Settings {
            zone: root.value.get("Az").and_then(Value::as_str).and_then(|name| find_zone(&zones, name)),
            cross_zone_costs: root
                .sub("Charges")
                .is_ok_and(|charges| charges.number("CrossZone").is_ok_and(|price| price > 0.0)),
            routers: root.int32("Instances")?,
            batch_interval: root.int("TickUs")?,
            classes,
            layout: read_layout(&family)?,
            limits: read_limits(&limits)?,
            rules: read_rules(&rules, retry_budget)?,
            discovery: read_discovery(&root)?,
        };
        Ok(Site { settings, classes: names, zones })
    }
}

/// The classes in the form of the settings: one object per class, and lists with one number per class.
struct ClassValues<'a> {
    objects: &'a [Value],
    minimum_completeness: Vec<f64>,
    required_completeness: Vec<f64>,
    partial_value: Vec<f64>,
    second_step_parts: Vec<f64>,
}

impl<'a> ClassValues<'a> {
    fn read(root: &Section<'a>, family: &Section<'_>) -> Result<Self, SiteError> {
        let objects = root.list("Classes")?;
        let per_class = |key| family.per_class(key, objects.len());
        Ok(Self {
            objects,
            minimum_completeness: per_class("ClassFloor")?,
            required_completeness: per_class("CompleteFrom")?,
            partial_value: per_class("ClassPartial")?,
            second_step_parts: per_class("FollowUp")?,
        })
    }

    /// Returns the names and the settings of the classes, in order.
    fn classes(&self) -> Result<(Vec<String>, Vec<Class>), SiteError> {
        let (mut names, mut classes) = (Vec::new(), Vec::new());
        for (index, value) in self.objects.iter().enumerate() {
            let class = Section { value, path: format!("Classes[{index}].") };
            names.push(class.text("Name")?.to_owned());
            classes.push(Class {
                latency_objective: class.int("AimUs")?,
                objective_per_work: class.number("AimStretch").unwrap_or(0.0),
                deadline: class.int("DeadlineUs")?,
                late_value: class.number("LateValue")?,
                idempotency: read_idempotency(&class)?,
                minimum_completeness: self.minimum_completeness[index],
                required_completeness: self.required_completeness[index],
                partial_value: self.partial_value[index],
                second_step_parts: self.second_step_parts[index] as u32,
            });
        }
        Ok((names, classes))
    }
}

fn read_idempotency(class: &Section<'_>) -> Result<Idempotency, SiteError> {
    match class.text("Semantics")? {
        "free" => Ok(Idempotency::Idempotent),
        "guarded" => Ok(Idempotency::Keyed { dedup_window: class.int("WindowUs")? }),
        "single_shot" => Ok(Idempotency::NonIdempotent),
        _ => Err(class.error("Semantics", "one of free, guarded, single_shot")),
    }
}

/// Reads the names of the zones; skips entries that are not strings.
fn read_zones(root: &Section<'_>) -> Vec<String> {
    let listed = root.value.get("Azs").and_then(Value::as_array);
    listed.into_iter().flatten().filter_map(|name| name.as_str().map(str::to_owned)).collect()
}

/// Reads the retry budget, which is set only if both its window and its ratio are numbers.
fn read_retry_budget(rules: &Section<'_>) -> Result<Option<RetryBudgetSettings>, SiteError> {
    let is_number = |key| rules.value.get(key).is_some_and(Value::is_number);
    if !is_number("LookBackUs") || !is_number("ResendRatio") {
        return Ok(None);
    }
    Ok(Some(RetryBudgetSettings {
        min_retries: rules.number("BudgetFree").unwrap_or(0.0),
        retry_ratio: rules.number("ResendRatio")?,
        window: rules.int("LookBackUs")?,
    }))
}

fn read_layout(family: &Section<'_>) -> Result<ShardLayout, SiteError> {
    Ok(ShardLayout {
        ring_positions: family.int32("Places")?,
        replication_factor: family.int32("Width")?,
        parts_per_call: family.int32("PartsACall")?,
        call_work: family.int("OverheadUs")?,
    })
}

fn read_limits(limits: &Section<'_>) -> Result<DeploymentLimits, SiteError> {
    Ok(DeploymentLimits {
        cancellation: limits.flag("Cancel")?,
        health_checks: limits.flag("Probing")?,
        hedging: limits.flag("SecondCopies")?,
        max_attempts: limits.int32("MaxAttempts")?,
        max_retry_after: if limits.flag("RetryAfter")? { limits.int("MaxRetryAfterUs")? } else { 0 },
    })
}

fn read_rules(
    rules: &Section<'_>,
    retry_budget: Option<RetryBudgetSettings>,
) -> Result<RuleSettings, SiteError> {
    Ok(RuleSettings {
        initial_capacity: rules.number("ColdFrom")?,
        warm_up_time: rules.int("WarmWithinUs")?,
        overload_multiple: rules.number("TipMultiple")?,
        overload_window: rules.int("FallUs")?,
        retry_budget,
    })
}

fn read_discovery(root: &Section<'_>) -> Result<Discovery, SiteError> {
    match root.text("MembershipMode")? {
        "automatic" => Ok(Discovery::Push),
        "subscribe" => Ok(Discovery::Poll),
        _ => Err(root.error("MembershipMode", "one of automatic, subscribe")),
    }
}
