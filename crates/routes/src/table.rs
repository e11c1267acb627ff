//! Which requests go to which pool. The first rule that fits counts.
//!
//! Ten thousand rules are no walk over ten thousand: rules are kept by which of class and tenant they name and by the
//! length of their prefix, so that a look takes one probe for each of these combinations, and the earliest rule that was
//! found counts. Weighed: a radix tree (`patricia_tree`, `radix_trie`) finds the longest prefix, while the order that
//! operators write is what counts here; a walk in order is right and takes 10,000 comparisons for each request.

use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::hash::Hash;

/// A prefix is at most this long, in bytes. Each length that is in use costs a probe for each request.
pub const PREFIX_MOST: usize = 256;

/// Where some requests go. Each condition that is given must fit; `K` names classes and tenants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule<K> {
    /// The class, if one is named.
    pub class: Option<K>,
    /// The tenant, if one is named.
    pub tenant: Option<K>,
    /// What the key begins with; empty: any.
    pub prefix: Vec<u8>,
    /// The pool that these requests go to, by its number.
    pub pool: u32,
}

/// A rule that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It has no condition, so that no rule behind it could ever count.
    NoCondition,
    /// An earlier rule takes all that would fit it.
    Shadowed {
        /// The number of that rule.
        by: usize,
    },
    /// Its prefix is longer than [`PREFIX_MOST`].
    LongPrefix,
}

/// The rules of some class and tenant, or of any.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    /// The lengths in use, the shortest first.
    lengths: Vec<usize>,
    /// The earliest rule of each prefix.
    first: FxHashMap<Vec<u8>, usize>,
}

impl Prefixes {
    /// The earliest rule whose prefix the key begins with.
    fn find(&self, key: &[u8]) -> Option<usize> {
        let fitting = self.lengths.iter().take_while(|length| **length <= key.len());
        fitting.filter_map(|length| self.first.get(&key[..*length]).copied()).min()
    }

    fn add(&mut self, prefix: &[u8], number: usize) {
        self.first.entry(prefix.to_vec()).or_insert(number);
        if let Err(at) = self.lengths.binary_search(&prefix.len()) {
            self.lengths.insert(at, prefix.len());
        }
    }
}

/// Rules in their order, ready to be asked.
#[derive(Clone, Debug)]
pub struct Table<K> {
    pools: Vec<u32>,
    by: FxHashMap<(Option<K>, Option<K>), Prefixes>,
}

impl<K> Default for Table<K> {
    fn default() -> Self {
        Table { pools: Vec::new(), by: FxHashMap::default() }
    }
}

impl<K: Hash + Eq + Clone> Table<K> {
    /// A table of rules, the first that fits first.
    ///
    /// # Errors
    /// All rules that are none, with their numbers.
    pub fn new(rules: &[Rule<K>]) -> Result<Self, Vec<(usize, Fault)>> {
        let (mut table, mut faults) = (Table::default(), Vec::new());
        for (number, rule) in rules.iter().enumerate() {
            if rule.class.is_none() && rule.tenant.is_none() && rule.prefix.is_empty() {
                faults.push((number, Fault::NoCondition));
            } else if rule.prefix.len() > PREFIX_MOST {
                faults.push((number, Fault::LongPrefix));
            } else if let Some(by) = table.first(rule.class.as_ref(), rule.tenant.as_ref(), &rule.prefix) {
                faults.push((number, Fault::Shadowed { by }));
            } else {
                let of = (rule.class.clone(), rule.tenant.clone());
                table.by.entry(of).or_default().add(&rule.prefix, number);
            }
            table.pools.push(rule.pool);
        }
        if faults.is_empty() {
            Ok(table)
        } else {
            Err(faults)
        }
    }

    /// Whether there is no rule.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// The classes that rules name, none for any, with the pools that they send to; each pair once, in order.
    pub fn targets(&self) -> BTreeSet<(Option<K>, u32)>
    where
        K: Ord,
    {
        let of = |(named, prefixes): (&(Option<K>, Option<K>), &Prefixes)| {
            let class = named.0.clone();
            prefixes.first.values().map(|n| (class.clone(), self.pools[*n])).collect::<Vec<_>>()
        };
        self.by.iter().flat_map(of).collect()
    }

    /// The pool of a request; none where no rule fits.
    pub fn pool(&self, class: Option<&K>, tenant: Option<&K>, key: &[u8]) -> Option<u32> {
        self.first(class, tenant, key).map(|number| self.pools[number])
    }

    /// The number of the first rule that fits all requests of this kind. Where a class or tenant is not given, only
    /// rules for any fit.
    fn first(&self, class: Option<&K>, tenant: Option<&K>, key: &[u8]) -> Option<usize> {
        let classes = [None, class.cloned()];
        let tenants = [None, tenant.cloned()];
        let mut earliest: Option<usize> = None;
        for class in &classes[..1 + usize::from(class.is_some())] {
            for tenant in &tenants[..1 + usize::from(tenant.is_some())] {
                let of = (class.clone(), tenant.clone());
                if let Some(found) = self.by.get(&of).and_then(|prefixes| prefixes.find(key)) {
                    earliest = Some(earliest.map_or(found, |before| before.min(found)));
                }
            }
        }
        earliest
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn rule(class: Option<u8>, tenant: Option<u8>, prefix: &str, pool: u32) -> Rule<u8> {
        Rule { class, tenant, prefix: prefix.into(), pool }
    }

    #[test]
    fn the_first_rule_that_fits_counts_whatever_fits_better_behind_it() {
        let rules = [
            rule(Some(1), None, "a/", 10),
            rule(None, Some(7), "", 11),
            rule(Some(1), None, "a", 12),
            rule(None, None, "b", 13),
        ];
        let table = Table::new(&rules).expect("sound");
        let pool = |class: u8, tenant: Option<u8>, key: &str| {
            table.pool(Some(&class), tenant.as_ref(), key.as_bytes())
        };
        assert_eq!(pool(1, Some(7), "a/x"), Some(10));
        assert_eq!(pool(1, Some(7), "ab"), Some(11));
        assert_eq!(pool(1, None, "ab"), Some(12));
        assert_eq!(pool(2, None, "b"), Some(13));
        assert_eq!(pool(2, None, "c"), None);
        assert_eq!(pool(1, None, ""), None);
    }

    #[test]
    fn rules_that_can_never_count_are_told_with_the_one_before_them() {
        let rules = [
            rule(Some(1), None, "a", 0),
            rule(Some(1), Some(2), "ab", 1),
            rule(None, None, "", 2),
            rule(None, Some(2), "ab", 3),
            rule(Some(1), None, &"x".repeat(300), 4),
        ];
        let faults = Table::new(&rules).expect_err("three");
        let wanted = [(1, Fault::Shadowed { by: 0 }), (2, Fault::NoCondition), (4, Fault::LongPrefix)];
        assert_eq!(faults, wanted);
    }

    fn fits(rule: &Rule<u8>, class: u8, tenant: Option<u8>, key: &[u8]) -> bool {
        rule.class.is_none_or(|c| c == class)
            && rule.tenant.is_none_or(|t| Some(t) == tenant)
            && key.starts_with(&rule.prefix)
    }

    fn some_rule() -> impl Strategy<Value = Rule<u8>> {
        (prop::option::of(0u8..3), prop::option::of(0u8..3), "[ab]{0,3}", 0u32..9)
            .prop_map(|(class, tenant, prefix, pool)| Rule { class, tenant, prefix: prefix.into(), pool })
    }

    proptest! {
        #[test]
        fn a_look_finds_what_a_walk_in_order_finds(
            rules in prop::collection::vec(some_rule(), 0..12),
            asked in prop::collection::vec((0u8..4, prop::option::of(0u8..4), "[abc]{0,4}"), 1..20),
        ) {
            // What is refused is left out, as an operator would.
            let mut kept = rules;
            while let Err(faults) = Table::new(&kept) {
                kept.remove(faults[0].0);
            }
            let table = Table::new(&kept).expect("sound");
            for (class, tenant, key) in asked {
                let walk = kept.iter().find(|r| fits(r, class, tenant, key.as_bytes())).map(|r| r.pool);
                prop_assert_eq!(table.pool(Some(&class), tenant.as_ref(), key.as_bytes()), walk);
            }
        }

        #[test]
        fn what_is_refused_as_shadowed_never_counts(rules in prop::collection::vec(some_rule(), 1..10)) {
            for (number, fault) in Table::new(&rules).err().unwrap_or_default() {
                let Fault::Shadowed { by } = fault else { continue };
                prop_assert!(by < number);
                for class in 0..4 {
                    for tenant in [None, Some(0), Some(1), Some(2), Some(3)] {
                        let key = [&rules[number].prefix[..], b"b"].concat();
                        prop_assert!(!fits(&rules[number], class, tenant, &key) || fits(&rules[by], class, tenant, &key));
                    }
                }
            }
        }
    }
}
