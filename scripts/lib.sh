# Helpers for scripts that run stand-ins and daemons. Processes are ended by
# the ids of those that were started here.

pids=()
run_dir=$(mktemp -d)

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$run_dir"
}
trap stop_all EXIT

now_ms() { date +%s%3N; }

# wait_for SECONDS WHAT COMMAND...: repeats COMMAND until it succeeds.
wait_for() {
  local limit=$1 what=$2
  shift 2
  local end=$(( $(now_ms) + limit * 1000 ))
  until "$@"; do
    if [ "$(now_ms)" -ge "$end" ]; then
      echo "timed out after ${limit}s waiting for: $what" >&2
      return 1
    fi
    sleep 0.02
  done
}

# start NAME COMMAND...: runs COMMAND in the background; sets pid_NAME.
start() {
  local name=$1
  shift
  "$@" > "$run_dir/$name.out" 2> "$run_dir/$name.log" &
  pids+=($!)
  printf -v "pid_$name" '%s' "$!"
}

# start_standin NAME PROGRAM [FLAGS...]: sets address_NAME.
start_standin() {
  local name=$1 program=$2
  shift 2
  start "$name" "$bin/$program" --address_file="$run_dir/$name.address" "$@"
  wait_for 10 "address of $name" test -s "$run_dir/$name.address"
  printf -v "address_$name" '%s' "$(cat "$run_dir/$name.address")"
}

# start_host NAME FAILURE_DOMAIN [SETTINGS LINE...]: sets caller_NAME, peer_NAME,
# operator_NAME.
start_host() {
  local name=$1 domain=$2
  shift 2
  cat > "$run_dir/$name.yaml" <<YAML
host_name: $name
failure_domain: $domain
log_address: $address_log
host_list_address: $address_hosts
address_file: $run_dir/$name.addresses
$(printf '%s\n' "$@")
YAML
  start "$name" "$bin/toucandockd" --settings="$run_dir/$name.yaml"
  wait_for 10 "addresses of $name" grep -q operator "$run_dir/$name.addresses" 2>/dev/null
  local port
  for port in caller peer operator; do
    printf -v "${port}_$name" '%s' "$(awk -v p="$port" '$1 == p { print $2 }' "$run_dir/$name.addresses")"
  done
}

# start_platform_host NAME FAILURE_DOMAIN: starts toucandock-entry; sets
# caller_NAME and readiness_NAME.
start_platform_host() {
  local name=$1 domain=$2
  cat > "$run_dir/$name.yaml" <<YAML
host_name: $name
failure_domain: $domain
ip: 127.0.0.1
caller_address: 127.0.0.1:0
readiness_address: 127.0.0.1:0
report_port: 0
store_address: $address_store
address_file: $run_dir/$name.addresses
YAML
  start "$name" "$bin/toucandock-entry" --settings="$run_dir/$name.yaml"
  wait_for 10 "addresses of $name" grep -q peer "$run_dir/$name.addresses" 2>/dev/null
  local port
  for port in caller readiness; do
    printf -v "${port}_$name" '%s' "$(awk -v p="$port" '$1 == p { print $2 }' "$run_dir/$name.addresses")"
  done
}

# publish_platform_config FILE: writes it to the stand-in store as the operator
# of the platform does: a record behind its length, with its key.
publish_platform_config() {
  python3 -c 'import struct, sys
text = b"\x06config" + open(sys.argv[1], "rb").read()
sys.stdout.buffer.write(struct.pack(">I", len(text)) + text)' "$1" |
    curl -sf -o /dev/null -X POST -H 'Stand-In-Writer: operator' --data-binary @- \
      "http://$address_store/log-append?topic=keyed.op&part=0"
}

platform_is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/readyz")" = 200 ]; }

# end NAME: kills the process that start() ran under this name.
end() {
  local pid=pid_$1
  kill -KILL "${!pid}"
  wait "${!pid}" 2>/dev/null || true
}

# field NAME: prints a member of the flat JSON object on standard input.
field() {
  sed -n "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/ready")" = 200 ]; }
