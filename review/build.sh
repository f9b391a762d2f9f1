#!/usr/bin/env bash
# Builds the stand-ins of the cases: the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/rig"
cargo build --release --offline --locked
