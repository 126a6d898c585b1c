//! Stand-ins of the platform, the workers and the requesters for the scripts of this review.
//!
//! `review-stand-3 CASE ROOT FOLDER`: plays a case with the program built in ROOT, writes
//! `record.txt` into FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! couldn't run. `TROUBLE=0` leaves out the disruption.

mod dark_crashes;
mod late_poll;
mod many_images;
mod node;
mod platform;
mod proxy;
mod record;
mod refused_cuts;
mod store;
mod worker;
mod wrapped_count;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, root, folder] = &args[..] else {
        eprintln!("usage: review-stand-3 CASE ROOT FOLDER");
        exit(2);
    };
    let trouble = !env::var("TROUBLE").is_ok_and(|t| t == "0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let broken = match case.as_str() {
        "late-poll" => late_poll::play(&root, &folder, trouble),
        "dark-crashes" => dark_crashes::play(&root, &folder, trouble),
        "refused-cuts" => refused_cuts::play(&root, &folder, trouble),
        "wrapped-count" => wrapped_count::play(&root, &folder, trouble),
        "many-images" => many_images::play(&root, &folder, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match broken {
        Ok(false) => println!("held"),
        Ok(true) => {
            println!("broken");
            exit(1);
        }
        Err(reason) => {
            eprintln!("can't run: {reason}");
            exit(2);
        }
    }
}
