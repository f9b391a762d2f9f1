//! Checks that every cargo command and release binary invocation in the README and the pages under `docs/` is
//! valid: its package, target, subcommand, flags and files exist in a fresh clone.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

/// A command line quoted in a documentation page, with its file and line number.
struct DocumentedCommand {
    location: String,
    words: Vec<String>,
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the workspace directory exists")
}

fn cargo(args: &[&str]) -> std::process::Output {
    let program = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    Command::new(program).args(args).current_dir(workspace_root()).output().expect("cargo runs")
}

fn pages() -> Vec<PathBuf> {
    let mut pages = vec![workspace_root().join("README.md")];
    let mut directories = vec![workspace_root().join("docs")];
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(&directory).expect("the directory is readable").flatten() {
            let path = entry.path();
            if path.is_dir() {
                directories.push(path);
            } else if path.extension().is_some_and(|extension| extension == "md") {
                pages.push(path);
            }
        }
    }
    pages.sort();
    pages
}

/// Returns the commands in a page's indented code blocks and inline code spans.
fn extract_commands(page: &Path, text: &str) -> Vec<DocumentedCommand> {
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let location =
            format!("{}:{}", page.strip_prefix(workspace_root()).unwrap_or(page).display(), index + 1);
        let snippets: Vec<&str> = match line.strip_prefix("    ") {
            Some(code) => vec![code],
            None => line.split('`').skip(1).step_by(2).collect(),
        };
        for snippet in snippets {
            // Text after three or more spaces is a comment on the command.
            let snippet = snippet.trim().split("   ").next().unwrap_or_default();
            let words: Vec<String> = snippet.split_whitespace().map(|word| word.replace('\'', "")).collect();
            let is_cargo = words.first().is_some_and(|word| word == "cargo") && words.len() > 1;
            let is_release_binary = words.first().is_some_and(|word| word.starts_with("target/release/"));
            if is_cargo || is_release_binary {
                found.push(DocumentedCommand { location: location.clone(), words });
            }
        }
    }
    found
}

/// The targets of the workspace (kind, name and source file) by package, and the default packages: those that
/// cargo uses when a command names none.
struct Workspace {
    targets: BTreeMap<String, Vec<(String, String, PathBuf)>>,
    default_packages: Vec<String>,
}

impl Workspace {
    fn read() -> Self {
        let output = cargo(&["metadata", "--no-deps", "--format-version", "1", "--locked", "--offline"]);
        let metadata: Value = serde_json::from_slice(&output.stdout).expect("cargo metadata prints JSON");
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let default_ids: Vec<String> = metadata["workspace_default_members"]
            .as_array()
            .expect("the metadata lists default members")
            .iter()
            .map(text)
            .collect();
        let (mut targets, mut default_packages) = (BTreeMap::new(), Vec::new());
        for package in metadata["packages"].as_array().expect("the metadata lists packages") {
            let package_targets =
                package["targets"].as_array().expect("the package lists targets").iter().map(|target| {
                    (
                        text(&target["kind"][0]),
                        text(&target["name"]),
                        PathBuf::from(text(&target["src_path"])),
                    )
                });
            targets.insert(text(&package["name"]), package_targets.collect());
            if default_ids.contains(&text(&package["id"])) {
                default_packages.push(text(&package["name"]));
            }
        }
        Self { targets, default_packages }
    }

    /// Returns the name and source file of the first target of this kind, and of this name if one is given,
    /// in these packages.
    fn find(&self, packages: &[String], kind: &str, name: Option<&str>) -> Result<(String, PathBuf), String> {
        for package in packages {
            let Some(targets) = self.targets.get(package) else {
                return Err(format!("there is no package `{package}`"));
            };
            let found = targets.iter().find(|(target_kind, target_name, _)| {
                target_kind == kind && name.is_none_or(|name| name == target_name)
            });
            if let Some((_, name, path)) = found {
                return Ok((name.clone(), path.clone()));
            }
        }
        Err(format!("no {kind} `{}` in {}", name.unwrap_or("of any name"), packages.join(", ")))
    }

    /// Checks that a command's package, target, subcommand, flags and files exist. `help` returns the help
    /// text of a program and subcommand.
    fn check(&self, command: &[String], help: &mut dyn FnMut(&str, &str) -> String) -> Result<(), String> {
        let words: Vec<&str> = command.iter().map(String::as_str).collect();
        if let Some(program) = words[0].strip_prefix("target/release/") {
            // The build command in the README builds the binaries of the default packages only.
            let (program, _) = self.find(&self.default_packages, "bin", Some(program))?;
            return check_arguments(&program, &words[1..], help);
        }
        let separator = words.iter().position(|word| *word == "--").unwrap_or(words.len());
        let (cargo_args, program_args) =
            (&words[2..separator], words.get(separator + 1..).unwrap_or_default());
        let value_of = |names: &[&str]| {
            cargo_args
                .iter()
                .position(|word| names.contains(word))
                .and_then(|position| cargo_args.get(position + 1).copied())
        };
        let package = value_of(&["-p", "--package"]);
        let packages = package.map_or(self.default_packages.clone(), |package| vec![package.to_owned()]);
        match words[1] {
            "run" => {
                let (program, _) = self.find(&packages, "bin", value_of(&["--bin"]))?;
                check_arguments(&program, program_args, help)
            }
            "bench" => self.find(&packages, "bench", value_of(&["--bench"])).map(drop),
            "test" => {
                let Some(test) = value_of(&["--test"]) else {
                    return self.find(&packages, "lib", None).map(drop);
                };
                let (_, path) = self.find(&packages, "test", Some(test))?;
                let filter = cargo_args.last().filter(|word| **word != test);
                let text = std::fs::read_to_string(&path).expect("the source of the test is readable");
                match filter {
                    Some(filter) if !text.contains(&format!("fn {filter}")) => {
                        Err(format!("no test of {} has a name that begins with `{filter}`", path.display()))
                    }
                    _ => Ok(()),
                }
            }
            "build" => package.map_or(Ok(()), |_| self.find(&packages, "bin", None).map(drop)),
            other => Err(format!("`cargo {other}` is not supported by this test: add a check for it")),
        }
    }
}

/// Checks a program's arguments: its help must mention the subcommand and the flags, and the files named must
/// exist.
fn check_arguments(
    program: &str,
    words: &[&str],
    help: &mut dyn FnMut(&str, &str) -> String,
) -> Result<(), String> {
    let mut subcommand = "";
    for (index, word) in words.iter().enumerate() {
        let is_lowercase = word.bytes().all(|b| b.is_ascii_lowercase() || b == b'-');
        if word.contains('/') || word.ends_with(".toml") && word.bytes().any(|b| b.is_ascii_lowercase()) {
            let is_output = words[index.saturating_sub(1)].starts_with("--") && word.ends_with(".html");
            // A file name in capitals is a placeholder for a file of the reader.
            let is_placeholder =
                word.split('/').next_back().is_some_and(|name| name.starts_with(char::is_uppercase));
            if !is_placeholder && !is_output && !workspace_root().join(word).exists() {
                return Err(format!("no file `{word}`"));
            }
        } else if let Some(flag) = word.strip_prefix("--") {
            let flag = flag.split('=').next().unwrap_or_default();
            if !help(program, subcommand).contains(&format!("--{flag}")) {
                return Err(format!("`{program} {subcommand}` has no flag `--{flag}`"));
            }
        } else if index == 0 && is_lowercase {
            let help_text = help(program, "");
            let mut lines = help_text.lines().map(|line| line.trim_start().trim_start_matches("spurdrum "));
            if !lines.any(|line| line.split_whitespace().next() == Some(word)) {
                return Err(format!("`{program}` has no subcommand `{word}`"));
            }
            subcommand = word;
        }
    }
    Ok(())
}

#[test]
fn every_command_that_a_page_names_can_be_given() {
    let workspace = Workspace::read();
    let mut help_texts: BTreeMap<(String, String), String> = BTreeMap::new();
    let mut help = |program: &str, subcommand: &str| {
        let key = (program.to_owned(), subcommand.to_owned());
        let fetch = || {
            // The node's binary prints the same help for all subcommands.
            let subcommand = if program == "spurdrum" { "" } else { subcommand };
            let args =
                ["run", "--quiet", "--locked", "-p", program, "--bin", program, "--", subcommand, "--help"];
            let args: Vec<&str> = args.into_iter().filter(|word| !word.is_empty()).collect();
            let output = cargo(&args);
            assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
            String::from_utf8_lossy(&output.stdout).into_owned()
        };
        help_texts.entry(key).or_insert_with(fetch).clone()
    };
    let (mut errors, mut found) = (Vec::new(), 0);
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("the page is readable");
        for documented in extract_commands(&page, &text) {
            found += 1;
            if let Err(error) = workspace.check(&documented.words, &mut help) {
                errors.push(format!("{}: {}: {error}", documented.location, documented.words.join(" ")));
            }
        }
    }
    assert!(found >= 15, "found only {found} commands in the pages: does the extraction still work?");
    assert!(errors.is_empty(), "{}", errors.join("\n"));
}

/// Prevents a check that accepts every command.
#[test]
fn missing_targets_flags_and_files_are_reported() {
    let workspace = Workspace::read();
    let mut help = |_: &str, _: &str| "  stall  a pause\n  --for-s N".to_owned();
    let cases = [
        ("cargo run --release --bin spurdrum-demo", "no bin `spurdrum-demo`"),
        ("cargo run -p spurdrum-dem", "no package `spurdrum-dem`"),
        ("cargo run -p spurdrum-bench -- stal", "no subcommand `stal`"),
        ("cargo run -p spurdrum-bench -- stall --fors 3", "no flag `--fors`"),
        ("cargo run -p spurdrum-standin -- crates/none.toml", "no file"),
        ("target/release/spurdrum-load check PLAN.toml", "no bin `spurdrum-load`"),
        ("cargo bench --bench idle", "no bench `idle`"),
        ("cargo test -p spurdrum-lab --test lists nothing_of_it", "no test of"),
    ];
    for (line, expected) in cases {
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        let error = workspace.check(&words, &mut help).expect_err(line);
        assert!(error.contains(expected), "{line}: {error}");
    }
    let valid = "cargo run -p spurdrum-bench -- stall --for-s 2";
    let words: Vec<String> = valid.split_whitespace().map(str::to_owned).collect();
    workspace.check(&words, &mut help).expect(valid);
}
