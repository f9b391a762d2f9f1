#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
rig="$root/review/rig-2/target/release/rig-2"
[ -x "$rig" ] && [ -x "$root/target/release/spurdrum" ] || exit 2
exec "$rig" restart "$root" "$here"
