//! Tests that frames are parsed safely, and that the budget is kept and shared by weight.

use millethook_frames::{
    Channel, ChannelConfig, Frame, FrameError, FrameWriter, Header, Kind, MAX_FRAME_BYTES,
    MAX_RECORD,
};
use proptest::collection::vec;
use proptest::prelude::*;

const HEADER: Header = Header { fleet: 7, from: 3, epoch: 0x1234_5678_9abc };

proptest! {
    #[test]
    fn any_bytes_are_parsed_or_rejected(bytes in vec(any::<u8>(), 0..400)) {
        if let Ok(frame) = Frame::parse(&bytes) {
            let read: usize = frame.records().map(|(_, c)| c.len() + 2).sum();
            prop_assert_eq!(read + 13, bytes.len());
        }
    }

    #[test]
    fn written_records_are_read_back(records in vec((any::<u8>(), vec(any::<u8>(), 0..120)), 0..6)) {
        let mut writer = FrameWriter::new(HEADER);
        let written: Vec<_> = records.into_iter().filter(|(kind, c)| writer.push(*kind, c)).collect();
        let bytes = writer.finish();
        prop_assert!(bytes.len() <= MAX_FRAME_BYTES);
        let frame = Frame::parse(&bytes).unwrap();
        prop_assert_eq!(frame.header, HEADER);
        let read: Vec<_> = frame.records().map(|(kind, c)| (kind, c.to_vec())).collect();
        prop_assert_eq!(read, written);
        // A truncated record is detected.
        if let Some(short) = bytes.get(..bytes.len() - 1).filter(|short| short.len() >= 13) {
            prop_assert_eq!(Frame::parse(short), Err(FrameError::Truncated));
        }
    }

    #[test]
    fn the_budget_is_kept_at_any_time(
        offers in vec((0u64..50_000, 0u16..5, 1u8..3, 0usize..240), 1..300),
    ) {
        let kinds = vec![Kind { number: 1, weight: 3 }, Kind { number: 2, weight: 1 }];
        let config = ChannelConfig { rate: 2_000, burst: 600, kinds };
        let mut channel = Channel::new(&config, 0);
        let (mut now, mut sent) = (0, 0);
        for (gap, to, kind, length) in offers {
            now += gap;
            channel.offer(to, kind, vec![0; length]);
            while let Some((_, bytes)) = channel.poll(now, HEADER) {
                sent += bytes.len() as u64;
            }
            prop_assert_eq!(channel.check(), Ok(()));
            prop_assert!(sent as f64 <= 600.0 + now as f64 * 2e-3 + 2.0);
        }
        // All queued messages are sent once the budget allows it.
        while let Some(at) = channel.poll_timeout() {
            now = now.max(at);
            prop_assert!(channel.poll(now, HEADER).is_some());
        }
    }
}

#[test]
fn kinds_share_by_weight_and_none_starves() {
    let kinds = vec![Kind { number: 1, weight: 3 }, Kind { number: 2, weight: 1 }];
    let mut channel = Channel::new(&ChannelConfig { rate: 10_000, burst: 256, kinds }, 0);
    let mut sent = [0; 3];
    for n in 0..4_000 {
        // Each message has its own receiver, and both kinds always have queued messages.
        channel.offer(n, 1, vec![1; 100]);
        channel.offer(n + 5_000, 2, vec![2; 100]);
        while let Some((_, bytes)) = channel.poll(u64::from(n) * 20_000, HEADER) {
            let frame = Frame::parse(&bytes).unwrap();
            frame.records().for_each(|(kind, _)| sent[usize::from(kind)] += 1);
        }
    }
    let ratio = f64::from(sent[1]) / f64::from(sent[2]);
    assert!((2.8..3.2).contains(&ratio), "{sent:?}");
}

#[test]
fn messages_for_one_receiver_share_a_datagram_and_unknown_kinds_are_skipped() {
    let kinds = vec![Kind { number: 1, weight: 1 }, Kind { number: 9, weight: 1 }];
    let mut channel = Channel::new(&ChannelConfig { rate: 1_000, burst: 512, kinds }, 0);
    assert!(channel.offer(4, 1, b"one".to_vec()));
    assert!(channel.offer(4, 9, b"of the future".to_vec()));
    assert!(!channel.offer(4, 2, b"not set up".to_vec()));
    assert!(!channel.offer(4, 1, vec![0; MAX_RECORD + 1]));
    let (to, bytes) = channel.poll(0, HEADER).expect("a datagram");
    let frame = Frame::parse(&bytes).unwrap();
    let known: Vec<_> = frame.records().filter(|(kind, _)| *kind == 1).collect();
    assert_eq!((to, frame.records().count(), known), (4, 2, vec![(1, b"one".as_slice())]));
    assert_eq!(channel.poll_timeout(), None);
}
