# Shell functions that start stand-ins and daemons on loopback, for the scripts of this folder.
# The process ids of all started programs are recorded, and only these processes are killed on exit.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${BORAGESHORE_BIN:-$root/target/release}
out=${BORAGESHORE_OUT:-$(mktemp -d)}
mkdir -p "$out"
base_port=${BORAGESHORE_BASE_PORT:-17000}
daemon_port=$((base_port + 1000))
zones=(suva-hall nausori-hall navua-hall)
declare -gA pids=()

http_of() { echo "127.0.0.1:$((daemon_port + 10 * $1))"; }

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>"$out/$name.log" &
  pids[$name]=$!
}

start_platform() { start platform "$bin/standins" platform --base-port "$base_port" "$@"; }

write_config() { # NUMBER NAME
  local port=$((daemon_port + 10 * $1))
  cat >"$out/$2.yaml" <<CONFIG
name: $2
zone: ${zones[$1 % ${#zones[@]}]}
http_address: 127.0.0.1:$port
peer_address: 127.0.0.1:$((port + 1))
gossip_address: 127.0.0.1:$((port + 2))
gossip_seeds: ["127.0.0.1:$((daemon_port + 2))", "127.0.0.1:$((daemon_port + 12))", "127.0.0.1:$((daemon_port + 22))"]
log_address: 127.0.0.1:$base_port
vm_list_address: 127.0.0.1:$((base_port + 1))
operator_token: demo-operator
trainer_token: demo-trainer
peer_token: demo-peer
CONFIG
}

start_daemon() { # NUMBER
  write_config "$1" "vm-$1"
  start "vm-$1" "$bin/borageshore" daemon --config "$out/vm-$1.yaml"
}

wait_ready() { # NUMBER
  local try
  for try in $(seq 200); do
    if curl -sf -o /dev/null "http://$(http_of "$1")/readyz"; then return 0; fi
    sleep 0.05
  done
  echo "daemon $1 is not ready" >&2
  return 1
}

operate() { "$bin/borageshore" --daemon "$(http_of 0)" --token demo-operator "$@"; }

stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -CONT "${pids[$name]}" 2>/dev/null; kill -KILL "${pids[$name]}" 2>/dev/null; done
  wait 2>/dev/null
}
trap stop_all EXIT
