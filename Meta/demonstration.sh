#!/usr/bin/env bash
# Starts a whole deployment on loopback, sends its mix of work, marks a backend server as leaving, restarts an
# entry VM, and prints a table of what happened. Ends with 0 only if every promise held.
# Arguments: build folder, [deployment...] (andesoft and huon without any), SECONDS_PER_RUN from the environment.
set -euo pipefail
build=$1
shift
[ $# -gt 0 ] || set -- andesoft huon
seconds=${SECONDS_PER_RUN:-15}
logs=$(mktemp -d)
pids=()

stop_all() {
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  [ ${#pids[@]} -eq 0 ] || wait "${pids[@]}" 2>/dev/null || true
  pids=()
}
trap stop_all EXIT

start() { # $1: log name, $2...: command
  local log=$logs/$1
  shift
  "$@" 2>>"$log" &
  pids+=($!)
}

wait_for_http() { # $1: address and path
  for _ in $(seq 100); do
    curl -sf -o /dev/null "http://$1" && return
    sleep 0.1
  done
  echo "no answer from $1; logs are in $logs" >&2
  return 1
}

run_deployment() { # $1: name
  local settings=Settings/$1 deployment=Settings/$1/deployment.json
  local platform entry_ports last
  platform=$(sed -n 's/.*"platformAddress": "\(.*\)".*/\1/p' "$deployment")
  start platform "$build/Services/FakePlatform/fake-platform" --settings "$settings/platform.json"
  for backends in "$settings"/backends-*.json; do
    start backends "$build/Services/FakeBackend/fake-backend" --settings "$backends"
  done
  wait_for_http "$platform/vms"
  "$build/Utilities/Control/cicadadrumctl" --settings "$deployment" submit "$settings/lists.json" --base 0
  for entry in "$settings"/entry-*.json; do
    start "$(basename "$entry" .json)" "$build/Services/EntryServer/cicadadrum-entry" --settings "$entry"
    last=$!
  done
  mapfile -t entry_ports < <(sed -n 's/.*"callerAddress": "\(.*\)".*/\1/p' "$deployment")
  for address in "${entry_ports[@]}"; do
    wait_for_http "$address/readyz"
  done
  "$build/Utilities/Demonstration/cicadadrum-demonstration" --settings "$settings/mix.json" --seconds "$seconds" &
  local demonstration=$! result=0
  # A planned stop and restart of the last entry VM in the middle of the run.
  sleep $((seconds / 2))
  kill -TERM "$last"
  wait "$last" || { echo "the entry VM did not stop cleanly" >&2; result=1; }
  start restarted "$build/Services/EntryServer/cicadadrum-entry" --settings "$settings/entry-9.json"
  wait "$demonstration" || result=1
  "$build/Utilities/Control/cicadadrumctl" --settings "$deployment" status
  stop_all
  return $result
}

for deployment in "$@"; do
  run_deployment "$deployment" || { echo "a promise was broken; logs are in $logs" >&2; exit 1; }
done
rm -rf "$logs"
