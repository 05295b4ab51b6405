//! Scripted stand-ins for tests, all on loopback: servers, discovery, clients, and the daemon's
//! process. Every wait has a timeout that is much longer than the wait normally takes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent;
mod daemon;
mod delay;
mod early_servers;
mod fault;
mod message;
mod random;
mod requests;
mod server;
mod server_group;
mod settings;
mod unreachable;
mod violations;
mod wait;
mod worker;

pub use agent::{Agent, full_list};
pub use daemon::{Sidecar, command, config, failed_start, program};
pub use delay::Delay;
pub use early_servers::{
    DoubleAnswer, EarlyAnswer, RequestCounts, closing_server, double_answering_server,
    early_answering_server, path,
};
pub use fault::{AcceptFault, Fault};
pub use message::{Conn, Message, answer, ok};
pub use random::Random;
pub use requests::{common_headers, keyed, safe, safe_with_id, unsafe_with};
pub use server::{RequestLog, SeenRequest, Server, host, hosts, servers};
pub use server_group::{Attempt, ServerGroup};
pub use settings::settings_json;
pub use unreachable::{BlackHole, FullBacklog, refusing_address, short_backlog};
pub use violations::{record_violation, repeated_answer_field, repeated_field, violations};
pub use wait::{WAIT_TIMEOUT, receive, wait_until};
pub use worker::{ColdStart, Worker};
