//! Encoded requests.

use super::*;
use http::HeaderValue;

fn text(request: &EncodedRequest, host: &str) -> String {
    let mut head = Vec::new();
    request.head_into(&mut head, 480, host, Persistence::KeepAlive);
    String::from_utf8(head).expect("text")
}

#[test]
fn framing_fields_of_the_caller_are_replaced() {
    let mut headers = HeaderMap::new();
    headers.insert("x-account", HeaderValue::from_static("acme"));
    headers.insert("content-length", HeaderValue::from_static("7"));
    headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
    let body = vec![Bytes::from_static(b"ab"), Bytes::from_static(b"cde")];
    let uri = Uri::from_static("/order/1?x=2");
    let request = EncodedRequest::new(&Method::POST, &uri, &headers, body);
    assert_eq!(
        text(&request, "10.0.0.1:80"),
        "POST /order/1?x=2 HTTP/1.1\r\nx-account: acme\r\ncontent-length: 5\r\n\
         host: 10.0.0.1:80\r\nx-time-left-ms: 480\r\n\r\n"
    );
    assert_eq!(request.body_len(), 5);
}

#[test]
fn the_callers_host_is_kept_and_an_empty_post_has_a_length() {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("app.svc"));
    let uri = Uri::from_static("/look");
    let get = EncodedRequest::new(&Method::GET, &uri, &headers, Vec::new());
    assert_eq!(
        text(&get, "x"),
        "GET /look HTTP/1.1\r\nhost: app.svc\r\nx-time-left-ms: 480\r\n\r\n"
    );
    let post = EncodedRequest::new(&Method::POST, &uri, &headers, Vec::new());
    assert!(text(&post, "x").contains("content-length: 0\r\n"));
}

#[test]
fn a_streamed_body_has_a_length_or_is_chunked() {
    let uri = Uri::from_static("/keep");
    let framed = |framing| {
        let body = vec![Bytes::from_static(b"ab"), Bytes::from_static(b"cde")];
        EncodedRequest::framed(&Method::POST, &uri, &HeaderMap::new(), body, framing)
    };
    let length = framed(Framing::Length(90_000));
    assert!(text(&length, "x").contains("content-length: 90000\r\n"));
    assert_eq!(length.body_len(), 5);
    let chunked = framed(Framing::Chunked);
    assert!(text(&chunked, "x").contains("transfer-encoding: chunked\r\n"));
    assert!(!text(&chunked, "x").contains("content-length"));
    let mut out = [IoSlice::new(&[]); MAX_IO_SLICES];
    let n = chunked.slices(&[], (0, chunked.body_len()), &mut out);
    let got: Vec<u8> = out[..n].iter().flat_map(|s| s.to_vec()).collect();
    assert_eq!(got, b"2\r\nab\r\n3\r\ncde\r\n");
}

#[test]
fn slices_cover_any_range_once() {
    let body = vec![Bytes::from_static(b"ab"), Bytes::new(), Bytes::from_static(b"cde")];
    let uri = Uri::from_static("/");
    let request = EncodedRequest::new(&Method::POST, &uri, &HeaderMap::new(), body);
    let (head, all) = (b"HEAD", b"HEADabcde");
    for from in 0..=all.len() {
        for to in from..=all.len() {
            let mut out = [IoSlice::new(&[]); MAX_IO_SLICES];
            let n = request.slices(head, (from, to), &mut out);
            let got: Vec<u8> = out[..n].iter().flat_map(|s| s.to_vec()).collect();
            assert_eq!(got, &all[from..to], "{from}..{to}");
        }
    }
}
