//! Every command that the README and the pages under `docs/` name can be given on a fresh clone.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

/// A command as a page has it, with where it stands.
struct Named {
    place: String,
    words: Vec<String>,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the workspace is there")
}

fn cargo(args: &[&str]) -> std::process::Output {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    Command::new(cargo).args(args).current_dir(root()).output().expect("cargo runs")
}

fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    let mut folders = vec![root().join("docs")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("a folder").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|end| end == "md") {
                pages.push(path);
            }
        }
    }
    pages.sort();
    pages
}

/// The commands in a page's indented lines and between its back ticks.
fn commands(page: &Path, text: &str) -> Vec<Named> {
    let mut found = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let place = format!("{}:{}", page.strip_prefix(root()).unwrap_or(page).display(), n + 1);
        let pieces: Vec<&str> = match line.strip_prefix("    ") {
            Some(block) => vec![block],
            None => line.split('`').skip(1).step_by(2).collect(),
        };
        for piece in pieces {
            // What stands far to the right tells about the command.
            let piece = piece.trim().split("   ").next().unwrap_or_default();
            let words: Vec<String> = piece.split_whitespace().map(|word| word.replace('\'', "")).collect();
            let of_cargo = words.first().is_some_and(|word| word == "cargo") && words.len() > 1;
            let of_ours = words.first().is_some_and(|word| word.starts_with("target/release/"));
            if of_cargo || of_ours {
                found.push(Named { place: place.clone(), words });
            }
        }
    }
    found
}

/// What the workspace has: programs, tests and benches by package, and the packages that cargo takes where none is named.
struct Workspace {
    targets: BTreeMap<String, Vec<(String, String, PathBuf)>>,
    by_default: Vec<String>,
}

impl Workspace {
    fn read() -> Self {
        let told = cargo(&["metadata", "--no-deps", "--format-version", "1", "--locked", "--offline"]);
        let told: Value = serde_json::from_slice(&told.stdout).expect("what cargo tells");
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let default: Vec<String> =
            told["workspace_default_members"].as_array().expect("members").iter().map(text).collect();
        let (mut targets, mut by_default) = (BTreeMap::new(), Vec::new());
        for package in told["packages"].as_array().expect("packages") {
            let of = package["targets"].as_array().expect("targets").iter().map(|target| {
                (text(&target["kind"][0]), text(&target["name"]), PathBuf::from(text(&target["src_path"])))
            });
            targets.insert(text(&package["name"]), of.collect());
            if default.contains(&text(&package["id"])) {
                by_default.push(text(&package["name"]));
            }
        }
        Self { targets, by_default }
    }

    /// The source of a target of one of these packages.
    fn find(&self, packages: &[String], kind: &str, name: Option<&str>) -> Result<(String, PathBuf), String> {
        for package in packages {
            let Some(targets) = self.targets.get(package) else {
                return Err(format!("there is no package `{package}`"));
            };
            let found = targets.iter().find(|(of, is, _)| of == kind && name.is_none_or(|name| name == is));
            if let Some((_, name, path)) = found {
                return Ok((name.clone(), path.clone()));
            }
        }
        Err(format!("no {kind} `{}` in {}", name.unwrap_or("of any name"), packages.join(", ")))
    }

    fn check(&self, command: &[String], help: &mut dyn FnMut(&str, &str) -> String) -> Result<(), String> {
        let words: Vec<&str> = command.iter().map(String::as_str).collect();
        if let Some(program) = words[0].strip_prefix("target/release/") {
            // The README's build line makes the programs of the default packages.
            let (program, _) = self.find(&self.by_default, "bin", Some(program))?;
            return arguments(&program, &words[1..], help);
        }
        let split = words.iter().position(|word| *word == "--").unwrap_or(words.len());
        let (own, rest) = (&words[2..split], words.get(split + 1..).unwrap_or_default());
        let after = |name: &[&str]| {
            own.iter().position(|word| name.contains(word)).and_then(|at| own.get(at + 1).copied())
        };
        let package = after(&["-p", "--package"]);
        let packages = package.map_or(self.by_default.clone(), |package| vec![package.to_owned()]);
        match words[1] {
            "run" => {
                let (program, _) = self.find(&packages, "bin", after(&["--bin"]))?;
                arguments(&program, rest, help)
            }
            "bench" => self.find(&packages, "bench", after(&["--bench"])).map(drop),
            "test" => {
                let Some(test) = after(&["--test"]) else {
                    return self.find(&packages, "lib", None).map(drop);
                };
                let (_, path) = self.find(&packages, "test", Some(test))?;
                let filter = own.last().filter(|word| **word != test);
                let text = std::fs::read_to_string(&path).expect("a test's source");
                match filter {
                    Some(filter) if !text.contains(&format!("fn {filter}")) => {
                        Err(format!("no test of {} begins with `{filter}`", path.display()))
                    }
                    _ => Ok(()),
                }
            }
            "build" => package.map_or(Ok(()), |_| self.find(&packages, "bin", None).map(drop)),
            other => Err(format!("`cargo {other}` is not checked: teach this test")),
        }
    }
}

/// Whether a program has this sub-command and these flags, by its own help, and the files that are named.
fn arguments(
    program: &str,
    words: &[&str],
    help: &mut dyn FnMut(&str, &str) -> String,
) -> Result<(), String> {
    let mut sub = "";
    for (n, word) in words.iter().enumerate() {
        let is_word = word.bytes().all(|b| b.is_ascii_lowercase() || b == b'-');
        if word.contains('/') || word.ends_with(".toml") && word.bytes().any(|b| b.is_ascii_lowercase()) {
            let written = words[n.saturating_sub(1)].starts_with("--") && word.ends_with(".html");
            // A name in capitals is the reader's own.
            let own = word.split('/').next_back().is_some_and(|name| name.starts_with(char::is_uppercase));
            if !own && !written && !root().join(word).exists() {
                return Err(format!("there is no file `{word}`"));
            }
        } else if let Some(flag) = word.strip_prefix("--") {
            let flag = flag.split('=').next().unwrap_or_default();
            if !help(program, sub).contains(&format!("--{flag}")) {
                return Err(format!("`{program} {sub}` knows no `--{flag}`"));
            }
        } else if n == 0 && is_word {
            let known = help(program, "");
            let mut lines = known.lines().map(|line| line.trim_start().trim_start_matches("spurdrum "));
            if !lines.any(|line| line.split_whitespace().next() == Some(word)) {
                return Err(format!("`{program}` knows no `{word}`"));
            }
            sub = word;
        }
    }
    Ok(())
}

#[test]
fn every_command_that_a_page_names_can_be_given() {
    let workspace = Workspace::read();
    let mut told: BTreeMap<(String, String), String> = BTreeMap::new();
    let mut help = |program: &str, sub: &str| {
        let key = (program.to_owned(), sub.to_owned());
        let ask = || {
            // The node's own program has one help for all.
            let sub = if program == "spurdrum" { "" } else { sub };
            let args = ["run", "--quiet", "--locked", "-p", program, "--bin", program, "--", sub, "--help"];
            let args: Vec<&str> = args.into_iter().filter(|word| !word.is_empty()).collect();
            let out = cargo(&args);
            assert!(out.status.success(), "{args:?}: {}", String::from_utf8_lossy(&out.stderr));
            String::from_utf8_lossy(&out.stdout).into_owned()
        };
        told.entry(key).or_insert_with(ask).clone()
    };
    let (mut wrong, mut seen) = (Vec::new(), 0);
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("a page");
        for named in commands(&page, &text) {
            seen += 1;
            if let Err(why) = workspace.check(&named.words, &mut help) {
                wrong.push(format!("{}: {}: {why}", named.place, named.words.join(" ")));
            }
        }
    }
    assert!(seen >= 15, "the pages name {seen} commands: are they still found?");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a check that finds nothing wrong with anything.
#[test]
fn what_does_not_exist_is_found() {
    let workspace = Workspace::read();
    let mut help = |_: &str, _: &str| "  stall  a pause\n  --for-s N".to_owned();
    let cases = [
        ("cargo run --release --bin spurdrum-demo", "no bin `spurdrum-demo`"),
        ("cargo run -p spurdrum-dem", "no package `spurdrum-dem`"),
        ("cargo run -p spurdrum-bench -- stal", "knows no `stal`"),
        ("cargo run -p spurdrum-bench -- stall --fors 3", "knows no `--fors`"),
        ("cargo run -p spurdrum-standin -- crates/none.toml", "no file"),
        ("target/release/spurdrum-load check PLAN.toml", "no bin `spurdrum-load`"),
        ("cargo bench --bench idle", "no bench `idle`"),
        ("cargo test -p spurdrum-lab --test lists nothing_of_it", "no test of"),
    ];
    for (line, why) in cases {
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        let told = workspace.check(&words, &mut help).expect_err(line);
        assert!(told.contains(why), "{line}: {told}");
    }
    let right = "cargo run -p spurdrum-bench -- stall --for-s 2";
    let words: Vec<String> = right.split_whitespace().map(str::to_owned).collect();
    workspace.check(&words, &mut help).expect(right);
}
