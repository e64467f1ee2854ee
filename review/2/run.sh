#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs a build by review/build.sh.
root="$(cd "$(dirname "$0")/../.." && pwd)"
export CASE_FOLDER="$root/review/2" BORAGESHORE="$root/target/release/borageshore"
driver="$root/target/review/release/two_holders"
if [ ! -x "$driver" ] || [ ! -x "$BORAGESHORE" ]; then
  echo "not built: run review/build.sh first" >&2
  exit 2
fi
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
# The driver and its daemons are a process group of their own, which ends with this script.
set -m
"$driver" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' HUP INT TERM
wait "$group"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
