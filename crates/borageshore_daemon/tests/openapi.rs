//! Every path and method of `docs/openapi.yaml` has a route in a running daemon.

mod support;

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::TcpStream,
};

use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Document {
    paths: BTreeMap<String, BTreeMap<String, serde_json::Value>>,
}

#[test]
fn documented_paths_exist() {
    let document: Document =
        serde_saphyr::from_str(include_str!("../../../docs/openapi.yaml")).unwrap();
    assert!(document.paths.len() > 10);
    let address = support::spawn_daemon();
    for (path, methods) in document.paths {
        for method in methods.keys() {
            let response = send_request(&address, &method.to_uppercase(), &path);
            assert!(
                !response.contains("x-result-code: 3003"),
                "{method} {path}: {response}"
            );
        }
    }
}

fn send_request(address: &str, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let path = path.replace(['{', '}'], "");
    write!(stream, "{method} {path} HTTP/1.1\r\nhost: edge\r\nauthorization: Bearer operator\r\nconnection: close\r\n\r\n").unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}
