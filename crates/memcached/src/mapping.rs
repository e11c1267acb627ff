//! Maps memcached requests to what the core has to know of them, by the operators' rules: the class, the
//! tenant, whether the request is a write, and whether its client marked it as a retry. The first rule that
//! matches applies; a request that matches none is not executed.
//!
//! A class specifies whether its requests are idempotent, and an operation may contradict that. If any rule
//! puts an operation into a class that does not allow it, the rules are rejected as a whole with all such
//! pairs, before any request is mapped.

use crate::semantics::{class_allows, repeat_effect, RepeatEffect};
use crate::{Header, Opcode};
use aniseyoke_decision::api::Idempotency;
use std::collections::HashMap;
use strum::VariantArray;

/// The highest bit of the vbucket, with which clients may mark retries if the rules allow it: the protocol
/// itself has no such mark, and servers without vbuckets ignore this field.
pub const RETRY_BIT: u16 = 1 << 15;

/// Assigns operations to a class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassRule {
    /// Non-quiet operations; a quiet one is treated like its counterpart. If empty, all operations that nodes
    /// execute.
    pub operations: Vec<Opcode>,
    /// A prefix of the key.
    pub prefix: Vec<u8>,
    /// The class, by its index in the settings.
    pub class: usize,
}

/// Assigns requests to tenants.
#[derive(Clone, Debug, Default)]
pub struct TenantRules {
    /// Indexes of tenants by the user name of an authenticated client.
    pub users: HashMap<String, usize>,
    /// Key prefixes with the indexes of their tenants, for clients that did not authenticate; the longest
    /// match applies.
    pub prefixes: Vec<(Vec<u8>, usize)>,
}

/// An error in a class rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MappingError {
    /// The class is not in the settings.
    #[error("rule {rule}: unknown class {class}")]
    UnknownClass {
        /// The rule, from 0.
        rule: usize,
        /// The class.
        class: usize,
    },
    /// The operation is quiet, answered by the connection itself, or not supported.
    #[error("rule {rule}: {operation:?} is not an operation that nodes execute")]
    NotForNodes {
        /// The rule, from 0.
        rule: usize,
        /// The operation.
        operation: Opcode,
    },
    /// The class is idempotent, the operation is not.
    #[error("rule {rule}: the class is idempotent, but executing {operation:?} twice {}", describe(.effect))]
    NotIdempotent {
        /// The rule, from 0.
        rule: usize,
        /// The operation.
        operation: Opcode,
        /// The effect of a second execution.
        effect: RepeatEffect,
    },
}

fn describe(effect: &RepeatEffect) -> &'static str {
    match effect {
        RepeatEffect::AppliedTwice => "applies the change twice",
        RepeatEffect::Harmless | RepeatEffect::MisleadingResponse => "gives a misleading response",
    }
}

/// The properties of a request that the core has to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MappedRequest {
    /// The class, by its index in the settings.
    pub class: usize,
    /// The tenant, by its index in the settings.
    pub tenant: Option<usize>,
    /// Whether the request changes a value.
    pub write: bool,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
}

/// Why a request is not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unmapped {
    /// No class rule matches the request.
    #[error("no class rule matches the request")]
    NoClass,
    /// The request is bound to a version of the value and thus not idempotent, but its class is.
    #[error("the request is bound to a version of the value, but its class is idempotent")]
    BoundToVersion,
}

/// The validated rules.
#[derive(Clone, Debug)]
pub struct RequestMapping {
    rules: Vec<ClassRule>,
    tenants: TenantRules,
    class_idempotency: Vec<Idempotency>,
    retry_bit: bool,
}

/// Whether nodes execute an operation.
fn is_for_nodes(operation: Opcode) -> bool {
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

/// Whether an operation changes a value. A touch is a write because all replicas need the new expiration.
pub fn is_write(operation: Opcode) -> bool {
    let operation = operation.without_quiet();
    is_for_nodes(operation) && !matches!(operation, Opcode::Get | Opcode::GetK)
}

impl ClassRule {
    /// Whether the rule covers an operation, regardless of the key.
    fn includes(&self, operation: Opcode) -> bool {
        self.operations.is_empty() || self.operations.contains(&operation)
    }

    /// Adds the errors of this rule to `errors`; `rule` is its index.
    fn check(&self, rule: usize, class_idempotency: &[Idempotency], errors: &mut Vec<MappingError>) {
        let Some(idempotency) = class_idempotency.get(self.class) else {
            errors.push(MappingError::UnknownClass { rule, class: self.class });
            return;
        };
        for operation in self.operations.iter().copied() {
            if operation.is_quiet() || !is_for_nodes(operation) {
                errors.push(MappingError::NotForNodes { rule, operation });
            }
        }
        let node_operations = Opcode::VARIANTS.iter().copied().filter(|operation| is_for_nodes(*operation));
        for operation in node_operations.filter(|operation| self.includes(*operation)) {
            let effect = repeat_effect(operation, 0);
            if !class_allows(*idempotency, effect) {
                errors.push(MappingError::NotIdempotent { rule, operation, effect });
            }
        }
    }
}

impl RequestMapping {
    /// Validates the rules against the idempotency of each class. `retry_bit` says whether [`RETRY_BIT`]
    /// marks retries.
    ///
    /// # Errors
    /// All errors of all rules.
    pub fn new(
        rules: Vec<ClassRule>,
        tenants: TenantRules,
        class_idempotency: &[Idempotency],
        retry_bit: bool,
    ) -> Result<Self, Vec<MappingError>> {
        let mut errors = Vec::new();
        for (index, rule) in rules.iter().enumerate() {
            rule.check(index, class_idempotency, &mut errors);
        }
        if errors.is_empty() {
            Ok(RequestMapping { rules, tenants, class_idempotency: class_idempotency.to_vec(), retry_bit })
        } else {
            Err(errors)
        }
    }

    /// Maps a request; `user` is the user name of an authenticated client.
    ///
    /// # Errors
    /// If the request must not be executed; nothing has been sent for it.
    pub fn map(&self, header: &Header, user: Option<&str>) -> Result<MappedRequest, Unmapped> {
        let operation = header.operation().map(Opcode::without_quiet);
        let operation = operation.filter(|operation| is_for_nodes(*operation)).ok_or(Unmapped::NoClass)?;
        let matches = |rule: &&ClassRule| rule.includes(operation) && header.key.starts_with(&rule.prefix);
        let class = self.rules.iter().find(matches).ok_or(Unmapped::NoClass)?.class;
        // In an idempotent class, a retry of a request that is bound to a version would fail because of the
        // first attempt, and its client would take its own change for another client's.
        let idempotency = self.class_idempotency.get(class).copied().unwrap_or(Idempotency::NonIdempotent);
        if !class_allows(idempotency, repeat_effect(operation, header.cas)) {
            return Err(Unmapped::BoundToVersion);
        }
        Ok(MappedRequest {
            class,
            tenant: self.tenants.tenant(&header.key, user),
            write: is_write(operation),
            retry: self.retry_bit && header.vbucket_or_status & RETRY_BIT != 0,
        })
    }
}

impl TenantRules {
    /// Returns the tenant of a request. The keys of an authenticated client do not change its tenant.
    fn tenant(&self, key: &[u8], user: Option<&str>) -> Option<usize> {
        if let Some(user) = user {
            return self.users.get(user).copied();
        }
        let matching = self.prefixes.iter().filter(|(prefix, _)| key.starts_with(prefix));
        matching.max_by_key(|(prefix, _)| prefix.len()).map(|(_, tenant)| *tenant)
    }
}

#[cfg(test)]
mod tests;
