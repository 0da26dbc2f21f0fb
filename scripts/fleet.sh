#!/usr/bin/env bash
# Functions shared by demo.sh and storm.sh: sourced with $customer set, it builds,
# prepares a run folder and defines functions to start and stop a fleet of real processes.

case "$customer" in
caroni) origin_region=north book=/v1/services/permit/book accounts="telecom-one field-crews" ;;
kalupahana) origin_region=western book=/v1/services/ledger/deposit accounts="temples workshops" ;;
*)
    echo "usage: $0 [caroni|kalupahana]" >&2
    exit 2
    ;;
esac
scripts/build.sh
bin=$PWD/build/bin
run=$PWD/build/${run_name:-demo}-$customer
rm -rf "$run"
mkdir -p "$run/logs" "$run/settings"
vms=examples/$customer/vms.txt
cp -r "examples/$customer/records" "$run/records"

declare -A pid
started=$SECONDS
say() { printf '[%3ds] %s\n' $((SECONDS - started)) "$*"; }
fail() {
    say "FAILED: $*"
    exit 1
}
stop_all() {
    for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop_all EXIT

port_base=$(awk 'NR==1 { split($2, a, ":"); print a[2] - 1 }' "$vms")
key_value=127.0.0.1:$((port_base + 91))
vm_list=127.0.0.1:$((port_base + 92))
origin=127.0.0.1:$((port_base + 93))
platform_settings() {
    printf 'key_value = "%s"\nvm_list = "%s"\npeer_key_id = "k1"\npeer_key = "example-peer-key-0001"\n' "$key_value" "$vm_list"
}
platform_settings >"$run/settings/operator.toml"
operator() { "$bin/hyssopwick" "$@"; }

# The origin's link transfers 4 copies of 64 MiB in 20 s, a VM's link 2; a pair of regions
# has 25 Mbit/s, of which weights may use 80 %.
start_entry() {
    local id=$1 address=$2 region=$3 domain=$4
    {
        platform_settings
        printf 'vm = "%s"\nlisten = "%s"\nregion = "%s"\nfailure_domain = "%s"\n' "$id" "$address" "$region" "$domain"
    } >"$run/settings/$id.toml"
    "$bin/hyssopwick-entry" --settings "$run/settings/$id.toml" 2>>"$run/logs/$id.log" &
    pid[$id]=$!
}
start_agent() {
    local id=$1 address=$2 region=$3 domain=$4 kind=$5
    local upstream=127.0.0.1:$((${address##*:} + 200))
    {
        platform_settings
        printf 'vm = "%s"\nlisten = "%s"\nregion = "%s"\nfailure_domain = "%s"\nworker_kind = "%s"\n' "$id" "$address" "$region" "$domain" "$kind"
        printf 'origin = "%s"\norigin_region = "%s"\nupstream = "%s"\n' "$origin" "$origin_region" "$upstream"
        printf 'uplink_bytes_per_second = 6700000\nregion_link_bytes_per_second = 2500000\nweight_budget_bytes = 200000000\n'
    } >"$run/settings/$id.toml"
    "$bin/hyssopwick-agent" --settings "$run/settings/$id.toml" 2>>"$run/logs/$id.log" &
    pid[$id]=$!
}
start_upstream() {
    local id=$1 address=$2 kind=$5
    local upstream=127.0.0.1:$((${address##*:} + 200)) program=service
    [ "$kind" = model ] && program=engine
    "$bin/hyssopwick-fake" "$program" --listen "$upstream" --name "$id" 2>>"$run/logs/upstream-$id.log" &
    pid[upstream-$id]=$!
}
# Waits until a command succeeds. Arguments: timeout in seconds, description, command.
await() {
    local limit=$1 what=$2 end
    end=$((SECONDS + limit))
    shift 2
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || fail "$what did not happen within $limit s"
        sleep 0.2
    done
    say "$what"
}
status_json() { operator status --settings "$run/settings/operator.toml" --json; }
everywhere() { { status_json || true; } | grep "\"laggards\":\[\].*\"revision\":$1,.*\"silent\":\[$2\]"; }
rollout_done() { grep -hq "event=rollout.complete .*version=$1 " "$run"/logs/entry-*.log; }
apply() { operator apply --settings "$run/settings/operator.toml" "$run/records" 2>>"$run/logs/operator.log"; }

start_platform() {
    "$bin/hyssopwick-fake" platform --key-value "$key_value" --vm-list "$vm_list" --origin "$origin" --vms "$vms" \
        --origin-bytes-per-second 13400000 >"$run/platform.json" 2>>"$run/logs/platform.txt" &
    pid[platform]=$!
}
start_fleet() {
    start_platform
    while read -r id address region domain kind; do
        if [ "$kind" = entry ]; then
            start_entry "$id" "$address" "$region" "$domain"
        else
            start_upstream "$id" "$address" "$region" "$domain" "$kind"
            start_agent "$id" "$address" "$region" "$domain" "$kind"
        fi
    done <"$vms"
}
start_callers() {
    local entries seed=$1 account
    entries=$(awk '$5 == "entry" { printf " --entry %s", $2 }' "$vms")
    for account in $accounts; do
        # shellcheck disable=SC2086
        "$bin/hyssopwick-fake" caller $entries --account "$account" --secret "secret-$account" --model assistant --booking-path "$book" \
            --completions-per-second 8 --bookings-per-second 4 --seed "$seed" >"$run/caller-$account.json" 2>>"$run/logs/caller-$account.log" &
        pid[caller-$account]=$!
        seed=$((seed + 1))
    done
}
stop_callers() {
    local account
    for account in $accounts; do
        kill -TERM "${pid[caller-$account]}"
        wait "${pid[caller-$account]}" || say "caller $account received an incomplete or wrong answer"
        unset "pid[caller-$account]"
    done
}
# Stops all daemons as planned, then the platform.
stop_fleet() {
    local id
    while read -r id _; do
        [ -n "${pid[$id]:-}" ] && kill -TERM "${pid[$id]}" 2>/dev/null || true
    done <"$vms"
    while read -r id _; do
        [ -n "${pid[$id]:-}" ] && wait "${pid[$id]}" || true
        unset "pid[$id]"
    done <"$vms"
    kill -TERM "${pid[platform]}" && wait "${pid[platform]}" || true
    say "all processes have stopped as planned"
}
use_version_2() {
    local v1_digest v2_digest
    v1_digest=$(awk -F'"' '/^manifest/ { print $2 }' "$run/records/placement-assistant.toml")
    v2_digest=$(awk '/^assistant@v2/ { print $2 }' "$run/platform.json")
    sed -i "s/$v1_digest/$v2_digest/; s/version = \"v1\"/version = \"v2\"/" "$run/records/placement-assistant.toml"
}
