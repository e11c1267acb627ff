//! The days that are built into the lab.

/// Name and text of each built-in day.
pub const BUILTIN: [(&str, &str); 10] = [
    ("quiet", include_str!("../days/quiet.toml")),
    ("deploy", include_str!("../days/deploy.toml")),
    ("silence", include_str!("../days/silence.toml")),
    ("ledger", include_str!("../days/ledger.toml")),
    ("chuseok", include_str!("../days/chuseok.toml")),
    ("rough", include_str!("../days/rough.toml")),
    ("stall", include_str!("../days/stall.toml")),
    ("roll", include_str!("../days/roll.toml")),
    ("join", include_str!("../days/join.toml")),
    ("plain", include_str!("../days/plain.toml")),
];

/// The text of a built-in day.
pub fn builtin(name: &str) -> Option<&'static str> {
    BUILTIN.iter().find(|(n, _)| *n == name).map(|(_, text)| *text)
}
