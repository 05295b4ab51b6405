//! Tests of the shared message codec.

use millethook_machine::MAX_MESSAGE_BYTES;
use millethook_machine::codec::{
    BufMut, Header, Malformed, Reader, U48, push_within, read_message, write_header,
};

millethook_machine::wire_enum! {
    /// Kinds of the messages in these tests.
    enum Kind {
        /// A request.
        Ping = 1,
        /// The answer to a ping.
        Ack = 2,
    }
}

#[derive(Debug, PartialEq, Eq)]
struct Example {
    kind: Kind,
    number: u16,
}

impl Header for Example {
    const LENGTH: usize = 3;

    fn write(&self, bytes: &mut Vec<u8>) {
        bytes.put_u8(self.kind.to_wire());
        bytes.put_u16(self.number);
    }

    fn read(reader: &mut Reader<'_>) -> Result<Example, Malformed> {
        let kind = Kind::from_wire(reader.u8()?).ok_or(Malformed::Kind)?;
        Ok(Example { kind, number: reader.u16()? })
    }
}

millethook_machine::message_header! {
    /// The fields of [`Example`], and one field of each other encoding.
    struct Declared {
        kind: Kind,
        number: u16,
        byte: u8,
        four_bytes: u32,
        eight_bytes: u64,
        epoch: u64 as U48,
    }
}

#[test]
fn a_declared_header_consists_of_its_fields_in_order() {
    let header = Declared {
        kind: Kind::Ping,
        number: 0x0203,
        byte: 4,
        four_bytes: 0x0506_0708,
        eight_bytes: 0x090a_0b0c_0d0e_0f10,
        epoch: 0x1112_1314_1516,
    };
    let bytes: Vec<u8> = (1..=0x16).collect();
    assert_eq!(Declared::LENGTH, bytes.len());
    assert_eq!(write_header(&header), bytes);
    let (read, rest) = read_message::<Declared>(&bytes).expect("a message");
    assert_eq!((read, rest.remaining()), (header, &[][..]));
    let error_of = |bytes: &[u8]| read_message::<Declared>(bytes).err();
    assert_eq!(error_of(&bytes[1..]), Some(Malformed::Length));
    assert_eq!(error_of(&[9; 0x16]), Some(Malformed::Kind));
}

#[test]
fn a_written_header_is_read_back_and_an_invalid_one_is_rejected() {
    let header = Example { kind: Kind::Ack, number: 0x0102 };
    let mut bytes = write_header(&header);
    assert_eq!(bytes, [2, 1, 2]);
    bytes.push(9);
    let (read, rest) = read_message::<Example>(&bytes).expect("a message");
    assert_eq!((read, rest.remaining()), (header, &[9][..]));
    let error_of = |bytes: &[u8]| read_message::<Example>(bytes).err();
    assert_eq!(error_of(&bytes[..2]), Some(Malformed::Length));
    assert_eq!(error_of(&[3, 0, 0]), Some(Malformed::Kind));
    assert_eq!(error_of(&[1; MAX_MESSAGE_BYTES]), None);
    assert_eq!(error_of(&[1; MAX_MESSAGE_BYTES + 1]), Some(Malformed::Length));
}

#[test]
fn numbers_are_big_endian_and_short_input_consumes_nothing() {
    let bytes: Vec<u8> = (1..=27).collect();
    let mut reader = Reader::new(&bytes);
    assert_eq!(reader.u8(), Ok(1));
    assert_eq!(reader.u16(), Ok(0x0203));
    assert_eq!(reader.u32(), Ok(0x0405_0607));
    assert_eq!(reader.u48(), Ok(0x0809_0a0b_0c0d));
    assert_eq!(reader.u64(), Ok(0x0e0f_1011_1213_1415));
    assert_eq!(reader.array(), Ok([0x16, 0x17]));
    assert_eq!(reader.i32(), Ok(0x1819_1a1b));
    assert_eq!(Reader::new(&[0xff; 4]).i32(), Ok(-1));
    for length in 0..8 {
        let mut short = Reader::new(&bytes[..length]);
        assert_eq!(short.u64(), Err(Malformed::Length));
        assert_eq!(short.remaining(), &bytes[..length]);
    }
}

#[test]
fn records_end_at_the_first_invalid_one() {
    let record = |reader: &mut Reader<'_>| match reader.u8()? {
        7 => reader.u16(),
        _ => Err(Malformed::Kind),
    };
    for (bytes, expected, left) in [
        (&[7, 0, 1, 7, 0, 2][..], &[1, 2][..], 0),
        (&[7, 0, 1, 8, 0, 2], &[1], 3),
        (&[7, 0, 1, 7, 0], &[1], 2),
        (&[], &[], 0),
    ] {
        let mut reader = Reader::new(bytes);
        let read: Vec<u16> = reader.records(record).collect();
        assert_eq!((&read[..], reader.remaining().len()), (expected, left));
    }
}

#[test]
fn a_record_that_does_not_fit_changes_nothing() {
    let mut bytes = vec![1, 2];
    assert!(!push_within(&mut bytes, 5, |bytes| bytes.put_u32(0)));
    assert_eq!(bytes, [1, 2]);
    assert!(push_within(&mut bytes, 6, |bytes| bytes.put_u32(0)));
    assert_eq!(bytes.len(), 6);
    let mut full = vec![0; MAX_MESSAGE_BYTES];
    assert!(!push_within(&mut full, usize::MAX, |bytes| bytes.put_u8(0)));
    assert_eq!(full.len(), MAX_MESSAGE_BYTES);
}
