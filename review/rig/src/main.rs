//! The cases of the review. `review-rig CASE ROOT FOLDER` plays one: it starts the project's programs from
//! ROOT as processes, writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With TROUBLE=0 in the environment it does the same without the disruption. `download`,
//! `gone`, `lengthless` and `slowly` are trials that are no cases, see REPORT.md.

mod download;
mod drain;
mod gone;
mod lengthless;
mod platform;
mod repeat;
mod rig;
mod slowly;
mod upgrade;

use rig::Rig;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: review-rig CASE ROOT FOLDER");
        std::process::exit(2);
    };
    let play = match case.as_str() {
        "upgrade" => upgrade::play,
        "repeat" => repeat::play,
        "gone" => gone::play,
        "lengthless" => lengthless::play,
        "slowly" => slowly::play,
        "drain" => drain::play,
        "download" => download::play,
        _ => {
            eprintln!("no case {case}");
            std::process::exit(2);
        }
    };
    let rig = Rig::new(root, folder);
    // A panic must not leave processes behind.
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&rig)));
    let code = match played.unwrap_or_else(|_| Err("the rig has panicked".into())) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(why) => {
            rig.say(&format!("could not run: {why}"));
            2
        }
    };
    rig.end(code);
}
