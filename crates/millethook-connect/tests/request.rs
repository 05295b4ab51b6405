//! The heads of requests as servers read them: each field that the encoder owns appears once.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use millethook_connect::EncodedRequest;
use millethook_connect::request::{ENCODER_OWNED, Framing, Persistence};

/// The names and values of a head's fields in their order.
fn fields(request: &EncodedRequest, time_left_ms: u64) -> Vec<(String, String)> {
    let mut head = Vec::new();
    request.head_into(&mut head, time_left_ms, "10.0.0.1:80", Persistence::KeepAlive);
    let head = String::from_utf8(head).expect("text");
    let lines = head.strip_suffix("\r\n\r\n").expect("one empty line").split("\r\n").skip(1);
    let field = |line: &str| {
        let (name, value) = line.split_once(": ").expect("a field");
        (name.to_owned(), value.to_owned())
    };
    lines.map(field).collect()
}

fn values<'f>(fields: &'f [(String, String)], name: &str) -> Vec<&'f str> {
    fields.iter().filter(|field| field.0 == name).map(|field| field.1.as_str()).collect()
}

/// A caller's headers with each owned field, `times` times.
fn caller_headers(times: usize) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for _ in 0..times {
        for name in ENCODER_OWNED {
            headers.append(name, HeaderValue::from_static("9999"));
        }
    }
    headers.append("x-account", HeaderValue::from_static("acme"));
    headers
}

#[test]
fn fields_of_the_encoder_appear_once_whatever_the_caller_sent() {
    let uri = Uri::from_static("/order");
    for times in 0..3 {
        for framing in [Framing::Complete, Framing::Length(70_000), Framing::Chunked] {
            let body = vec![Bytes::from_static(b"abc")];
            let headers = caller_headers(times);
            let request = EncodedRequest::framed(&Method::POST, &uri, &headers, body, framing);
            let fields = fields(&request, 480);
            let context = format!("{framing:?}, {times} times: {fields:?}");
            assert_eq!(values(&fields, "x-time-left-ms"), ["480"], "{context}");
            assert_eq!(values(&fields, "host").len(), 1, "{context}");
            assert_eq!(values(&fields, "x-account"), ["acme"], "{context}");
            let (length, coding) =
                (values(&fields, "content-length"), values(&fields, "transfer-encoding"));
            match framing {
                Framing::Complete => assert!(length == ["3"] && coding.is_empty(), "{context}"),
                Framing::Length(_) => {
                    assert!(length == ["70000"] && coding.is_empty(), "{context}")
                }
                Framing::Chunked => {
                    assert!(length.is_empty() && coding == ["chunked"], "{context}")
                }
            }
        }
    }
}

#[test]
fn connection_close_appears_once_whatever_the_caller_sent() {
    let uri = Uri::from_static("/look");
    for times in 0..3 {
        let request = EncodedRequest::new(&Method::GET, &uri, &caller_headers(times), Vec::new());
        let mut head = Vec::new();
        request.head_into(&mut head, 1, "10.0.0.1:80", Persistence::Close);
        let head = String::from_utf8(head).expect("text");
        assert_eq!(head.matches("connection: ").count(), 1, "{head}");
        assert!(head.ends_with("\r\nconnection: close\r\n\r\n"), "{head}");
    }
}

#[test]
fn the_host_is_the_callers_or_the_address_of_the_server() {
    let uri = Uri::from_static("/look");
    let encoded = |headers| EncodedRequest::new(&Method::GET, &uri, &headers, Vec::new());
    let mut headers = HeaderMap::new();
    assert_eq!(values(&fields(&encoded(headers.clone()), 1), "host"), ["10.0.0.1:80"]);
    headers.insert("host", HeaderValue::from_static("app.svc"));
    assert_eq!(values(&fields(&encoded(headers), 1), "host"), ["app.svc"]);
}
