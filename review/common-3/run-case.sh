#!/usr/bin/env bash
# Runs the program of a case in the repository's root. Usage: run-case.sh NAME FOLDER
cd "$(dirname "$0")/../.."
for program in target/bin/hyssopwick-entry target/bin/hyssopwick-agent "target/review-3/$1"; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build as deploy/system.toml says, and run review/build-3.sh"
        exit 2
    fi
done
exec "target/review-3/$1" "$2/record.txt"
