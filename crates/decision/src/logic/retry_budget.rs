//! The retry budget: the number of retries and hedged requests that may be sent, for the process and for each
//! tenant.

/// Attempts added to the budget by each request.
const ATTEMPTS_PER_REQUEST: f64 = 0.3;
/// Maximum balance of a budget. Each tenant has a budget of its own: with a single one, a tenant whose
/// requests all fail would use up the retries that other tenants need.
const MAX_BALANCE: f64 = 10.0;
/// Initial balance of a budget.
const INITIAL_BALANCE: f64 = 1.0;

/// The budgets for retries and hedged requests.
pub struct RetryBudget {
    /// Balance of the process's budget, followed by that of each tenant.
    balances: Vec<f64>,
}

impl RetryBudget {
    /// Creates the budgets of a process with a number of tenants.
    pub fn new(tenants: usize) -> Self {
        RetryBudget { balances: vec![INITIAL_BALANCE; 1 + tenants] }
    }

    /// Returns the balances that a tenant's request counts for: the process's and the tenant's.
    fn balances_for(&mut self, tenant: Option<usize>) -> impl Iterator<Item = &mut f64> {
        let own = tenant.map_or(0, |t| t + 1);
        let all = self.balances.iter_mut().enumerate();
        all.filter(move |(n, _)| *n == 0 || *n == own).map(|(_, balance)| balance)
    }

    /// Adds to the budgets for an arrived request.
    pub fn earn(&mut self, tenant: Option<usize>) {
        self.balances_for(tenant)
            .for_each(|balance| *balance = (*balance + ATTEMPTS_PER_REQUEST).min(MAX_BALANCE));
    }

    /// Whether the budgets allow a further attempt.
    pub fn allows(&mut self, tenant: Option<usize>) -> bool {
        self.balances_for(tenant).all(|balance| *balance >= 1.0)
    }

    /// Charges a further attempt to the budgets.
    pub fn spend(&mut self, tenant: Option<usize>) {
        self.balances_for(tenant).for_each(|balance| *balance -= 1.0);
    }
}
