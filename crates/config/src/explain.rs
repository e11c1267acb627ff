//! What a key means, in a few lines.

use crate::check::range;
use crate::model::Operator;
use crate::schema::{choices, keys, kind, told, Key};
use serde_json::Value;

/// Whether a pattern such as `pools.*.zones` or `routes.N.pool` covers a key.
pub fn covers(pattern: &str, key: &str) -> bool {
    let (mut pattern, mut key) = (pattern.split('.'), key.split('.'));
    loop {
        match (pattern.next(), key.next()) {
            (None, None) => return true,
            (Some("*"), Some(_)) => {}
            (Some("N"), Some(n)) if n == "N" || n.parse::<usize>().is_ok() => {}
            (Some(p), Some(k)) if p == k => {}
            _ => return false,
        }
    }
}

/// Whether a change of a key takes a restart.
pub fn takes_restart(key: &str) -> bool {
    let found = keys().into_iter().find(|k| covers(&k.path, key));
    found.is_none_or(|k| told(&k, "x-apply").is_none_or(|apply| apply != "reload"))
}

fn default(key: &Key) -> Option<Value> {
    // A part that is off has its defaults once it is named.
    let (limits, control) = (Some(Default::default()), Some(Default::default()));
    let on = Operator { limits, control, ..Operator::default() };
    let mut at = &serde_json::to_value(on).ok()?;
    for step in key.path.split('.') {
        at = at.get(step)?;
    }
    Some(at.clone())
}

fn text(key: &Key) -> String {
    let plain = |name| told(key, name).and_then(Value::as_str);
    let bound = |name| told(key, name).and_then(Value::as_f64);
    let mut out = format!("{}\n", key.path);
    let mut line = |name: &str, value: String| out += &format!("  {name:<9} {value}\n");
    let may = choices(key.meant);
    line(
        "type",
        match (plain("x-kind"), may.is_empty()) {
            (Some(kind), _) => kind.to_owned(),
            (_, false) => format!("one of {}", may.join(", ")),
            _ => kind(key.meant).to_owned(),
        },
    );
    if let Some(unit) = plain("x-unit") {
        line("unit", unit.to_owned());
    }
    line("default", default(key).map_or("none".into(), |value| value.to_string()));
    match (bound("minimum"), bound("maximum"), plain("x-least"), plain("x-most")) {
        (None, None, None, None) => {}
        (None, None, least, most) => {
            line("range", format!("{} to {}", least.unwrap_or("any"), most.unwrap_or("any")));
        }
        (least, most, ..) => line("range", range(least, most)),
    }
    if let Some(since) = plain("x-since") {
        line("since", since.to_owned());
    }
    line("change", if takes_restart(&key.path) { "takes a restart" } else { "takes a reload" }.to_owned());
    if let Some(meaning) = plain("description") {
        line("meaning", meaning.split_whitespace().collect::<Vec<_>>().join(" "));
    }
    out
}

/// Explains a key, or all that lie below a part; an empty key is all.
///
/// # Errors
/// If there is no such key, with the one that is most like it.
pub fn explain(key: &str) -> Result<String, String> {
    let all = keys();
    let below = |k: &&Key| key.is_empty() || k.path == key || k.path.starts_with(&format!("{key}."));
    let exact = |k: &&Key| covers(&k.path, key);
    let found: Vec<&Key> = match all.iter().find(exact) {
        Some(one) => vec![one],
        None => all.iter().filter(below).collect(),
    };
    if found.is_empty() {
        let near = all
            .iter()
            .max_by(|a, b| strsim::jaro_winkler(&a.path, key).total_cmp(&strsim::jaro_winkler(&b.path, key)));
        let near = near.map_or(String::new(), |k| format!("; did you mean {}?", k.path));
        return Err(format!("there is no key {key}{near}"));
    }
    Ok(found.into_iter().map(text).collect::<Vec<_>>().join("\n"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_explained_with_all_that_is_known_of_it() {
        let told = explain("log.burst").expect("known");
        for part in ["integer", "lines", "100", "1 to 100000", "since     0.3", "takes a restart", "at once"]
        {
            assert!(told.contains(part), "{part} is not in {told}");
        }
        assert!(explain("log.level").expect("known").contains("takes a reload"));
        let told = explain("limits.queue.interval").expect("known");
        assert!(told.contains("duration") && told.contains("100ms"), "{told}");
    }

    #[test]
    fn every_key_says_what_it_means_and_since_when() {
        for key in keys() {
            let of = |name| told(&key, name).and_then(Value::as_str).unwrap_or_default();
            assert!(of("description").len() > 10, "{} has no meaning", key.path);
            assert!(!of("x-since").is_empty(), "{} has no since", key.path);
            assert!(
                ["reload", "restart"].contains(&of("x-apply")),
                "{} does not say how it changes",
                key.path
            );
        }
        assert!(keys().len() > 15);
    }

    #[test]
    fn a_slip_is_met_with_the_nearest_key_and_a_part_with_all_below_it() {
        assert!(explain("log.brust").expect_err("none").contains("log.burst"));
        assert!(explain("limits.node").expect("a part").contains("limits.node.ceiling"));
        assert!(explain("pools.east.zones").expect("by pattern").contains("Names of zones"));
    }
}
