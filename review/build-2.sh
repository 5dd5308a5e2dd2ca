#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
# Needs the build of deploy/system.toml for the programs of the project itself.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for dir in review/*/testdata/*/; do
	case "$dir" in
	review/[1-5]/*) continue ;; # of the earlier review
	esac
	if [ -f "${dir}main.go" ]; then
		go build -o target/review-2/ "./${dir%/}"
	fi
done
