//! Distributes the list of servers: control nodes watch discovery and publish the list, and all other members get it
//! from them, so that discovery serves a few clients instead of the whole fleet.
//!
//! [`ListSource`] and [`ListFollower`] decide, without clock and I/O; [`ListPublisher`] and [`ListSubscription`] are
//! the tasks that run them.

mod follower;
mod known_list;
mod position;
mod published;
mod publisher;
mod source;
mod subscription;

pub use follower::{
    CONFIRMATION_TIMEOUT, FIRST_LIST_TIMEOUT, FollowerStep, Freshness, ListFollower,
};
pub use known_list::KnownList;
pub use position::ListPosition;
pub use published::{
    BodyError, PublishedList, decode_confirmation, encode_confirmation, is_confirmation,
};
pub(crate) use publisher::PublishingSink;
pub use publisher::{ListPublisher, PublisherFigures};
pub use source::{CONFIRM_INTERVAL, ListSource, Publication, WriterState};
pub(crate) use subscription::SubscribedSink;
pub use subscription::{ListSubscription, SubscriptionFigures, SubscriptionParts};

use std::rc::Rc;

/// The role of this process in the distribution of the list.
#[derive(Clone)]
pub enum ListRole {
    /// It gets the list from discovery and publishes it.
    Publisher(Rc<ListPublisher>),
    /// It gets the list from the control nodes.
    Subscriber(Rc<ListSubscription>),
}
