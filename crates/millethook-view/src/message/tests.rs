//! Tests of the encoding, as fixed bytes.

use millethook_machine::codec::{read_message, write_header};

use super::*;

/// Messages of other builds must be readable, so the encoding is fixed by bytes.
#[test]
fn encoding_matches_the_table() {
    let header = MessageHeader {
        kind: MessageKind::PullReply,
        sequence: 0x0102,
        hash: 0x0304_0506,
        incarnation: 7,
        subject: 8,
        epoch: 0x0000_1112_1314_1516,
    };
    let bytes = [5, 1, 2, 3, 4, 5, 6, 0, 7, 0, 8, 0x11, 0x12, 0x13, 0x14, 0x15, 0x16];
    assert_eq!(write_header(&header), bytes);
    let (read, rest) = read_message::<MessageHeader>(&bytes).expect("a message");
    assert_eq!((read, rest.remaining()), (header, &[][..]));
    assert_eq!(read_message::<MessageHeader>(&bytes[..16]).err(), Some(Malformed::Length));
    let from = 1_000;
    let recent =
        Fact { number: 1, epoch: 990, incarnation: 0, status: Status::Alive, reported_by: 1 };
    let distant =
        Fact { number: 2, epoch: 1 << 40, incarnation: 3, status: Status::Dead, reported_by: 9 };
    let mut facts = Vec::new();
    assert!(write_fact(&mut facts, &recent, from, 241));
    assert!(!write_fact(&mut facts, &distant, from, 19));
    assert!(write_fact(&mut facts, &distant, from, 20));
    let recent_form = [0, 1, Status::Alive.wire(), 0xff, 0xff, 0xff, 0xf6];
    let distant_form = [0, 2, Status::Dead.wire() | 0x30, 1, 0, 0, 0, 0, 0, 0, 3, 0, 9];
    assert_eq!(facts, [&recent_form[..], &distant_form].concat());
    let mut reader = Reader::new(&facts);
    let read: Vec<Fact> = reader.records(|reader| read_fact(reader, from)).collect();
    assert_eq!(read, [recent, distant]);
}
