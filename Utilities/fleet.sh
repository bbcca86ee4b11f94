# Sourced by scripts that need real processes on loopback. stop_fleet stops every
# process started here.
# shellcheck shell=bash

fleet_pids=()
fleet_dir=$(mktemp -d)
stand_ins=${build:?}/StandIns
store_port=${store_port:-18500}

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

start_store() {
    start store "$stand_ins/StoreStandIn" --port "$store_port"
    until_true 5 get "http://127.0.0.1:$store_port/control/calls"
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
    "store": { "address": "127.0.0.1:$store_port" },
    "seeds": [ "127.0.0.1:18301", "127.0.0.1:18302", "127.0.0.1:18303" ],
    "stop": { "bound": "10s", "readinessLead": "500ms" },
    "retries": { "share": 0.2, "slack": 64 },
    "log": { "format": "json" }
}
JSON
}

start_instance() { # NUMBER
    write_settings "$1"
    start "entry-$1" "$build/burlreach" serve --settings "$fleet_dir/entry-$1.json"
}

is_ready() { get "http://127.0.0.1:$((18100 + $1))/ready"; }
