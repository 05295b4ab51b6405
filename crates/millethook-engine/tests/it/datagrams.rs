//! Tests of the receive buffer of the datagram socket, on real sockets.

use std::net::SocketAddr;

use millethook_engine::datagrams::bind;
use tokio::net::UdpSocket;

/// The size of a datagram.
const DATAGRAM_BYTES: usize = 200;

fn any_loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sends `sent` datagrams while nobody reads. Returns the granted receive buffer and the number of datagrams that it
/// kept.
async fn send_unread(receive_buffer: Option<usize>, sent: usize) -> (usize, usize) {
    let receiver =
        bind(any_loopback_address(), receive_buffer).expect("a loopback address can be bound");
    let address = receiver.socket.local_addr().expect("the socket is bound");
    let sender =
        UdpSocket::bind(any_loopback_address()).await.expect("a loopback address can be bound");
    for _ in 0..sent {
        sender.send_to(&[7; DATAGRAM_BYTES], address).await.expect("loopback accepts the datagram");
    }
    let mut kept = 0;
    let mut content = [0; DATAGRAM_BYTES];
    receiver.socket.readable().await.expect("a datagram has arrived");
    while receiver.socket.try_recv_from(&mut content).is_ok() {
        kept += 1;
    }
    (receiver.receive_buffer, kept)
}

#[tokio::test]
async fn a_larger_receive_buffer_keeps_more_unread_datagrams() {
    const SENT: usize = 4_000;
    let (default_size, default_kept) = send_unread(None, SENT).await;
    let (small_size, small_kept) = send_unread(Some(16_384), SENT).await;
    println!(
        "default: {default_size} bytes, {default_kept} of {SENT} kept; 16 KiB: {small_size} bytes, {small_kept} kept"
    );
    assert!(small_size < default_size, "{small_size} of {default_size} bytes");
    assert!(small_kept < default_kept, "{small_kept} of {default_kept} datagrams");
    // The system grants at most twice net.core.rmem_max and reports the granted size.
    let (granted, granted_kept) = send_unread(Some(4 << 20), SENT).await;
    println!("4 MiB requested: {granted} bytes granted, {granted_kept} of {SENT} kept");
    assert!(granted >= default_size, "{granted} of {default_size} bytes");
    assert!(granted_kept >= default_kept, "{granted_kept} of {default_kept} datagrams");
}

#[tokio::test]
async fn a_receive_buffer_that_the_system_does_not_grant_is_no_error() {
    let receiver =
        bind(any_loopback_address(), Some(1 << 30)).expect("the system grants a smaller one");
    assert!(receiver.receive_buffer > 0);
}
