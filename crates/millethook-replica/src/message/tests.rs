//! Tests of the encoding, as fixed bytes.

use millethook_machine::codec::{read_message, write_header};

use super::*;

/// Messages of other builds must be readable, so the encoding is fixed by bytes.
#[test]
fn encoding_matches_the_table() {
    let header = MessageHeader { kind: MessageKind::Compare, salt: 0x0102, hash: 0x0304_0506 };
    assert_eq!(write_header(&header), [2, 1, 2, 3, 4, 5, 6]);
    let (read, rest) = read_message::<MessageHeader>(&[2, 1, 2, 3, 4, 5, 6, 9]).expect("a message");
    assert_eq!((read, rest.remaining()), (header, &[9][..]));
    let evidence = EntryValue::Evidence {
        author_epoch: 0x0000_0102_0304_0506,
        counter: 7,
        server_epoch: 8,
        verdict: Verdict::Silent,
        zone: 3,
    };
    let entry = Entry { value: evidence, age: 258_999 };
    let mut bytes = Vec::new();
    assert!(write_entry(&mut bytes, Key::Evidence { server: 5, author: 6 }, &entry, 241));
    let form = [
        &[0x10 | Verdict::Silent as u8][..],
        &[0, 0, 0, 0, 0, 0, 0, 5, 0, 6, 1, 2, 3, 4, 5, 6, 0, 0, 0, 7],
        &[0, 0, 0, 0, 0, 8, 3, 1, 2],
    ];
    assert_eq!(bytes, form.concat());
    let departure = EntryValue::Departure { server_epoch: 9, departure: Departure::Gone };
    let key = Key::Departure { server: 4 };
    assert!(!write_entry(&mut bytes, key, &Entry { value: departure, age: 0 }, 46));
    assert!(write_entry(&mut bytes, key, &Entry { value: departure, age: 0 }, 47));
    assert_eq!(bytes[30..], [0x22, 0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 0, 0, 9, 0, 0]);
    let read: Vec<_> = Reader::new(&bytes).records(read_entry).collect();
    assert_eq!(read.len(), 2);
    assert_eq!(read[0].1, Entry { age: 258_000, ..entry });
    assert_eq!(Reader::new(&bytes[..46]).records(read_entry).count(), 1);
}
