//! The shape of a zone's relay tree and the sources after failures.

use borageshore_membership::{RelaySource, relay_source};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("vm-{number}")).collect()
}

fn source_of(own: &str, names: &[String], failures: usize) -> RelaySource<'static> {
    let chosen = relay_source(own, names.iter().map(String::as_str), failures);
    match chosen {
        RelaySource::Log => RelaySource::Log,
        RelaySource::Peer(name) => RelaySource::Peer(String::leak(name.to_owned())),
    }
}

/// Guards against too many readers of the log, overloaded relays and long chains: in a zone of 27, two
/// daemons read the log, none serves more than two others, and the depth is at most four.
#[test]
fn tree_is_narrow_and_shallow() {
    let names = names(27);
    let roots = names
        .iter()
        .filter(|name| source_of(name, &names, 0) == RelaySource::Log)
        .count();
    assert_eq!(roots, 2);
    for name in &names {
        let served = names
            .iter()
            .filter(|own| source_of(own, &names, 0) == RelaySource::Peer(name))
            .count();
        assert!(served <= 2, "{name} serves {served}");
        let mut reader: &str = name;
        let mut steps = 0;
        while let RelaySource::Peer(parent) = source_of(reader, &names, 0) {
            reader = parent;
            steps += 1;
        }
        assert!(steps <= 4, "{name} is {steps} steps away");
    }
}

/// Guards against readers that stay with a dead relay, or with the log while it is down.
#[test]
fn failed_reads_alternate_between_log_and_peers() {
    let names = names(9);
    let reader = names
        .iter()
        .find(|name| source_of(name, &names, 0) != RelaySource::Log)
        .unwrap();
    assert_eq!(source_of(reader, &names, 1), RelaySource::Log);
    let peers = [2, 4, 6].map(|failures| source_of(reader, &names, failures));
    assert!(
        peers
            .iter()
            .all(|peer| matches!(peer, RelaySource::Peer(_)))
    );
    assert!(peers[0] != peers[1] && peers[1] != peers[2]);
}
