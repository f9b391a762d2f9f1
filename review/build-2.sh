#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. They use the standard library alone, so no network is needed.
set -eu
cd "$(dirname "$0")/rig-2"
exec cargo build --release --offline --locked
