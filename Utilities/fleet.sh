# Sourced by scripts that need real processes on loopback. Every process that
# is started here is ended by stop_fleet.
# shellcheck shell=bash

fleet_pids=()
fleet_dir=$(mktemp -d)
stand_ins=${build:?}/StandIns
platform_port=${platform_port:-18500}

start() { # NAME COMMAND...: starts a process whose log is NAME.log
    local name=$1
    shift
    "$@" > "$fleet_dir/$name.log" 2>&1 &
    fleet_pids+=("$!")
    printf -v "pid_${name//-/_}" '%s' "$!"
}

stop_fleet() {
    for pid in "${fleet_pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
    wait 2> /dev/null || true
    rm -rf "$fleet_dir"
}

until_true() { # SECONDS COMMAND...: waits for the command to succeed
    local tries=$(($1 * 20))
    shift
    for ((; tries > 0; --tries)); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.05
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

get() { curl -fsS --max-time 5 "$@"; }
put() { curl -fsS --max-time 5 -X PUT --data-binary "${2:-}" "$1" > /dev/null; }
ctl() { "$build/burlreach" ctl --address "127.0.0.1:${ctl_port:-18101}" "$@"; }

start_platform() {
    start platform "$stand_ins/PlatformStandIn" --port "$platform_port"
    until_true 5 get "http://127.0.0.1:$platform_port/control/calls"
}

start_backend_server() { # NUMBER [OPTIONS...]
    local number=$1
    shift
    start "backend-$number" "$stand_ins/BackendServerStandIn" --name "offers-$number" --port $((18200 + number)) "$@"
    until_true 5 get "http://127.0.0.1:$((18200 + number))/burlreach/load"
}

write_settings() { # NUMBER
    cat > "$fleet_dir/entry-$1.json" << JSON
{
    "instance": { "name": "entry-$1", "dataCentre": "dc-$(($1 % 3 + 1))" },
    "listen": {
        "callers": "127.0.0.1:$((18000 + $1))",
        "operators": "127.0.0.1:$((18100 + $1))",
        "peers": "127.0.0.1:$((18300 + $1))"
    },
    "platform": { "address": "127.0.0.1:$platform_port" },
    "stop": { "boundMilliseconds": 10000, "readinessLeadMilliseconds": 500 },
    "fleet": { "requestIdsKeptMilliseconds": ${request_ids_kept:-300000} }
}
JSON
}

list_entry() { # NUMBER [STATE]
    printf '{"Service":{"ID":"entry-%s","Address":"127.0.0.1","Port":%s,"Meta":{"data_centre":"dc-%s","state":"%s"}}}' \
        "$1" $((18300 + $1)) $(($1 % 3 + 1)) "${2:-live}"
}

list_instances() { # NUMBERS...: sets the platform's list
    local entries=() number
    for number in "$@"; do entries+=("$(list_entry "$number")"); done
    put "http://127.0.0.1:$platform_port/control/list/burlreach" "[$(IFS=,; echo "${entries[*]}")]"
}

start_instance() { # NUMBER
    write_settings "$1"
    start "entry-$1" "$build/burlreach" serve --settings "$fleet_dir/entry-$1.json"
}

is_ready() { get "http://127.0.0.1:$((18100 + $1))/ready"; }
