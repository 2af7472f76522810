//! Settings of quotas: default values, and rejection of invalid ones.

use cherrystream_core::settings;

const SETTINGS: &str = "host: own
failure_domain: a
closed_network: true
daemon:
  caller_address: 127.0.0.1:0
  peer_address: 127.0.0.1:0
  control: [127.0.0.1:1]
";

#[test]
fn the_tolerance_of_quotas_has_defaults() {
    let daemon = settings::read(SETTINGS).unwrap().daemon.unwrap();
    let tolerance = (daemon.quota_window_s, daemon.quota_over, daemon.quota_slack);
    assert_eq!(tolerance, (5.0, 0.1, 20.0));
}

#[test]
fn invalid_values_are_rejected_with_line_and_remedy() {
    let cases = [
        ("quota_window_s", "0", "use 0.1 to 3600 seconds"),
        ("quota_window_s", ".nan", "use 0.1 to 3600 seconds"),
        ("quota_over", "-0.1", "use a share from 0 to 1"),
        ("quota_over", "10", "use a share from 0 to 1"),
        ("quota_slack", "-1", "use 0 to 10000 requests"),
        ("quota_slack", ".inf", "use 0 to 10000 requests"),
    ];
    for (name, value, remedy) in cases {
        let fault = settings::read(&format!("{SETTINGS}  {name}: {value}\n")).unwrap_err();
        assert_eq!(fault.line, 8, "{fault}");
        assert!(fault.what.starts_with(name), "{fault}");
        assert_eq!(fault.remedy, remedy);
    }
}
