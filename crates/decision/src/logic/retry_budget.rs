//! The retry budget: how many retries and hedged requests may be sent, for the process and for each tenant.

/// Retries earned by each request.
const PER_REQUEST: f64 = 0.3;
/// The most that is saved. Danger: with one budget for all, a tenant whose every request fails spends what
/// the others' lost requests would need.
const SAVED_MOST: f64 = 10.0;
/// What each budget starts with.
const AT_START: f64 = 1.0;

/// What may be spent on retries and hedged requests.
pub struct RetryBudget {
    /// The process's budget, and behind that each tenant's.
    earned: Vec<f64>,
}

impl RetryBudget {
    /// The budgets of a process with so many tenants.
    pub fn new(tenants: usize) -> Self {
        RetryBudget { earned: vec![AT_START; 1 + tenants] }
    }

    /// The budgets that a tenant's request counts for: the process's and its own.
    fn of(&mut self, tenant: Option<usize>) -> impl Iterator<Item = &mut f64> {
        let own = tenant.map_or(0, |t| t + 1);
        let all = self.earned.iter_mut().enumerate();
        all.filter(move |(n, _)| *n == 0 || *n == own).map(|(_, earned)| earned)
    }

    /// A request has arrived.
    pub fn earn(&mut self, tenant: Option<usize>) {
        self.of(tenant).for_each(|earned| *earned = (*earned + PER_REQUEST).min(SAVED_MOST));
    }

    /// Whether a further attempt has been earned.
    pub fn allows(&mut self, tenant: Option<usize>) -> bool {
        self.of(tenant).all(|earned| *earned >= 1.0)
    }

    /// Pays for a further attempt.
    pub fn spend(&mut self, tenant: Option<usize>) {
        self.of(tenant).for_each(|earned| *earned -= 1.0);
    }
}
