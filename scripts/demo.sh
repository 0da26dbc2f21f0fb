#!/usr/bin/env bash
# Demonstrates the whole system: builds it, starts fakes of the platform and of the
# upstreams, 4 entry processes and one agent for each upstream VM, and rolls out two
# versions of a model under load while VMs leave and fail. Ends with the audit. Usage: scripts/demo.sh [caroni|kalupahana]
set -euo pipefail
cd "$(dirname "$0")/.."
customer=${1:-caroni}
. scripts/fleet.sh

say "1. starting fakes of the platform, 4 entry processes and $(grep -vc ' entry$' "$vms") agents with their upstreams"
start_fleet

operator validate "$run/records"
await 20 "the records are accepted" apply
await 20 "every process reports revision 1" everywhere 1 ""
say "2. 64 MiB of weights v1 go from the origin, and from VM to VM, to all model VMs"
await 60 "all replicas serve v1" rollout_done v1

say "3. callers stream answers and book while v2 is rolled out"
start_callers 1
sleep 2
use_version_2
operator plan --settings "$run/settings/operator.toml" "$run/records"
await 10 "the change to v2 is accepted" apply
await 10 "every process reports revision 2" everywhere 2 ""
sleep 4
say "4. model-2's agent is killed during the rollout and restarts without stored chunks; model-5 leaves as planned"
kill -KILL "${pid[model-2]}"
printf 'schema = 2\nkind = "vm-state"\nname = "model-5"\nstate = "leaving"\n' >"$run/records/vm-state-model-5.toml"
await 10 "the record that model-5 leaves is accepted" apply
kill -TERM "${pid[model-5]}"
sleep 1
start_agent $(grep '^model-2 ' "$vms")
wait "${pid[model-5]}" && say "model-5 finished its work and stopped"
unset 'pid[model-5]'
await 60 "every process reports revision 3" everywhere 3 '"model-5"'
await 60 "all replicas serve v2" rollout_done v2
sleep 2
stop_callers
stop_fleet

say "5. the audit of all logs"
verdict=0
operator audit "$run"/logs/*.log || verdict=$?
echo
largest() { sed -n "s/.*event=weights.staged .*version=$1 .*took_ms=\([0-9]*\).*/\1/p" "$run"/logs/model-*.log | sort -n | tail -1; }
echo "time to N replicas staged:  v1 $(largest v1) ms, v2 $(largest v2) ms (one VM restarted during v2)"
plain() { tr -d '{}"' | sed 's/:/ /g; s/,/, /g'; }
echo "origin and key-value calls: $(tail -1 "$run/platform.json" | plain)"
echo "                            (one copy is 64 MiB; v2 shares half of its chunks with v1, so 1.5 copies is the minimum)"
for account in $accounts; do echo "caller $account: $(plain <"$run/caller-$account.json")"; done
echo "refusals at entry VMs:      $(cat "$run"/logs/entry-*.log | sed -n 's/.*event=request.refused .*reason=\([a-z-]*\) .*/\1/p' | sort | uniq -c | tr -s ' \n' ' ')"
echo "undecided: the logs do not show whether the promise was kept in that case, for example because a process was killed before it wrote its line."
echo "outcome-unknown: a booking was handed to an upstream and its answer was lost, so the caller is told that it may have run and is not run again."
[ $verdict -eq 0 ] && say "every promise that the logs decide was kept" || fail "a promise was broken (see above)"
