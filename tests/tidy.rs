//! Source rules that rustfmt and clippy don't check.

use std::{
    fs,
    path::{Path, PathBuf},
};

use borageshore::base::ResultCode;

/// Maximum number of lines of a source file.
const MAX_LINES: usize = 560;
const GENERATED: &str = "generated.rs";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn files_below(folder: &Path, suffix: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(files_below(&path, suffix));
        } else if path.to_string_lossy().ends_with(suffix) {
            found.push(path);
        }
    }
    found.sort();
    found
}

/// Returns path and text of each source file, without generated ones.
fn sources() -> Vec<(PathBuf, String)> {
    let mut files = files_below(&root().join("crates"), ".rs");
    files.extend(files_below(&root().join("src"), ".rs"));
    files.extend(files_below(&root().join("platform"), ".rs"));
    files.retain(|path| !path.ends_with(GENERATED));
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).unwrap();
        (path, text)
    };
    files.into_iter().map(read).collect()
}

fn is_shipped(path: &Path) -> bool {
    let path = path.to_string_lossy();
    let is_test_support = [
        "/tests/",
        "/benches/",
        "borageshore_standins",
        "borageshore_scenarios",
        "borageshore_soak",
        "borageshore_bench",
    ];
    !is_test_support.iter().any(|part| path.contains(part))
}

macro_rules! rules {
    ($($name:ident: |$path:ident, $text:ident| $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for ($path, $text) in sources() {
                    assert!($check, "{}", $path.display());
                }
            }
        )*
    };
}

rules! {
    files_open_with_their_purpose: |path, text| text.starts_with("//! ");
    files_are_small: |path, text| text.lines().count() <= MAX_LINES;
    debug_is_derived_first: |path, text| {
        // A type that hides a secret implements `Debug` by hand.
        let own = text.matches("impl fmt::Debug for").count();
        let derives = text.lines().map(str::trim).filter(|line| line.starts_with("#[derive("));
        derives.filter(|line| !line.starts_with("#[derive(Debug")).count() <= own
    };
    no_process_is_started: |path, text| !is_shipped(&path) || !text.contains("process::Command");
    no_thread_is_started: |path, text| !is_shipped(&path) || !text.contains("thread::spawn");
    no_dyn_on_the_request_path: |path, text| {
        let folders = ["borageshore_daemon/src", "borageshore_gateway/src", "borageshore_routing/src", "platform/src"];
        let is_request_path = folders.iter().any(|folder| path.to_string_lossy().contains(folder));
        !is_request_path || !text.contains("dyn ")
    };
    one_use_statement_a_crate: |path, text| {
        let mut crates: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("use "))
            .filter_map(|line| line.split([':', ';']).next())
            .collect();
        let count = crates.len();
        crates.sort_unstable();
        crates.dedup();
        crates.len() == count
    };
    core_has_no_clock_or_socket: |path, text| {
        let core = ["access", "base", "duty", "time", "usage", "batch", "chart", "log", "settings", "lease", "membership", "routing", "rollout", "scaling"];
        let is_core = core.iter().any(|name| path.to_string_lossy().contains(&format!("borageshore_{name}/src")));
        !is_core || !["std::time", "std::net", "SystemTime", "monoio"].iter().any(|word| text.contains(word))
    };
    no_banner: |path, text| !text.to_lowercase().contains("copyright");
}

/// Names of the platform's protocol, which only `platform/` may use.
const PLATFORM_NAMES: [&str; 14] = [
    "/api/",
    "x-request-id",
    "x-deadline-ms",
    "x-server-",
    "x-expect-",
    "x-not-executed",
    "x-weight-versions",
    "x-instance-id",
    "last-event-id",
    "log-append",
    "log-read",
    "log-newest",
    "keyed.",
    "dead_lettered",
];
/// Names that the service's own interface uses as well.
const OWN_NAMES: [&str; 2] = ["x-request-id", "x-deadline-ms"];
/// Maximum number of lines of the adapter in `platform/`.
const ADAPTER_LINES: usize = 4_000;

#[test]
fn the_platforms_names_stand_in_its_adapter_only() {
    for (path, text) in sources() {
        let is_adapter = path.starts_with(root().join("platform"));
        if is_adapter || !is_shipped(&path) {
            continue;
        }
        let text = text.to_lowercase();
        let is_own_interface = path
            .to_string_lossy()
            .contains("borageshore_daemon/src/edge");
        for name in PLATFORM_NAMES {
            if is_own_interface && OWN_NAMES.contains(&name) {
                continue;
            }
            assert!(!text.contains(name), "{name} in {}", path.display());
        }
    }
}

#[test]
fn the_adapter_is_small() {
    let files = files_below(&root().join("platform"), ".rs");
    let lines = |path: &PathBuf| fs::read_to_string(path).unwrap().lines().count();
    assert!(files.iter().map(lines).sum::<usize>() <= ADAPTER_LINES);
}

#[test]
fn the_soak_is_under_a_tenth_of_the_code() {
    let lines = |folder: &str| -> usize {
        let files = files_below(&root().join(folder), ".rs");
        files
            .iter()
            .map(|path| fs::read_to_string(path).unwrap().lines().count())
            .sum()
    };
    let soak = lines("crates/borageshore_soak");
    assert!(soak * 10 <= lines("crates") + lines("platform"), "{soak}");
}

#[test]
fn crates_have_a_runnable_example() {
    for (path, text) in sources() {
        let is_crate = path.ends_with("src/lib.rs");
        assert!(
            !is_crate || text.contains("//! ```\n"),
            "{}",
            path.display()
        );
    }
}

#[test]
fn io_uring_is_not_even_built() {
    let lock = fs::read_to_string(root().join("Cargo.lock")).unwrap();
    assert!(!lock.contains("name = \"io-uring\""));
}

#[test]
fn result_codes_are_documented() {
    let page = fs::read_to_string(root().join("docs/RESULT-CODES.md")).unwrap();
    for code in ResultCode::ALL {
        let row = format!("| {code} | {} | {} |", code.http_status(), code.meaning());
        assert!(page.contains(&row), "{row}");
    }
    assert_eq!(page.matches("| BS-").count(), ResultCode::ALL.len());
}

#[test]
fn settings_keys_are_documented() {
    let page = fs::read_to_string(root().join("docs/operators/settings.md")).unwrap();
    for spec in borageshore::settings::SCHEMA {
        assert!(
            page.contains(&format!("| `{}` |", spec.name)),
            "{}",
            spec.name
        );
    }
}

#[test]
fn index_names_every_page() {
    let index = fs::read_to_string(root().join("docs/README.md")).unwrap();
    for path in files_below(&root().join("docs"), ".md") {
        let name = path
            .strip_prefix(root().join("docs"))
            .unwrap()
            .to_string_lossy()
            .into_owned();
        assert!(
            name == "README.md" || index.contains(&format!("({name})")),
            "{name}"
        );
    }
}
