#!/usr/bin/env bash
# Everything a change must pass: format, lints, documentation, build and tests. Tests that KNOWN-RED.txt names fail for a
# real fault that is not mended yet: they are run and shown at the end, and do not decide.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --lib
cargo build --locked --release
known=()
while IFS= read -r line; do known+=("${line%% |*}"); done < <(grep -v '^#' KNOWN-RED.txt 2>/dev/null || true)
if ((${#known[@]} > 3)); then
    echo "KNOWN-RED.txt names ${#known[@]} tests, and three at most may be known to fail" >&2
    exit 1
fi
skips=()
for test in "${known[@]}"; do skips+=(--skip "$test"); done
cargo test --locked --workspace -- "${skips[@]}"
for test in "${known[@]}"; do
    echo "known to fail, not counted: $(grep -F "$test |" KNOWN-RED.txt)"
    said=$(cargo test --locked --workspace --tests -- --exact "$test" 2>&1) && what="passed this time" || what="failed"
    if ! grep -q '^running 1 test$' <<<"$said"; then
        echo "KNOWN-RED.txt names $test, and no test is called so" >&2
        exit 1
    fi
    if [ "$what" = failed ]; then tail -n 40 <<<"$said"; fi
    echo "it $what: $test"
done
