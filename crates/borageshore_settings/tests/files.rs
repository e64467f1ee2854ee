//! Faults in settings files carry a result code and name the file, the line and the key.

use borageshore_settings::check_settings_file;

macro_rules! faulty_files {
    ($($name:ident: $text:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let faults = check_settings_file("f.yaml", $text).unwrap_err();
                let shown: Vec<String> = faults.iter().map(ToString::to_string).collect();
                assert!(shown[0].starts_with($expected), "{shown:?}");
            }
        )*
    };
}

faulty_files! {
    unknown_key: "nodes:\n  a:\n    parent: root\n    importanc: 4\n" => "f.yaml:4: BS-2001";
    wrong_unit: "nodes:\n  a:\n    queue_deadline_s: 4\n" => "f.yaml:3: BS-2001";
    wrong_type: "nodes:\n  a:\n    importance: high\n" => "f.yaml:3: BS-2002";
    unit_in_value: "nodes:\n  a:\n    queue_deadline_ms: 4s\n" => "f.yaml:3: BS-2002";
    out_of_range: "nodes:\n  a:\n    importance: 101\n" => "f.yaml:3: BS-2003";
    unknown_choice: "nodes:\n  a:\n    kind: jobs\n" => "f.yaml:3: BS-2003";
    cycle: "nodes:\n  a:\n    parent: b\n  b:\n    parent: a\n" => "f.yaml:3: BS-2004";
    missing_parent: "nodes:\n  a:\n    parent: b\n" => "f.yaml:3: BS-2005";
    no_parent: "nodes:\n  a:\n    importance: 1\n" => "f.yaml: BS-2006";
    not_yaml: "nodes:\n  a: [\n" => "f.yaml:2: BS-2007";
    unknown_section: "node: {}\n" => "f.yaml:1: BS-2007";
    missing_service: "nodes:\n  j:\n    parent: root\n    service: s\n" => "f.yaml:4: BS-2009";
    job_without_service: "nodes:\n  j:\n    parent: root\n    kind: job\n" => "f.yaml: BS-2009";
    root_only: "nodes:\n  a:\n    parent: root\n    lease_ttl_ms: 5000\n" => "f.yaml:4: BS-2012";
}

/// All faults of a file are reported in one run.
#[test]
fn all_faults_are_told() {
    let text = "nodes:\n  a:\n    importanc: 4\n    importance: high\n";
    assert_eq!(check_settings_file("f.yaml", text).unwrap_err().len(), 2);
}

/// The example deployments are valid.
#[test]
fn examples_are_valid() {
    for text in [
        include_str!("../../../examples/navua/settings.yaml"),
        include_str!("../../../examples/lone-star/settings.yaml"),
    ] {
        check_settings_file("example", text).unwrap();
    }
}
