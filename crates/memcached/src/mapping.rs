//! Finds by the operators' rules what a memcached request is to the core: its class, its tenant, whether it writes, and
//! whether its client marks it as a retry. The first rule that matches applies; a request that matches none is not
//! carried out.
//!
//! A class says whether its requests are idempotent, and an operation may contradict that. Rules that put an operation into a
//! class that must not have it are refused as a whole, with every such pair, before any request is mapped.

use crate::semantics::{class_allows, repeat_effect, RepeatEffect};
use crate::{Header, Opcode};
use aniseyoke_decision::api::Idempotency;
use std::collections::HashMap;
use strum::VariantArray;

/// The highest bit of the vbucket, by which rules may let clients mark retries: the protocol has no mark of its own, and
/// servers without vbuckets ignore this field.
pub const RETRY_BIT: u16 = 1 << 15;

/// Which operations are in a class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassRule {
    /// Operations that are not quiet; a quiet one is treated like its counterpart. None named: all that have a key.
    pub operations: Vec<Opcode>,
    /// What the key begins with.
    pub prefix: Vec<u8>,
    /// The class, by its index in the settings.
    pub class: usize,
}

/// Which tenant a request belongs to.
#[derive(Clone, Debug, Default)]
pub struct TenantRules {
    /// Tenants by the user that a client has authenticated as.
    pub users: HashMap<String, usize>,
    /// Tenants by what a key begins with, for clients that did not authenticate; the longest match applies.
    pub prefixes: Vec<(Vec<u8>, usize)>,
}

/// A rule that puts an operation into a class that must not have it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MappingError {
    /// The settings do not have the class.
    #[error("rule {rule}: there is no class {class}")]
    UnknownClass {
        /// The rule, from 0.
        rule: usize,
        /// The class.
        class: usize,
    },
    /// An operation that the connection itself responds to, or that is never carried out.
    #[error("rule {rule}: {operation:?} is not asked of nodes")]
    NotForNodes {
        /// The rule, from 0.
        rule: usize,
        /// The operation.
        operation: Opcode,
    },
    /// The class is idempotent, the operation is not.
    #[error("rule {rule}: {operation:?} {}, and its class may be repeated at will", harm(.effect))]
    NotIdempotent {
        /// The rule, from 0.
        rule: usize,
        /// The operation.
        operation: Opcode,
        /// What a second execution would do.
        effect: RepeatEffect,
    },
}

fn harm(effect: &RepeatEffect) -> &'static str {
    match effect {
        RepeatEffect::AppliedTwice => "would be done twice",
        RepeatEffect::Harmless | RepeatEffect::MisleadingResponse => {
            "would be answered wrongly when it runs twice"
        }
    }
}

/// What a request is to the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MappedRequest {
    /// The class, by its index in the settings.
    pub class: usize,
    /// The tenant, by its index in the settings.
    pub tenant: Option<usize>,
    /// It changes a value.
    pub write: bool,
    /// Its client marked it as a retry.
    pub retry: bool,
}

/// Why a request is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unmapped {
    /// No rule matches.
    #[error("no rule matches")]
    NoClass,
    /// It is bound to a version of the value, so that it is not idempotent, and its class is.
    #[error("it is bound to a version, and its class may be repeated at will")]
    BoundToVersion,
}

/// All rules, checked.
#[derive(Clone, Debug)]
pub struct RequestMapping {
    rules: Vec<ClassRule>,
    tenants: TenantRules,
    effects: Vec<Idempotency>,
    retry_bit: bool,
}

/// Whether an operation is carried out by nodes.
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

/// Whether an operation changes a value. A touch changes the time at which it expires, which all replicas have to hear of.
pub fn is_write(operation: Opcode) -> bool {
    let operation = operation.without_quiet();
    is_for_nodes(operation) && !matches!(operation, Opcode::Get | Opcode::GetK)
}

impl ClassRule {
    /// Whether the rule is about an operation, whatever its key.
    fn includes(&self, operation: Opcode) -> bool {
        self.operations.is_empty() || self.operations.contains(&operation)
    }

    /// Adds what is wrong with the rule, which has this index.
    fn check(&self, rule: usize, effects: &[Idempotency], errors: &mut Vec<MappingError>) {
        let Some(class_effect) = effects.get(self.class) else {
            errors.push(MappingError::UnknownClass { rule, class: self.class });
            return;
        };
        for operation in self.operations.iter().copied() {
            if operation.is_quiet() || !is_for_nodes(operation) {
                errors.push(MappingError::NotForNodes { rule, operation });
            }
        }
        let all = Opcode::VARIANTS.iter().copied().filter(|operation| is_for_nodes(*operation));
        for operation in all.filter(|operation| self.includes(*operation)) {
            let effect = repeat_effect(operation, 0);
            if !class_allows(*class_effect, effect) {
                errors.push(MappingError::NotIdempotent { rule, operation, effect });
            }
        }
    }
}

impl RequestMapping {
    /// Rules over classes with these effects. `retry_bit`: [`RETRY_BIT`] marks retries.
    ///
    /// # Errors
    /// Every rule and operation that is wrong.
    pub fn new(
        rules: Vec<ClassRule>,
        tenants: TenantRules,
        effects: &[Idempotency],
        retry_bit: bool,
    ) -> Result<Self, Vec<MappingError>> {
        let mut errors = Vec::new();
        for (index, rule) in rules.iter().enumerate() {
            rule.check(index, effects, &mut errors);
        }
        if errors.is_empty() {
            Ok(RequestMapping { rules, tenants, effects: effects.to_vec(), retry_bit })
        } else {
            Err(errors)
        }
    }

    /// What a request is to the core; `user`: whom the client has authenticated as.
    ///
    /// # Errors
    /// Why it is not carried out: it was not executed, and nothing was sent for it.
    pub fn map(&self, header: &Header, user: Option<&str>) -> Result<MappedRequest, Unmapped> {
        let operation = header.operation().map(Opcode::without_quiet);
        let operation = operation.filter(|operation| is_for_nodes(*operation)).ok_or(Unmapped::NoClass)?;
        let matches = |rule: &&ClassRule| rule.includes(operation) && header.key.starts_with(&rule.prefix);
        let class = self.rules.iter().find(matches).ok_or(Unmapped::NoClass)?.class;
        // Danger: an idempotent class would execute a request that is bound to a version a second time, and tell its client
        // that its own first attempt was somebody else's change.
        let class_effect = self.effects.get(class).copied().unwrap_or(Idempotency::NonIdempotent);
        if !class_allows(class_effect, repeat_effect(operation, header.cas)) {
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
    /// The tenant of a request. A client that has authenticated does not become another tenant by its keys.
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
