//! The operator's file at work: where it is found, and what it changes of what the platform says.

use crate::config::Config;
use aniseyoke_config::layers::{environment, resolve, Resolved, Source};
use aniseyoke_config::model::{Format, Level, Log, Operator, Pool};
use aniseyoke_config::Fault;
use std::path::{Path, PathBuf};

/// The variable that names the file.
pub const FILE: &str = "ANISEYOKE_FILE";

/// Reads the file, if one is named, and the environment on top of it.
///
/// # Errors
/// All faults of all layers.
pub fn read(file: Option<&Path>) -> Result<Resolved, Vec<Fault>> {
    let mut layers = Vec::new();
    if let Some(file) = file {
        layers.push(source(file).map_err(|fault| vec![fault])?);
    }
    layers.extend(environment(variables()));
    resolve(&layers)
}

/// The environment, as far as it is text; what is none sets none of our keys.
pub fn variables() -> impl Iterator<Item = (String, String)> {
    std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
}

/// A file as a layer.
///
/// # Errors
/// If it can't be read.
pub fn source(file: &Path) -> Result<Source, Fault> {
    /// A larger file is no configuration, in bytes.
    const MOST: u64 = 16 << 20;
    let place = file.display().to_string();
    let fault = |why: String| Fault { place: place.clone(), key: String::new(), why };
    let length = std::fs::metadata(file).map_err(|e| fault(e.to_string()))?.len();
    if length > MOST {
        return Err(fault(format!("{length} bytes are more than {MOST}")));
    }
    let text = std::fs::read_to_string(file).map_err(|e| fault(e.to_string()))?;
    Ok(Source::File(place, text))
}

/// The file that the environment names, if it names one.
pub fn named() -> Option<PathBuf> {
    std::env::var_os(FILE).filter(|path| !path.is_empty()).map(PathBuf::from)
}

/// How the log is written, in its own terms.
pub fn log_options(log: &Log) -> aniseyoke_logging::Options {
    aniseyoke_logging::Options {
        format: match log.format {
            Format::Plain => aniseyoke_logging::Format::Plain,
            Format::Json => aniseyoke_logging::Format::Json,
        },
        rate: aniseyoke_logging::Rate { burst: log.burst, per_second: log.per_second },
        levels: log_levels(log),
    }
}

/// What the log tells, in its own terms: a part of the program is a target below this one's name.
pub fn log_levels(log: &Log) -> aniseyoke_logging::Levels {
    let level = |level: Level| match level {
        Level::Off => aniseyoke_logging::Level::Off,
        Level::Error => aniseyoke_logging::Level::Error,
        Level::Warn => aniseyoke_logging::Level::Warn,
        Level::Info => aniseyoke_logging::Level::Info,
        Level::Debug => aniseyoke_logging::Level::Debug,
        Level::Trace => aniseyoke_logging::Level::Trace,
    };
    let targets = log.targets.iter().map(|(name, l)| (format!("aniseyoke::{name}"), level(*l))).collect();
    aniseyoke_logging::Levels { all: level(log.level), targets }
}

/// Lays what the operator sets over what the platform says.
///
/// # Errors
/// All that names a tenant, class, zone or kind that the platform does not, with the place that says so; nothing is
/// changed then.
pub fn apply(resolved: &Resolved, config: &mut Config) -> Result<(), Vec<Fault>> {
    let (operator, mut faults) = (&resolved.operator, Vec::new());
    let mut settings = config.settings.clone();
    let mut unknown = |key: String, what: &str, name: &str, known: &[String]| {
        let why = format!("the platform names no {what} {name:?}; it names {}", known.join(", "));
        faults.push(Fault { place: resolved.origin(&key).to_string(), key, why });
    };
    for (name, tenant) in &operator.tenants {
        match config.names.tenants.iter().position(|known| known == name) {
            Some(n) => settings.tenants[n].quota_rps = tenant.share.unwrap_or(settings.tenants[n].quota_rps),
            None => unknown(format!("tenants.{name}"), "tenant", name, &config.names.tenants),
        }
    }
    for (name, pool) in &operator.pools {
        let known =
            [("zones", &pool.zones, &config.names.zones), ("kinds", &pool.kinds, &config.names.kinds)];
        for (part, given, known) in known {
            for missing in given.iter().filter(|g| !known.contains(g)) {
                unknown(format!("pools.{name}.{part}"), part.trim_end_matches('s'), missing, known);
            }
        }
    }
    for (n, route) in operator.routes.iter().enumerate() {
        let (Some(class), Some(pool)) = (&route.class, operator.pools.get(&route.pool)) else { continue };
        match config.names.classes.iter().position(|known| known == class) {
            None => unknown(format!("routes.{n}.class"), "class", class, &config.names.classes),
            Some(class) => {
                let (zones, kinds) = numbers(pool, config);
                let class = &mut settings.classes[class];
                narrow(&mut class.zones, zones);
                narrow(&mut class.kinds, kinds);
            }
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    config.settings = settings;
    Ok(())
}

/// A pool's zones and kinds by number; none where any will do.
fn numbers(pool: &Pool, config: &Config) -> (Option<Vec<u32>>, Option<Vec<u32>>) {
    let of = |given: &[String], known: &[String]| {
        let number = |name: &String| known.iter().position(|k| k == name).map(|n| n as u32);
        (!given.is_empty()).then(|| given.iter().filter_map(number).collect())
    };
    (of(&pool.zones, &config.names.zones), of(&pool.kinds, &config.names.kinds))
}

/// What the platform allows stays the most that is allowed.
fn narrow(allowed: &mut Option<Vec<u32>>, to: Option<Vec<u32>>) {
    if let Some(mut to) = to {
        if let Some(allowed) = allowed {
            to.retain(|n| allowed.contains(n));
        }
        *allowed = Some(to);
    }
}

/// The keys that differ but take a restart.
pub fn waiting(now: &Operator, then: &Operator) -> Vec<String> {
    let changes = aniseyoke_config::diff::diff(now, then);
    changes.into_iter().filter(|c| c.restart).map(|c| c.key).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLATFORM: &str = r#"{
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "settings": {
            "categories": [
                {"name": "look", "deadline_ns": 1000000000, "allowed_in": [0]},
                {"name": "book", "deadline_ns": 1000000000}
            ],
            "customers": [{"name": "a", "quota_rps": 5.0}],
            "localities": ["east", "west"], "machine_types": ["fast", "slow"]
        }
    }"#;

    fn applied(text: &str) -> Result<Config, Vec<Fault>> {
        let mut config = Config::parse(PLATFORM, |_| None).expect("sound");
        let resolved = resolve(&[Source::File("f.toml".into(), text.into())]).expect("sound by itself");
        apply(&resolved, &mut config).map(|()| config)
    }

    #[test]
    fn an_operator_who_sets_nothing_changes_nothing() {
        let (with, without) =
            (applied("").expect("sound"), Config::parse(PLATFORM, |_| None).expect("sound"));
        assert_eq!(format!("{:?}", with.settings), format!("{:?}", without.settings));
    }

    #[test]
    fn shares_and_routes_are_laid_over_what_the_platform_says() {
        let text = "[tenants.a]\nshare = 9.0\n[pools.p]\nzones = [\"east\", \"west\"]\nkinds = [\"slow\"]\n\
                    [[routes]]\nclass = \"look\"\npool = \"p\"\n[[routes]]\nclass = \"book\"\npool = \"p\"\n";
        let config = applied(text).expect("sound");
        assert_eq!(config.settings.tenants[0].quota_rps, 9.0);
        let [look, book] = &config.settings.classes[..] else { panic!("two classes") };
        assert_eq!(
            (look.zones.clone(), look.kinds.clone()),
            (Some(vec![0]), Some(vec![1])),
            "west stays shut"
        );
        assert_eq!((book.zones.clone(), book.kinds.clone()), (Some(vec![0, 1]), Some(vec![1])));
    }

    #[test]
    fn names_that_the_platform_does_not_know_are_all_told() {
        let text = "[tenants.b]\nshare = 1.0\n[pools.p]\nzones = [\"north\"]\nkinds = [\"tiny\"]\n\
                    [[routes]]\nclass = \"sell\"\npool = \"p\"\n";
        let faults = applied(text).err().expect("four");
        let keys: Vec<&str> = faults.iter().map(|f| f.key.as_str()).collect();
        assert_eq!(keys, ["tenants.b", "pools.p.zones", "pools.p.kinds", "routes.0.class"]);
        assert!(faults.iter().all(|f| f.place.starts_with("f.toml:")), "{faults:?}");
        assert!(faults[0].why.contains("it names a"), "{}", faults[0]);
    }

    #[test]
    fn the_file_that_ships_shows_the_defaults_and_turns_nothing_on() {
        let shipped = include_str!("../../../deploy/operator.toml");
        let read = |text: &str| {
            let layers = [Source::File("operator.toml".into(), text.to_owned())];
            resolve(&layers).expect("sound").operator
        };
        assert_eq!(read(shipped), Operator::default());
        let on: String =
            shipped.lines().map(|l| format!("{}\n", l.strip_prefix("#: ").unwrap_or(l))).collect();
        let wanted = Operator { limits: Some(Default::default()), ..Operator::default() };
        assert_eq!(read(&on), wanted);
    }
}
