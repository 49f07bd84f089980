#!/usr/bin/env bash
# Starts all processes of a deployment on loopback, sends the deployment's mix of requests, marks a backend server as
# leaving, restarts an entry VM, and prints a table of the results. The exit code is 0 only if all checks pass.
# Arguments: build folder, [deployment...]; the default deployments are andesoft and huon.
# Environment variables: SECONDS_PER_RUN, the duration of a run, and FAULTS, the path of a file with lines
# "SECOND ACTION TARGET [ARGUMENT]". The actions of this file replace the restart of the entry VM. The actions are:
#   kill ENTRY | restart ENTRY | freeze ENTRY | thaw ENTRY | platform MODE | down FAILURE-DOMAIN MILLISECONDS
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

crash_domain() { # $1: settings folder, $2: failure domain, $3: milliseconds
  sed -n 's/.*"address": "\(.*\)".*/\1/p' "$1/backends-$2.json" | while read -r address; do
    curl -s -o /dev/null -X POST -d "{\"crashMilliseconds\": $3}" "http://$address/control" || true
  done
}

apply_fault() { # $1: settings folder, $2: platform, $3...: action, target, argument
  local settings=$1 platform=$2
  case "$3" in
    kill) kill -KILL "${entry_pids[$4]}" ;;
    freeze) kill -STOP "${entry_pids[$4]}" ;;
    thaw) kill -CONT "${entry_pids[$4]}" ;;
    restart)
      start "$4" "$build/Services/EntryServer/cicadadrum-entry" --settings "$settings/$4.json"
      entry_pids[$4]=$! ;;
    platform) curl -s -o /dev/null -X POST -d "{\"mode\": \"$4\"}" "http://$platform/control" ;;
    down) crash_domain "$settings" "$4" "$5" ;;
    *) echo "unknown action: $3" >&2; return 1 ;;
  esac
}

run_faults() { # $1: settings folder, $2: platform; reads FAULTS
  local elapsed=0 second action target argument
  while read -r second action target argument; do
    [ "$second" != "#" ] && [ -n "$second" ] || continue
    sleep $((second - elapsed))
    elapsed=$second
    apply_fault "$1" "$2" "$action" "$target" "$argument"
  done < "$FAULTS"
}

declare -A entry_pids

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
    entry_pids[$(basename "$entry" .json)]=$last
  done
  mapfile -t entry_ports < <(sed -n 's/.*"callerAddress": "\(.*\)".*/\1/p' "$deployment")
  for address in "${entry_ports[@]}"; do
    wait_for_http "$address/readyz"
  done
  "$build/Utilities/Demonstration/cicadadrum-demonstration" --settings "$settings/mix.json" --seconds "$seconds" \
    ${FAULTS:+--faults} &
  local demonstration=$! result=0
  if [ -n "${FAULTS:-}" ]; then
    run_faults "$settings" "$platform"
  else
    # In the middle of the run, the last entry VM is stopped cleanly with SIGTERM and restarted.
    sleep $((seconds / 2))
    kill -TERM "$last"
    wait "$last" || { echo "the entry VM did not stop cleanly" >&2; result=1; }
    start restarted "$build/Services/EntryServer/cicadadrum-entry" --settings "$settings/entry-9.json"
  fi
  wait "$demonstration" || result=1
  "$build/Utilities/Control/cicadadrumctl" --settings "$deployment" status
  stop_all
  return $result
}

for deployment in "$@"; do
  run_deployment "$deployment" || { echo "a promise was broken; logs are in $logs" >&2; exit 1; }
done
rm -rf "$logs"
