#!/usr/bin/env bash
# Runs real processes for about a minute: a rollout under load and bookings, with a corrupt
# origin and, in an order drawn from the seed, kills, pauses, outages of the key-value service,
# concurrent operators and restarts of entry VMs. Ends with the audit; exit code 1 if a
# guarantee is violated. Usage: scripts/storm.sh SEED
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:?usage: scripts/storm.sh SEED}
customer=caroni
run_name=storm-$seed
. scripts/fleet.sh
RANDOM=$seed

# Sets fault switches of a fake. Arguments: address, JSON object.
fault() {
    exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
    printf 'POST /fault HTTP/1.1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' ${#2} "$2" >&3
    head -c 15 <&3 >/dev/null
    exec 3>&-
}
random_of() { shift $((RANDOM % $#)); echo "$1"; }
line_of() { grep "^$1 " "$vms"; }
models=$(awk '$5 == "model" { print $1 }' "$vms")
entry_vms=$(awk '$5 == "entry" { print $1 }' "$vms")
pause() { # process, seconds
    say "$1 is paused for $2 s"
    kill -STOP "${pid[$1]}" && sleep "$2" && kill -CONT "${pid[$1]}"
}
kill_agent() {
    local id
    id=$(random_of $models)
    say "$id's agent is killed"
    kill -KILL "${pid[$id]}"
    sleep 1
    start_agent $(line_of "$id")
}
restart_entry() {
    local id
    id=$(random_of $entry_vms)
    say "$id is restarted as planned"
    kill -TERM "${pid[$id]}"
    wait "${pid[$id]}" || true
    start_entry $(line_of "$id")
}
race_operators() {
    local one=$run/records-one two=$run/records-two
    rm -rf "$one" "$two"
    cp -r "$run/records" "$one"
    cp -r "$run/records" "$two"
    sed -i "s/^weight = .*/weight = $((1 + RANDOM % 9))/" "$one/account-landowner-1.toml"
    sed -i "s/^weight = .*/weight = $((10 + RANDOM % 9))/" "$two/account-landowner-1.toml"
    say "two operators apply at once"
    operator apply --settings "$run/settings/operator.toml" "$one" >>"$run/operators.txt" 2>>"$run/logs/operator-one.log" &
    local first=$!
    operator apply --settings "$run/settings/operator.toml" "$two" >>"$run/operators.txt" 2>>"$run/logs/operator-two.log" || true
    wait $first || true
}
outage() {
    say "the key-value service is unavailable for 4 s"
    fault "$key_value" '{"outage":1}'
    sleep 4
    fault "$key_value" '{"outage":0,"lose_write_answers":0.1}'
}

say "storm $seed: start"
start_fleet
await 20 "the records are accepted" apply
await 60 "all replicas serve v1" rollout_done v1
start_callers "$seed"
fault "$origin" '{"corrupt":0.05}'
use_version_2
await 10 "the change to v2 is accepted" apply
end=$((SECONDS + 45))
while [ $SECONDS -lt $end ]; do
    case $((RANDOM % 6)) in
    0) kill_agent ;;
    1) pause "$(random_of $models)" 2 ;;
    2) pause "$(random_of $entry_vms)" 2 ;;
    3) outage ;;
    4) race_operators ;;
    5) restart_entry ;;
    esac
    sleep 1
done
fault "$key_value" '{"outage":0,"lose_write_answers":0}'
fault "$origin" '{"corrupt":0}'
await 60 "all replicas serve v2" rollout_done v2
sleep 2
stop_callers
stop_fleet
verdict=0
operator audit "$run"/logs/*.log || verdict=$?
for account in $accounts; do echo "caller $account: $(cat "$run/caller-$account.json")"; done
[ $verdict -eq 0 ] && say "storm $seed: every promise that the logs decide was kept" || fail "storm $seed: a promise was broken (see above)"
