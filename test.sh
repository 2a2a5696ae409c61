#!/usr/bin/env bash
# The project's test command: format, vet, staticcheck, file length, tests with
# the race detector. Fixed seeds; the same verdict every time. Arguments, if any, are the
# packages to test.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd deploy docs internal platform)
if [ -n "$unformatted" ]; then echo "not formatted: $unformatted"; exit 1; fi
long=$(find . -name '*.go' -not -path './.git/*' -exec awk 'END { if (NR > 250) print FILENAME ": " NR " lines" }' {} \;)
if [ -n "$long" ]; then echo "over 250 lines: $long"; exit 1; fi
go vet ./...
go tool staticcheck ./...
# A package may take twice as long as go test allows by itself: that of the simulations takes over six minutes
# beside other work.
exec go run ./internal/verdict go test -json -race -count=1 -timeout=20m "${@:-./...}"
