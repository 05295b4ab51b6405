//! The list of servers by distribution: control nodes that ask discovery publish it, and all others take it from them, so
//! that discovery has a few callers in place of a whole fleet.
//!
//! [`ListSource`] and [`ListFollower`] decide, without clock and I/O; [`ListPublisher`] and [`ListSubscription`] are the
//! tasks round them.

mod follower;
mod known_list;
mod position;
mod published;
mod publisher;
mod source;
mod subscription;

pub use follower::{FIRST_LIST, FollowerStep, ListFollower, SILENT_AFTER, Verdict};
pub use known_list::KnownList;
pub use position::ListPosition;
pub use published::{
    BodyError, PublishedList, decode_confirmation, encode_confirmation, is_confirmation,
};
pub(crate) use publisher::PublishingSink;
pub use publisher::{ListPublisher, PublisherFigures};
pub use source::{CONFIRM_EVERY, ListSource, Publication, WriterState};
pub(crate) use subscription::SubscribedSink;
pub use subscription::{ListSubscription, SubscriptionFigures, SubscriptionParts};

use std::rc::Rc;

/// What this process does with the list that comes by distribution.
#[derive(Clone)]
pub enum ListRole {
    /// It has it from discovery and publishes it.
    Publisher(Rc<ListPublisher>),
    /// It takes it from the control nodes.
    Subscriber(Rc<ListSubscription>),
}
