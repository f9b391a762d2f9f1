# Shared by the cases' scripts: finds the command of the deploy file and runs programs of the rig one after another, at
# most 116 s in all, each in a process group of its own that is ended with it.
# Use: CASE_DIR is set, then `. run-case.sh PROGRAM...`.
ROOT=$(cd "$CASE_DIR/../.." && pwd)
# The value of `run` in the deploy file, a TOML string without escapes.
RUN=$(sed -n 's/^run *= *"\(.*\)" *$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT CASE_DIR RUN
rm -f "$CASE_DIR"/record.txt "$CASE_DIR"/node-*.log
group=
end_group() {
    if [ -n "$group" ]; then kill -KILL -- "-$group" 2>/dev/null; fi
    return 0
}
trap end_group EXIT
trap 'exit 2' INT TERM
deadline=$((SECONDS + 116))
result=0
for name in "$@"; do
    program="$ROOT/review/rig/target/release/$name"
    if [ -z "$RUN" ] || [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/spurdrum" ]; then
        echo "the case could not run: build the deploy file, then review/build.sh" >&2
        exit 2
    fi
    setsid "$program" &
    group=$!
    while kill -0 "$group" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do sleep 0.2; done
    code=2
    if kill -0 "$group" 2>/dev/null; then
        echo "the case took too long" >&2
        end_group
        wait "$group" 2>/dev/null
    else
        wait "$group"
        code=$?
    fi
    end_group
    group=
    # Broken in one part is broken; a part that could not be judged counts where nothing is broken.
    case "$code" in
    0) ;;
    1) result=1 ;;
    *) [ "$result" = 1 ] || result=2 ;;
    esac
done
exit "$result"
