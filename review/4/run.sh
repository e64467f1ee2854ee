#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
# With TROUBLE=0 the same is played without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
for program in target/release/borageshore target/review-2/release/review_cast_2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: build with the command of deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
case "${TROUBLE:-1}" in
  0) trouble=without ;;
  *) trouble=with ;;
esac
timeout --kill-after=8 100 target/review-2/release/review_cast_2 items review/4 "$trouble" &
play=$!
# timeout passes the signal on to all that it has started.
trap 'kill "$play" 2>/dev/null' INT TERM
wait "$play"
status=$?
if [ "$status" -gt 2 ]; then exit 2; fi
exit "$status"
