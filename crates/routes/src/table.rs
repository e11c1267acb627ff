//! Maps requests to pools. The first rule that matches applies.
//!
//! Rules are indexed by class, tenant and prefix length. A lookup probes each combination once, and the
//! earliest rule found applies. Alternatives: a radix tree (`patricia_tree`, `radix_trie`) finds the longest
//! prefix, while here the operators' order decides; a sequential scan of 10,000 rules would be correct, but
//! take 10,000 comparisons for each request.

use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::hash::Hash;

/// The maximum length of a prefix in bytes. Each distinct length costs a probe for each request.
pub const MAX_PREFIX_BYTES: usize = 256;

/// Routes requests to a pool. Every given condition has to match. `K` is the type of class and tenant names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule<K> {
    /// The class to match; none matches any.
    pub class: Option<K>,
    /// The tenant to match; none matches any.
    pub tenant: Option<K>,
    /// The prefix of the key to match; empty matches any.
    pub prefix: Vec<u8>,
    /// The index of the pool that matching requests are routed to.
    pub pool: u32,
}

/// Why a rule is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// It has no condition, so that no later rule could ever apply.
    #[error("it has no condition")]
    NoCondition,
    /// An earlier rule matches every request that it would match.
    #[error("route {by} takes all that would fit it")]
    Shadowed {
        /// The index of the earlier rule.
        by: usize,
    },
    /// Its prefix is longer than [`MAX_PREFIX_BYTES`].
    #[error("it is longer than {} bytes", MAX_PREFIX_BYTES)]
    PrefixTooLong,
}

/// The rules for one combination of class and tenant.
#[derive(Clone, Debug, Default)]
struct PrefixIndex {
    /// The distinct prefix lengths in ascending order.
    lengths: Vec<usize>,
    /// The index of the earliest rule for each prefix.
    earliest: FxHashMap<Vec<u8>, usize>,
}

impl PrefixIndex {
    /// Returns the earliest rule whose prefix matches the key.
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

/// Rules in their order, indexed for lookup.
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
    /// Creates a table from rules, of which the first match applies.
    ///
    /// # Errors
    /// All invalid rules by index, with the reason for each.
    pub fn new(rules: &[RouteRule<K>]) -> Result<Self, Vec<(usize, RouteError)>> {
        let (mut table, mut errors) = (RoutingTable::default(), Vec::new());
        for (index, rule) in rules.iter().enumerate() {
            match table.check(rule) {
                Err(error) => errors.push((index, error)),
                Ok(()) => {
                    let class_and_tenant = (rule.class.clone(), rule.tenant.clone());
                    table
                        .by_class_and_tenant
                        .entry(class_and_tenant)
                        .or_default()
                        .insert(&rule.prefix, index);
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

    /// Checks whether a rule is valid after the rules that are already in the table.
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

    /// Whether there are no rules.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Returns the classes that rules match (none: any) with the pools that they route to; each pair once, in
    /// order.
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

    /// Returns the pool of a request; none if no rule matches.
    pub fn pool(&self, class: Option<&K>, tenant: Option<&K>, key: &[u8]) -> Option<u32> {
        self.first_match(class, tenant, key).map(|rule| self.pools[rule])
    }

    /// Returns the index of the first rule that matches all requests with this class, tenant and key prefix.
    /// If the class or tenant is not given, only rules that match any class or tenant are considered.
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
