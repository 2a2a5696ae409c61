#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
for program in "$root/target/manager" "$root/target/store" "$root/target/agent" "$root/target/adapter" "$root/review/bin/stands"; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout --signal=TERM --kill-after=5 110 "$root/review/bin/stands" repeat "$root/target" "$work" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
