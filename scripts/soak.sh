#!/usr/bin/env bash
# Runs entries and agents of the platform as real processes through a series of planned stops and
# checks that no request is lost. Needs a build. Usage: scripts/soak.sh SEED [OPTION...]
# (hyssopwick-soak --help). Exit code: 0 held, 1 a request was lost, 2 could not run.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:?usage: scripts/soak.sh SEED [OPTION...]}
shift
exec build/bin/hyssopwick-soak --programs build/bin --seed "$seed" "$@"
