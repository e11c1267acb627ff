//! What an operation is to the core, by the operators' rules: its class, its tenant, whether it writes, and whether its
//! client marks it as a repeat. The first rule that fits counts; what fits none is not carried out.
//!
//! A class says whether a request may run again, and so does an operation. Rules by which a class would carry what it
//! may not are refused as a whole, with every pair at fault, before anything is asked by them.

use crate::meaning::{may_carry, repeat, Repeat};
use crate::{Head, Opcode};
use aniseyoke_decision::api::Idempotency;
use std::collections::HashMap;
use std::fmt;
use strum::VariantArray;

/// The highest bit of the vbucket, by which rules may let clients mark repeats: the protocol has no mark of its own, and
/// servers without buckets leave this field alone.
pub const REPEAT_BIT: u16 = 1 << 15;

/// Which operations are of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Loud forms; a quiet form goes with its loud one. None named: all that keys are asked for by.
    pub operations: Vec<Opcode>,
    /// What the key begins with.
    pub prefix: Vec<u8>,
    /// The class, as the settings number them.
    pub class: usize,
}

/// Whose requests they are.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    /// Tenants by the user that a client has shown to be.
    pub users: HashMap<String, usize>,
    /// Tenants by what a key begins with, for clients that show nothing; the longest that fits counts.
    pub prefixes: Vec<(Vec<u8>, usize)>,
}

/// A rule by which a class would carry what it may not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The settings do not have the class.
    Class {
        /// The rule, from 0.
        rule: usize,
        /// The class.
        class: usize,
    },
    /// An operation that is answered by the connection itself, or never carried out.
    Operation {
        /// The rule, from 0.
        rule: usize,
        /// The operation.
        operation: Opcode,
    },
    /// The class may be repeated at will, the operation may not.
    Repeat {
        /// The rule, from 0.
        rule: usize,
        /// The operation.
        operation: Opcode,
        /// What a second run would do.
        harm: Repeat,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Class { rule, class } => write!(f, "rule {rule}: there is no class {class}"),
            Fault::Operation { rule, operation } => {
                write!(f, "rule {rule}: {operation:?} is not asked of nodes")
            }
            Fault::Repeat { rule, operation, harm } => {
                let harm = match harm {
                    Repeat::Doubles => "would be done twice",
                    _ => "would be answered wrongly when it runs twice",
                };
                write!(f, "rule {rule}: {operation:?} {harm}, and its class may be repeated at will")
            }
        }
    }
}

impl std::error::Error for Fault {}

/// What an operation is to the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Meant {
    /// The class, as the settings number them.
    pub class: usize,
    /// The tenant, as the settings number them.
    pub tenant: Option<usize>,
    /// It changes a value.
    pub write: bool,
    /// Its client marked it as a repeat.
    pub retry: bool,
}

/// Why an operation is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unmeant {
    /// No rule fits.
    NoClass,
    /// It is bound to a version, which its class, that may be repeated at will, must not carry.
    Bound,
}

/// All rules, found sound.
#[derive(Clone, Debug)]
pub struct Mapping {
    rules: Vec<Rule>,
    tenants: Tenants,
    effects: Vec<Idempotency>,
    repeat_bit: bool,
}

/// Whether an operation is asked of nodes.
fn asked(operation: Opcode) -> bool {
    use Opcode::*;
    matches!(
        operation,
        Get | GetK
            | Gat
            | GatK
            | Touch
            | Set
            | Add
            | Replace
            | Delete
            | Increment
            | Decrement
            | Append
            | Prepend
    )
}

/// Whether it changes a value. A touch moves the time at which it ends, which all copies have to hear of.
pub fn writes(operation: Opcode) -> bool {
    asked(operation.loud()) && !matches!(operation.loud(), Opcode::Get | Opcode::GetK)
}

impl Mapping {
    /// Rules over classes with these effects. `repeat_bit`: [`REPEAT_BIT`] marks repeats.
    ///
    /// # Errors
    /// Every rule and operation at fault.
    pub fn new(
        rules: Vec<Rule>,
        tenants: Tenants,
        effects: &[Idempotency],
        repeat_bit: bool,
    ) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        for (n, rule) in rules.iter().enumerate() {
            let Some(effect) = effects.get(rule.class) else {
                faults.push(Fault::Class { rule: n, class: rule.class });
                continue;
            };
            for operation in rule.operations.iter().copied() {
                if operation.quiet() || !asked(operation) {
                    faults.push(Fault::Operation { rule: n, operation });
                }
            }
            let all = Opcode::VARIANTS.iter().copied().filter(|o| asked(*o));
            for operation in all.filter(|o| rule.operations.is_empty() || rule.operations.contains(o)) {
                let harm = repeat(operation, 0);
                if !may_carry(*effect, harm) {
                    faults.push(Fault::Repeat { rule: n, operation, harm });
                }
            }
        }
        if faults.is_empty() {
            Ok(Mapping { rules, tenants, effects: effects.to_vec(), repeat_bit })
        } else {
            Err(faults)
        }
    }

    /// What an operation is to the core; `user`: whom the client has shown to be.
    ///
    /// # Errors
    /// Why it is not carried out: it has not run, and nothing was sent for it.
    pub fn meant(&self, head: &Head, user: Option<&str>) -> Result<Meant, Unmeant> {
        let operation = head.operation().map(Opcode::loud).filter(|o| asked(*o)).ok_or(Unmeant::NoClass)?;
        let fits = |rule: &&Rule| {
            (rule.operations.is_empty() || rule.operations.contains(&operation))
                && head.key.starts_with(&rule.prefix)
        };
        let class = self.rules.iter().find(fits).ok_or(Unmeant::NoClass)?.class;
        // Danger: a class that is repeated at will runs what is bound to a version a second time, and tells a client
        // that its own first run was somebody else's.
        let effect = self.effects.get(class).copied().unwrap_or(Idempotency::NonIdempotent);
        if !may_carry(effect, repeat(operation, head.cas)) {
            return Err(Unmeant::Bound);
        }
        Ok(Meant {
            class,
            tenant: self.tenants.of(&head.key, user),
            write: writes(operation),
            retry: self.repeat_bit && head.field & REPEAT_BIT != 0,
        })
    }
}

impl Tenants {
    /// Whose request it is. A client that has shown who it is does not become another by its keys.
    fn of(&self, key: &[u8], user: Option<&str>) -> Option<usize> {
        if let Some(user) = user {
            return self.users.get(user).copied();
        }
        let fitting = self.prefixes.iter().filter(|(prefix, _)| key.starts_with(prefix));
        fitting.max_by_key(|(prefix, _)| prefix.len()).map(|(_, tenant)| *tenant)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;

    const EFFECTS: [Idempotency; 3] =
        [Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::WithKey];

    fn rule(operations: &[Opcode], prefix: &str, class: usize) -> Rule {
        Rule { operations: operations.to_vec(), prefix: prefix.into(), class }
    }

    /// Lookups are safe, settlements never run twice, and counters are keyed.
    fn mapping(repeat_bit: bool) -> Mapping {
        let rules = vec![
            rule(&[Opcode::Set, Opcode::Add, Opcode::Delete], "cod/", 1),
            rule(&[Opcode::Increment, Opcode::Decrement, Opcode::Append], "", 2),
            rule(&[Opcode::Get, Opcode::GetK, Opcode::Touch, Opcode::Set], "", 0),
        ];
        let tenants = Tenants {
            users: HashMap::from([("acme".to_owned(), 0)]),
            prefixes: vec![(b"cod/".to_vec(), 1), (b"cod/seo/".to_vec(), 2)],
        };
        Mapping::new(rules, tenants, &EFFECTS, repeat_bit).expect("sound")
    }

    fn head(operation: Opcode, key: &'static str) -> Head {
        Head { key: Bytes::from_static(key.as_bytes()), ..Head::request(operation) }
    }

    #[test]
    fn the_first_rule_that_fits_counts_and_a_quiet_form_goes_with_its_loud_one() {
        let m = mapping(false);
        let class = |operation, key| m.meant(&head(operation, key), None).map(|meant| meant.class);
        assert_eq!(class(Opcode::SetQ, "cod/7"), Ok(1));
        assert_eq!(class(Opcode::Set, "way/7"), Ok(0));
        assert_eq!(class(Opcode::GetKQ, "cod/7"), Ok(0));
        assert_eq!(class(Opcode::Increment, "cod/7"), Ok(2));
        for (operation, key) in
            [(Opcode::Add, "way/7"), (Opcode::Prepend, "cod/7"), (Opcode::Noop, ""), (Opcode::Flush, "")]
        {
            assert_eq!(class(operation, key), Err(Unmeant::NoClass), "{operation:?}");
        }
    }

    #[test]
    fn only_reads_that_change_nothing_are_no_writes() {
        let m = mapping(false);
        let write = |operation| m.meant(&head(operation, "cod/7"), None).expect("a class").write;
        assert!(!write(Opcode::Get) && !write(Opcode::GetKQ));
        assert!(write(Opcode::Set) && write(Opcode::Touch) && write(Opcode::Decrement));
    }

    #[test]
    fn who_has_shown_who_it_is_does_not_become_another_by_its_keys() {
        let m = mapping(false);
        let tenant = |key, user| m.meant(&head(Opcode::Get, key), user).expect("a class").tenant;
        assert_eq!(tenant("cod/seo/1", Some("acme")), Some(0));
        assert_eq!(tenant("cod/seo/1", Some("nobody")), None);
        assert_eq!(tenant("cod/seo/1", None), Some(2), "the longest prefix");
        assert_eq!((tenant("cod/1", None), tenant("way/1", None)), (Some(1), None));
    }

    #[test]
    fn repeats_are_marked_by_a_bit_only_where_the_rules_say_so() {
        let marked = Head { field: REPEAT_BIT | 7, ..head(Opcode::Get, "way/7") };
        assert!(mapping(true).meant(&marked, None).expect("a class").retry);
        assert!(!mapping(false).meant(&marked, None).expect("a class").retry);
        assert!(!mapping(true).meant(&head(Opcode::Get, "way/7"), None).expect("a class").retry);
    }

    /// Danger: a counter in a class that is repeated at will counts twice after one lost answer.
    #[test]
    fn rules_by_which_a_class_would_carry_what_it_may_not_are_refused_with_every_pair() {
        let rules =
            vec![rule(&[], "", 0), rule(&[Opcode::GetQ, Opcode::Noop], "", 1), rule(&[Opcode::Get], "", 9)];
        let faults = Mapping::new(rules, Tenants::default(), &EFFECTS, false).expect_err("unsound");
        let repeats = faults.iter().filter(|f| matches!(f, Fault::Repeat { rule: 0, .. })).count();
        assert_eq!(repeats, 6, "add, delete, both counters, append, prepend: {faults:?}");
        for fault in [
            Fault::Operation { rule: 1, operation: Opcode::GetQ },
            Fault::Operation { rule: 1, operation: Opcode::Noop },
            Fault::Class { rule: 2, class: 9 },
        ] {
            assert!(faults.contains(&fault), "{fault}");
        }
        assert!(faults.iter().all(|f| f.to_string().starts_with("rule ")));
    }

    /// Danger: bound to a version, a store that ran once answers `exists` the second time.
    #[test]
    fn what_is_bound_to_a_version_is_not_carried_by_a_class_that_is_repeated_at_will() {
        let m = mapping(false);
        let bound = |key| m.meant(&Head { cas: 5, ..head(Opcode::Set, key) }, None).map(|meant| meant.class);
        assert_eq!(bound("way/7"), Err(Unmeant::Bound));
        assert_eq!(bound("cod/7"), Ok(1));
    }

    /// Whatever the rules, no operation comes to a class that may not carry it.
    #[test]
    fn nothing_is_meant_that_its_class_may_not_carry() {
        use proptest::prelude::*;
        let any = (proptest::collection::vec((any::<u16>(), 0usize..4), 0..6), 0u8..0x26, 0u64..3);
        proptest!(|((rules, opcode, cas) in any)| {
            let rules = rules.iter().map(|(bits, class)| {
                let all = Opcode::VARIANTS.iter().copied().filter(|o| asked(*o)).enumerate();
                let operations = all.filter(|(n, _)| bits >> n & 1 == 1).map(|(_, o)| o).collect();
                Rule { operations, prefix: Vec::new(), class: *class }
            }).collect();
            if let Ok(m) = Mapping::new(rules, Tenants::default(), &EFFECTS, true) {
                let head = Head { opcode, cas, ..head(Opcode::Get, "k") };
                if let Ok(meant) = m.meant(&head, None) {
                    let operation = head.operation().expect("meant");
                    prop_assert!(may_carry(EFFECTS[meant.class], repeat(operation, cas)));
                }
            }
        });
    }
}
