//! Compares output and exit codes of the command line with golden files.

use std::fs;
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cherrystream"))
        .args(args)
        .env_remove("CHERRYSTREAM_API")
        .env_remove("CHERRYSTREAM_TOKEN_FILE")
        .output()
        .unwrap()
}

fn transcript(args: &[&str], folder: &str) -> String {
    let output = run(args);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(folder, "FOLDER");
    format!(
        "$ cherrystream {}\n{}{}exit code {}\n\n",
        args.join(" ").replace(folder, "FOLDER"),
        text(&output.stdout),
        text(&output.stderr),
        output.status.code().unwrap()
    )
}

#[test]
fn check_reports_line_value_and_remedy() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).display().to_string();
    let daemon = "host: ph-a1\nfailure_domain: a\ndaemon:\n  caller_address: 127.0.0.1:7100\n  \
                  peer_address: 127.0.0.1:7101\n  control: [127.0.0.1:7201]\n";
    let control = "control:\n  replica: 1\n  rpc_address: 127.0.0.1:7201\n  \
                   api_address: 127.0.0.1:7301\n  replicas: [{replica: 1, rpc_address: 127.0.0.1:7201}]\n";
    fs::write(path("good.yaml"), daemon).unwrap();
    fs::write(path("typo.yaml"), daemon.replace("peer_address", "peer_adress")).unwrap();
    fs::write(path("clash.yaml"), daemon.replace("7101", "7100")).unwrap();
    fs::write(path("short.key"), "short").unwrap();
    let with_key = format!("key_file: {}\n{daemon}", path("short.key"));
    fs::write(path("key.yaml"), with_key).unwrap();
    fs::write(path("file"), "").unwrap();
    let in_file = format!("{daemon}{control}  data_folder: {}/data\n", path("file"));
    fs::write(path("folder.yaml"), in_file).unwrap();
    let mut session = String::new();
    for name in ["good", "typo", "clash", "key", "folder", "missing"] {
        let file = path(&format!("{name}.yaml"));
        session +=
            &transcript(&["check", "--settings", &file], &folder.path().display().to_string());
    }
    insta::assert_snapshot!(session);
}

#[test]
fn invalid_arguments_are_reported_with_a_remedy() {
    let mut session = String::new();
    for args in [
        &["host", "remove", "ph-a1"][..],
        &["backend", "put", "quotes", "quotes-1"],
        &["status", "--api", "127.0.0.1:9"],
        &["run", "--settings", "nowhere.yaml"],
    ] {
        session += &transcript(args, "no folder");
    }
    insta::assert_snapshot!(session);
}
