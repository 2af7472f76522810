//! A core machine is replaced by an empty one at another address; later one disk is lost.

use crate::site::{Fallible, Site};
use crate::{config, Held};
use std::fs;
use std::thread::sleep;
use std::time::Duration;

const SERVICE: &str = "quote-desk";
const ZONES: [&str; 3] = ["yqr-a", "yqr-b", "yqr-c"];

pub fn play(site: &mut Site, trouble: bool) -> Fallible<Held> {
    for host in 1..=3u8 {
        site.start_control(host, ZONES[usize::from(host) - 1], true)?;
    }
    for host in 5..=6u8 {
        site.start_daemon(host, ZONES[usize::from(host) - 5], SERVICE)?;
        site.start_backend(host, SERVICE, 12)?;
    }
    site.replace_config(&[1, 2, 3], 1, &config(1, SERVICE, 1.0, 0.4), Duration::from_secs(15))?;
    site.wait_ready(&[5, 6], Duration::from_secs(15))?;
    sleep(Duration::from_secs(3));
    // The machine that goes is the last one that the seeds name, unless it leads.
    let gone: u8 = if site.leads(3) { 2 } else { 3 };
    let (stays, wiped): (u8, u8) = match gone {
        3 => (1, 2),
        _ => (1, 3),
    };
    let mut hosts = vec![1, 2, 3];
    if trouble {
        site.note(format!(
            "core-{gone} is taken away and says nothing any more (SIGSTOP for good)"
        ));
        site.signal(&format!("core-{gone}"), "-STOP")?;
        sleep(Duration::from_secs(2));
        site.note("core-4 starts in its place, at another address and with an empty disk");
        site.start_control(4, ZONES[usize::from(gone) - 1], false)?;
        hosts = vec![stays, wiped, 4];
    }
    // `sync_s` is 4 s; the replacement gets two and a half times as long.
    sleep(Duration::from_secs(10));
    site.replace_config(&hosts, 2, &config(2, SERVICE, 1.0, 0.5), Duration::from_secs(10))?;
    if trouble {
        site.note(format!("final fault: core-{wiped} loses its disk, core-{stays} and core-4 are killed; all are back after 1.1 s"));
        for host in [wiped, stays, 4] {
            site.kill(&format!("core-{host}"))?;
        }
        fs::remove_dir_all(site.data(wiped)).map_err(|e| e.to_string())?;
        sleep(Duration::from_millis(1_100));
        for host in [wiped, stays, 4] {
            let zone =
                if host == 4 { ZONES[usize::from(gone) - 1] } else { ZONES[usize::from(host) - 1] };
            site.start_control(host, zone, false)?;
        }
    }
    // `recover_s` is 15 s and `contact_s` 3 s.
    let read = site.read_config(&hosts, Duration::from_secs(25));
    Ok(read.is_some_and(|text| text.contains("\"version\":2")))
}
