#!/usr/bin/env bash
# Fails if a name of the users' platform is used outside platform/, and prints the size of
# that folder relative to the modules.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Server-Seal|Server-Leaving|Store-Era|Token-Counts|Prompt-Prefix|Not-Executed|Expect-Instance|Expect-Version|Weight-Versions|Request-Priority|Length-Hint|Instance-Id|Deadline-Ms|kv-txn|kv-watch|kv-range|kv-lease|kv-keep|stage-put|stage-get|HYSSOPWICK_BOOT|"op/config|op/version|"servers/|canResume|gapGoalMs|allowedRegions"|op/evacuate|coldPerS|coldLeftMs|Cold-Ms|/-/'
if git grep -nE "$names" -- '*.h' '*.cpp' ':!platform' ':!tests/platform'; then
    echo "names of the platform are used outside platform/" >&2
    exit 1
fi
adapter=$(git ls-files 'platform/*.h' 'platform/*.cpp' | xargs cat | wc -l)
modules=$(git ls-files 'modules/*.h' 'modules/*.cpp' | xargs cat | wc -l)
echo "platform/ has $adapter lines, $((100 * adapter / modules)) in 100 of the modules' $modules"
