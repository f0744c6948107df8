//! Links: connections to peers and to runners, with their budgets.

pub mod dispatcher;
pub mod slot;
