//! Decisions of the scheduler, without sockets, runtime or wall clock.
//!
//! The folders mirror the world that is scheduled: [`machine`] (workers, runners, leases),
//! [`zone`] (regions, failure domains, racks, membership), [`link`] (connections and budgets) and
//! [`contract`] (kinds of work, jobs, tasks, requests, teams, configuration). The [`ledger`]
//! holds the one rule by which instances agree, the [`timeline`] tells what happened, and the
//! [`audit`] states from both whether the promises were kept. Every decision object takes borrowed
//! views and the time, changes only itself and returns effects; a daemon or another front end
//! carries the effects out.

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
