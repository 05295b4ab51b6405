//! The adapter as a process: its error messages on malformed input, and its exit codes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_coppercart-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read everything: a broken pipe is not a failure here.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn record(fields: &[&[u8]]) -> Vec<u8> {
    let mut record: Vec<u8> = fields.concat();
    record.resize(40, 0);
    record
}

fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let len = 16 + 40 * records.len() + tail.len();
    let mut frame = (len as u32).to_le_bytes().to_vec();
    frame.extend(1_000_000u64.to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(records.concat());
    frame.extend_from_slice(tail);
    frame
}

fn on(instance: u16) -> Vec<u8> {
    record(&[&[11], &instance.to_le_bytes()])
}

fn up(settings: &str) -> Vec<u8> {
    let len = (settings.len() as u32).to_le_bytes();
    record(&[&[0], &7u64.to_le_bytes(), &0u32.to_le_bytes(), &len])
}

fn error_line(out: &Output) -> String {
    assert_eq!(out.status.code(), Some(1));
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn end_of_input_exits_cleanly() {
    let out = run(&[]);
    assert_eq!(out.status.code(), Some(0));
    let out = run(&frame(&[], &[]));
    assert_eq!(out.status.code(), Some(0));
    assert_eq!(out.stdout, [8, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn malformed_frames_exit_with_one_error_line_and_no_reply() {
    let truncated = &frame(&[on(3)], &[])[..30];
    let out = run(truncated);
    assert!(error_line(&out).contains("input ends at byte 30"));
    assert!(out.stdout.is_empty());
    let undefined = frame(&[on(3), record(&[&[1], &[0; 5], &[4]])], &[]);
    let out = run(&undefined);
    assert!(error_line(&out).contains("list"));
    assert!(out.stdout.is_empty());
}

#[test]
fn invalid_settings_are_a_fault_that_names_the_key() {
    let mut json = millethook_testkit::settings_json();
    json["me"] = 9.into();
    for (text, key) in [(json.to_string(), "me"), ("nonsense".into(), "settings")] {
        let out = run(&frame(&[on(3), up(&text)], text.as_bytes()));
        assert!(error_line(&out).contains(key));
        let reply = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(reply.contains(key), "FAULT carries the text: {reply:?}");
    }
}

#[test]
fn unknown_records_are_skipped_and_logged_once() {
    let unknown = record(&[&[77]]);
    let out = run(&frame(&[on(3), unknown.clone(), unknown], &[]));
    assert_eq!(out.status.code(), Some(0));
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(text.matches("77").count(), 1, "{text}");
}

#[test]
fn an_instance_may_stop_and_start_in_one_batch() {
    let text = millethook_testkit::settings_json().to_string();
    let exit = record(&[&[9]]);
    let records = [on(3), up(&text), exit, up(&text)];
    let out = run(&frame(&records, text.as_bytes()));
    assert_eq!(out.status.code(), Some(0));
    assert_eq!(out.stdout, [8, 0, 0, 0, 0, 0, 0, 0]);
}
