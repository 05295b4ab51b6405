//! Product configuration files of a fleet with document distribution: one for each member, since their locations
//! differ.

use std::io;
use std::path::{Path, PathBuf};

use super::publisher::spool;
use crate::timeline::Timeline;

/// JSON log format, because the lab reads the logs.
const LOG_SETTINGS: &str = "\n[log]\nformat = \"json\"\n";

/// Writes the files, removes what an earlier run left in the same directory, and returns the paths by member.
///
/// # Errors
/// A file cannot be written.
pub fn products(timeline: &Timeline, common: &str, folder: &Path) -> io::Result<Vec<PathBuf>> {
    let of = &timeline.distribution;
    let zones = timeline.sidecars.zones;
    let location = |member: usize| {
        let zone = member % zones;
        format!("region = {:?}, zone = {:?}", of.region(zone), Timeline::zone_name(zone))
    };
    let nodes: Vec<String> =
        (0..of.control_nodes).map(|n| format!("{{ member = {n}, {} }}", location(n))).collect();
    let log = if common.contains("[log]") { "" } else { LOG_SETTINGS };
    let mut paths = Vec::new();
    for member in 0..timeline.sidecars.count {
        let zone = member % zones;
        let snapshot = folder.join(format!("documents{member}"));
        let mut text = format!(
            "{common}{log}\n[distribution]\nregion = {:?}\nzone = {:?}\nservice = \"lab\"\n\
             control_nodes = [{}]\nsnapshot = {snapshot:?}\n{}\n",
            of.region(zone),
            Timeline::zone_name(zone),
            nodes.join(", "),
            of.product,
        );
        if of.may_write(member) {
            let requests = spool(folder, member);
            remove(&requests)?;
            text += &format!("publish = {requests:?}\n");
        }
        if of.lists_from > member {
            text += "list = \"lab\"\nlist_from_discovery = true\n";
        }
        let kept = folder.join(format!("servers{member}"));
        if of.takes_list(member) {
            text += &format!("list = \"lab\"\n[membership]\nsnapshot = {kept:?}\n");
        }
        remove(&kept)?;
        remove(&snapshot)?;
        remove(&snapshot.with_extension("control"))?;
        remove(&folder.join(format!("n{member}.log")))?;
        let path = folder.join(format!("product{member}.toml"));
        std::fs::write(&path, text)?;
        paths.push(path);
    }
    Ok(paths)
}

/// Removes a file or directory if it exists.
fn remove(path: &Path) -> io::Result<()> {
    let removed = match path.is_dir() {
        true => std::fs::remove_dir_all(path),
        false => std::fs::remove_file(path),
    };
    removed.or_else(|e| if e.kind() == io::ErrorKind::NotFound { Ok(()) } else { Err(e) })
}
