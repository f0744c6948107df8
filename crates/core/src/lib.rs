//! Decision logic of the scheduler, without sockets, an async runtime or a wall clock.
//!
//! The modules mirror the scheduled world: [`machine`] (workers, runners, leases), [`zone`]
//! (regions, failure domains, racks, membership), [`link`] (dispatch of requests, retry budgets)
//! and [`contract`] (kinds of work, jobs, tasks, requests, teams, configuration). The [`ledger`]
//! defines the records in the platform's log and the rule by which all instances accept or reject
//! them, the [`timeline`] records events, and the [`audit`] checks from both whether the scheduler
//! kept its promises.
//!
//! Every decision object takes borrowed views and the current time, changes only its own state and
//! returns effects. A daemon or another front end carries the effects out.

pub mod audit;
pub mod clock;
pub mod contract;
pub mod finding;
pub mod ledger;
pub mod link;
pub mod machine;
pub mod name;
pub mod timeline;
pub mod zone;
