//! Which requests go to which pool. The first rule that matches applies.
//!
//! Ten thousand rules are not scanned one by one: they are indexed by which of class and tenant they name and by the
//! length of their prefix. A lookup takes one probe for each of these combinations, and the earliest rule found applies.
//! Considered: a radix tree (`patricia_tree`, `radix_trie`) finds the longest prefix, while here the order that operators
//! write decides; a scan in order is correct and takes 10,000 comparisons for each request.

use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::hash::Hash;

/// The longest prefix, in bytes. Each length in use costs a probe for each request.
pub const MAX_PREFIX_BYTES: usize = 256;

/// Where some requests go. Each condition that is given has to match; `K` names classes and tenants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule<K> {
    /// The class, if one is named.
    pub class: Option<K>,
    /// The tenant, if one is named.
    pub tenant: Option<K>,
    /// What the key begins with; empty: any.
    pub prefix: Vec<u8>,
    /// The pool that these requests go to, by its index.
    pub pool: u32,
}

/// What is wrong with a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// It has no condition, so that no rule after it could ever apply.
    #[error("it has no condition")]
    NoCondition,
    /// An earlier rule matches every request that it would match.
    #[error("route {by} takes all that would fit it")]
    Shadowed {
        /// The index of that rule.
        by: usize,
    },
    /// Its prefix is longer than [`MAX_PREFIX_BYTES`].
    #[error("it is longer than {} bytes", MAX_PREFIX_BYTES)]
    PrefixTooLong,
}

/// The rules for one combination of class and tenant.
#[derive(Clone, Debug, Default)]
struct PrefixIndex {
    /// The lengths in use, the shortest first.
    lengths: Vec<usize>,
    /// The index of the earliest rule of each prefix.
    earliest: FxHashMap<Vec<u8>, usize>,
}

impl PrefixIndex {
    /// The earliest rule whose prefix the key begins with.
    fn find(&self, key: &[u8]) -> Option<usize> {
        let lengths = self.lengths.iter().take_while(|length| **length <= key.len());
        lengths.filter_map(|length| self.earliest.get(&key[..*length]).copied()).min()
    }

    fn insert(&mut self, prefix: &[u8], rule: usize) {
        self.earliest.entry(prefix.to_vec()).or_insert(rule);
        if let Err(position) = self.lengths.binary_search(&prefix.len()) {
            self.lengths.insert(position, prefix.len());
        }
    }
}

/// Rules in their order, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RoutingTable<K> {
    /// The pool of each rule.
    pools: Vec<u32>,
    by_class_and_tenant: FxHashMap<(Option<K>, Option<K>), PrefixIndex>,
}

impl<K> Default for RoutingTable<K> {
    fn default() -> Self {
        RoutingTable { pools: Vec::new(), by_class_and_tenant: FxHashMap::default() }
    }
}

impl<K: Hash + Eq + Clone> RoutingTable<K> {
    /// A table of rules, the first match first.
    ///
    /// # Errors
    /// All rules that are wrong, with their indexes.
    pub fn new(rules: &[RouteRule<K>]) -> Result<Self, Vec<(usize, RouteError)>> {
        let (mut table, mut errors) = (RoutingTable::default(), Vec::new());
        for (index, rule) in rules.iter().enumerate() {
            match table.check(rule) {
                Err(error) => errors.push((index, error)),
                Ok(()) => {
                    let named = (rule.class.clone(), rule.tenant.clone());
                    table.by_class_and_tenant.entry(named).or_default().insert(&rule.prefix, index);
                }
            }
            table.pools.push(rule.pool);
        }
        if errors.is_empty() {
            Ok(table)
        } else {
            Err(errors)
        }
    }

    /// Whether a rule may follow those of the table.
    fn check(&self, rule: &RouteRule<K>) -> Result<(), RouteError> {
        if rule.class.is_none() && rule.tenant.is_none() && rule.prefix.is_empty() {
            return Err(RouteError::NoCondition);
        }
        if rule.prefix.len() > MAX_PREFIX_BYTES {
            return Err(RouteError::PrefixTooLong);
        }
        match self.first_match(rule.class.as_ref(), rule.tenant.as_ref(), &rule.prefix) {
            Some(by) => Err(RouteError::Shadowed { by }),
            None => Ok(()),
        }
    }

    /// Whether there is no rule.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// The classes that rules name, none for any, with the pools that they route to; each pair once, in order.
    pub fn targets(&self) -> BTreeSet<(Option<K>, u32)>
    where
        K: Ord,
    {
        let mut targets = BTreeSet::new();
        for ((class, _), prefixes) in &self.by_class_and_tenant {
            targets.extend(prefixes.earliest.values().map(|rule| (class.clone(), self.pools[*rule])));
        }
        targets
    }

    /// The pool of a request; none where no rule matches.
    pub fn pool(&self, class: Option<&K>, tenant: Option<&K>, key: &[u8]) -> Option<u32> {
        self.first_match(class, tenant, key).map(|rule| self.pools[rule])
    }

    /// The index of the first rule that matches all requests of this kind. Where a class or tenant is not given, only
    /// rules for any match.
    fn first_match(&self, class: Option<&K>, tenant: Option<&K>, key: &[u8]) -> Option<usize> {
        let classes = [None, class.cloned()];
        let tenants = [None, tenant.cloned()];
        let mut earliest: Option<usize> = None;
        for class in &classes[..1 + usize::from(class.is_some())] {
            for tenant in &tenants[..1 + usize::from(tenant.is_some())] {
                let prefixes = self.by_class_and_tenant.get(&(class.clone(), tenant.clone()));
                if let Some(found) = prefixes.and_then(|prefixes| prefixes.find(key)) {
                    earliest = Some(earliest.map_or(found, |before| before.min(found)));
                }
            }
        }
        earliest
    }
}

#[cfg(test)]
mod tests;
