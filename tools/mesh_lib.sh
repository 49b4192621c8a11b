# Functions that start a small mesh on loopback addresses; sourced by tools/demo and by measurement scripts.
# The sourcing script sets: bin (build folder), work (folder for settings, keys, data and logs), base_port (first port).

declare -A pids=()
control_count=3

step() { printf 'ok   %s\n' "$1"; }
fail() { printf 'FAIL %s\n' "$1" >&2; exit 1; }

# control_port I OFFSET, node_port I OFFSET: a port of control host I or of node I. Each has a block of 10 ports.
# Offsets: 0 mesh, 1 admin, 2 operator (control host) or caller (node), 3 upstream announcements, 5 the upstream itself.
control_port() { echo $((base_port + 10 * $1 + $2)); }
node_port() { echo $((base_port + 100 + 10 * $1 + $2)); }

zones=(dar-1 mwanza-1 kigoma-1)
regions=(dar mwanza kigoma)

# Writes the files that all processes share: mesh key, operator key and the list of control hosts.
write_common() {
  mkdir -p "$work"
  head -c 32 /dev/urandom | base64 >"$work/mesh.key"
  "$bin/cli/heatherdeck" keygen --operator=amina --out="$work/amina.key" | sed -n "/^operators:/,\$p" >"$work/amina.pub"
  {
    echo "control_hosts:"
    for i in $(seq 1 $control_count); do
      local z=$(((i - 1) % 3))
      echo "  - {id: c$i, availability_zone: ${zones[z]}, region: ${regions[z]}," \
        "mesh_address: \"127.0.0.1:$(control_port "$i" 0)\", operator_address: \"127.0.0.1:$(control_port "$i" 2)\"}"
    done
  } >"$work/control_hosts.yaml"
}

# start_control I
start_control() {
  local i=$1 z=$((($1 - 1) % 3))
  {
    echo "id: c$i"
    echo "region: ${regions[z]}"
    echo "availability_zone: ${zones[z]}"
    echo "roles: [control]"
    echo "mesh_listen: 127.0.0.1:$(control_port "$i" 0)"
    echo "admin_listen: 127.0.0.1:$(control_port "$i" 1)"
    echo "operator_listen: 127.0.0.1:$(control_port "$i" 2)"
    echo "data_folder: $work/data-c$i"
    echo "mesh_key_file: mesh.key"
    cat "$work/control_hosts.yaml" "$work/amina.pub"
  } >"$work/c$i.yaml"
  "$bin/daemon/heatherdeckd" --settings="$work/c$i.yaml" >>"$work/c$i.log" 2>&1 &
  pids[c$i]=$!
}

# start_node I
start_node() {
  local i=$1 z=$((($1 - 1) % 3))
  {
    echo "id: n$i"
    echo "region: ${regions[z]}"
    echo "availability_zone: ${zones[z]}"
    echo "roles: [node]"
    echo "mesh_listen: 127.0.0.1:$(node_port "$i" 0)"
    echo "admin_listen: 127.0.0.1:$(node_port "$i" 1)"
    echo "caller_listen: 127.0.0.1:$(node_port "$i" 2)"
    echo "upstream_listen: 127.0.0.1:$(node_port "$i" 3)"
    echo "mesh_key_file: mesh.key"
    cat "$work/control_hosts.yaml"
  } >"$work/n$i.yaml"
  "$bin/daemon/heatherdeckd" --settings="$work/n$i.yaml" >>"$work/n$i.log" 2>&1 &
  pids[n$i]=$!
}

# start_upstream NODE SERVICE VERSION [FLAG...]
start_upstream() {
  local i=$1 service=$2 version=$3
  "$bin/testing/heatherdeck_upstream" --listen="127.0.0.1:$(node_port "$i" 5)" \
    --announce_to="127.0.0.1:$(node_port "$i" 3)" --service="$service" --upstream_version="$version" \
    --target="$service-n$i" "${@:4}" >>"$work/u$i.log" 2>&1 &
  pids[u$i]=$!
}

# Prints the operator addresses of all control hosts, separated by commas.
control_list() {
  local list=""
  for i in $(seq 1 $control_count); do list+="${list:+,}127.0.0.1:$(control_port "$i" 2)"; done
  echo "$list"
}

cli() { "$bin/cli/heatherdeck" --control="$(control_list)" "$@"; }

# stop_processes NAME...: sends SIGTERM and checks that each process exits with code 0.
stop_processes() {
  local name failed=0
  for name in "$@"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for name in "$@"; do
    wait "${pids[$name]}" || { failed=1; echo "$name ended with an error; see $work/$name.log" >&2; }
    unset "pids[$name]"
  done
  return $failed
}

kill_all() {
  local name
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

# wait_ready NAME ADMIN_PORT LIMIT_S: waits until /ready of the process answers 200; fails after LIMIT_S seconds.
wait_ready() {
  "$bin/tools/heatherdeck_wait" --address="127.0.0.1:$2" --path=/ready --limit_s="$3" ||
    fail "$1 was not ready within $3 s; see $work/$1.log"
}
