#!/usr/bin/env bash
# Tests real processes on loopback under failures: killed, frozen, or cut off
# processes, and a store that loses answers or is down. Every wait is for a
# condition. Ends with the line "N passed, N failed".
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
build=${1:?the build folder}
store_port=28500
# shellcheck source=Utilities/fleet.sh
source "$here/../Utilities/fleet.sh"
trap stop_fleet EXIT
passed=0
failed=0

check() { # NAME COMMAND...
    local name=$1
    shift
    if "$@" > "$fleet_dir/check.log" 2>&1; then
        passed=$((passed + 1))
        echo "passed $name"
    else
        failed=$((failed + 1))
        echo "FAILED $name"
        sed 's/^/    /' "$fleet_dir/check.log" | tail -n 20
    fi
}

fault() { put "http://127.0.0.1:$store_port/control/fault/$1"; }
backend_fault() { put "http://127.0.0.1:$((18200 + $1))/control/fault/$2"; }

load() { # NAME OPTIONS...: runs callers and writes their result to NAME.json
    local name=$1
    shift
    "$stand_ins/CallerStandIn" --port 18001 --port 18002 --port 18003 --prefix "$name" "$@" > "$fleet_dir/$name.json"
}

# Compares the answers that callers received with the journals of all backend servers.
agrees() { # NAME...
    for number in 1 2 3 4; do get "http://127.0.0.1:$((18200 + number))/control/journal" > "$fleet_dir/journal-$number.json"; done
    python3 - "$fleet_dir" "$@" << 'PYTHON'
import collections, json, sys
folder, names = sys.argv[1], sys.argv[2:]
runs = collections.Counter()
for number in (1, 2, 3, 4):
    runs.update(json.load(open(f"{folder}/journal-{number}.json")))
twice = [i for i, n in runs.items() if n > 1]
bad = []
for name in names:
    told = json.load(open(f"{folder}/{name}.json"))
    bad += [f"answered and not run: {i}" for i in told["answered_bookings"] if not runs[i]]
    bad += [f"not run and ran: {i}" for i in told["not_run_bookings"] if runs[i]]
    bad += [f"{n} answers {o}" for o, n in told["outcomes"].items() if o.startswith("not its own")]
print(f"{sum(runs.values())} runs", [f"ran twice: {i}" for i in twice], bad)
sys.exit(1 if twice or bad else 0)
PYTHON
}

answered() { python3 -c "import json,sys; d=json.load(open('$fleet_dir/$1.json')); print(d['outcomes'], d['reasons']); sys.exit(0 if d['outcomes'].get('answered', 0) >= $2 else 1)"; }
only_answered() { python3 -c "import json,sys; d=json.load(open('$fleet_dir/$1.json')); print(d['outcomes'], d['reasons']); sys.exit(0 if list(d['outcomes']) == ['answered'] else 1)"; }
revision_on() { ctl_port=$((18100 + $1)) ctl list-services | sed -n 's/^revision: //p'; }
all_at() { for number in 1 2 3; do [ "$(revision_on "$number")" = "$1" ] || return 1; done; }
request_status() { curl -s -o "$fleet_dir/answer" -D "$fleet_dir/headers" --max-time 15 -w '%{http_code}' -H 'Host: bookings.example' "$@"; }
bookings_work() { # INSTANCE...: a booking succeeds at each of these instances
    for number in "$@"; do
        [ "$(request_status -X POST -d x "http://127.0.0.1:$((18000 + number))/bookings")" = 200 ] || return 1
    done
}

start_store
for number in 1 2 3 4; do start_backend_server "$number"; done
for number in 1 2 3; do start_instance "$number"; done
until_true 20 ctl create-service --service bookings --host bookings.example --change-id create
for number in 1 2 3 4; do
    ctl name-backend-server --service bookings --name "offers-$number" --ip 127.0.0.1 --port $((18200 + number)) --data-centre "dc-$((number % 3 + 1))" --slots 3 --change-id "name-$number" > /dev/null
done
for number in 1 2 3; do until_true 20 is_ready "$number"; done
until_true 20 bookings_work 1 2 3

check "a change sent twice with one id takes effect once" bash -c "
    set -e
    ctl() { '$build/burlreach' ctl --address 127.0.0.1:18101 \"\$@\"; }
    first=\$(ctl set-limits --service bookings --retry-percent 20 --change-id twice)
    second=\$(ctl set-limits --service bookings --retry-percent 20 --change-id twice)
    [ \"\$first\" = \"\$second\" ]"
check "two changes on one expected revision: the second conflicts" bash -c "
    revision=\$('$build/burlreach' ctl --address 127.0.0.1:18101 list-services | sed -n 's/^revision: //p')
    '$build/burlreach' ctl --address 127.0.0.1:18101 set-limits --service bookings --retry-percent 10 --expected-revision \$revision || exit 1
    '$build/burlreach' ctl --address 127.0.0.1:18102 set-limits --service bookings --retry-percent 30 --expected-revision \$revision
    [ \$? -eq 3 ]"
check "a bad change gets findings" bash -c "
    '$build/burlreach' ctl --address 127.0.0.1:18101 create-service --service 'a b' --host bookings.example > '$fleet_dir/findings'
    [ \$? -eq 1 ] && grep -q '^/services/1/name: ' '$fleet_dir/findings' && grep -q '^/services/1/hosts: ' '$fleet_dir/findings'"

fault lose-answers
(sleep 2 && fault none) &
check "a change whose answer the store lost is accepted and in force" ctl set-limits --service bookings --retry-percent 11 --change-id lost-answer
wait $!
revision=$(revision_on 1)
check "and on all three balancers" until_true 10 all_at "$revision"

fault down
check "store down: a change is refused and says so" bash -c "
    '$build/burlreach' ctl --address 127.0.0.1:18101 set-limits --service bookings --retry-percent 12 --change-id while-down | grep -q 'nothing was changed'"
load store-down --sessions 6 --requests 100
check "store down: requests go on" only_answered store-down
fault none

kill -STOP "${pid_entry_1:?}"
load frozen --sessions 6 --requests 40 --port 18002 &
loader=$!
until_true 60 bash -c "for n in 2 3; do curl -fsS --max-time 5 -X POST -d x -H 'Host: bookings.example' http://127.0.0.1:1800\$n/bookings -o /dev/null || exit 1; done"
kill -CONT "${pid_entry_1:?}"
wait "$loader"
check "frozen balancer: nothing ran twice, every word is true" agrees frozen
until_true 30 bookings_work 1 2 3

load killed --sessions 9 --seconds 6 &
loader=$!
sleep 1
kill -KILL "${pid_entry_2:?}"
wait "$loader"
check "killed balancer: nothing ran twice, every word is true" agrees killed
check "killed balancer: the others answer" answered killed 100
until_true 30 bookings_work 1 3
start_instance 2
until_true 30 bookings_work 1 2 3
check "killed balancer: started again at the same revision" until_true 20 all_at "$(revision_on 1)"

backend_fault 1 cut
load cut --sessions 6 --requests 100
backend_fault 1 none
check "answers cut in the middle: none is passed as whole" agrees cut
backend_fault 2 shed
load shed --sessions 6 --requests 100
backend_fault 2 none
check "shedding backend server: nothing ran twice" agrees shed
check "shedding backend server: the others answer all" only_answered shed
backend_fault 3 leaving
load before-leaving --sessions 6 --requests 30
until_true 30 bash -c "'$build/burlreach' ctl --address 127.0.0.1:18103 show-load --service bookings | grep -q leaving"
sleep 2
load leaving --sessions 6 --requests 100
check "leaving backend server gets nothing new" bash -c "! grep -q offers-3 '$fleet_dir/leaving.json'"
backend_fault 3 none
sleep 3
load silent --sessions 6 --requests 100
check "nor while it says nothing of it any more" bash -c "! grep -q offers-3 '$fleet_dir/silent.json'"
ctl name-backend-server --service bookings --name offers-3 --ip 127.0.0.1 --port 18203 --data-centre dc-1 --slots 3 --life 2 > /dev/null
load anew --sessions 6 --requests 100
check "its new life is used" grep -q offers-3 "$fleet_dir/anew.json"

load stop --sessions 9 --seconds 5 &
loader=$!
sleep 1
kill -TERM "${pid_entry_3:?}"
sleep 0.2
kill -TERM "${pid_entry_3:?}" # a second SIGTERM must change nothing
until_true 15 bash -c "! kill -0 ${pid_entry_3:?} 2> /dev/null"
wait "$loader"
check "planned stop under load cuts and refuses nothing" only_answered stop
check "planned stop: nothing ran twice" agrees stop

garbage() { printf 'GET / HTTP/1.1\r\nHost: x\r\n\r\n' | timeout 5 bash -c "cat > /dev/tcp/127.0.0.1/18301"; }
garbage
check "garbage from a peer is refused and counted" until_true 10 bash -c "curl -fsS http://127.0.0.1:18101/metrics | grep -E '^burlreach_peer_messages_invalid [1-9]'"
request_status -H 'Burlreach-Deadline-Milliseconds: soon' -X POST -d x http://127.0.0.1:18001/bookings > /dev/null
check "a bad header is refused with its reason" grep -q 'Burlreach-Reason: bad_request' "$fleet_dir/headers"
check "a refusal says when to come back" grep -q 'Retry-After: ' "$fleet_dir/headers"
check "an unknown host gets 404" [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: nobody.example' http://127.0.0.1:18001/)" = 404 ]

backend_fault 1 frozen; backend_fault 2 frozen; backend_fault 3 frozen; backend_fault 4 frozen
timeout 0.5 curl -s -X POST -d x -H 'Host: bookings.example' http://127.0.0.1:18001/bookings > /dev/null
check "a caller that leaves is noticed" until_true 5 bash -c "curl -fsS http://127.0.0.1:18101/metrics | grep -E '^burlreach_decisions\{reason=\"callers_gone\"\} [1-9]'"
check "and its request is not kept" until_true 5 bash -c "curl -fsS http://127.0.0.1:18101/metrics | grep -qx 'burlreach_open_requests 0'"
request_status -X POST -d x -H 'Burlreach-Deadline-Milliseconds: 300' http://127.0.0.1:18001/bookings > "$fleet_dir/late"
check "a late request is answered at its deadline, as unknown" grep -q 'Burlreach-Outcome: unknown' "$fleet_dir/headers"
for number in 1 2 3 4; do backend_fault "$number" none; done

kill -HUP "${pid_entry_1:?}"
check "SIGHUP reloads the settings" until_true 5 grep -q '"message":"reloaded","cause":"signal"' "$fleet_dir/entry-1.log"
sed -i 's/"seeds": \[ /"seeds": [ "127.0.0.1:18304", /' "$fleet_dir/entry-1.json"
check "and so does a change of the file" until_true 5 grep -q '"message":"reloaded","cause":"change of the file","seeds":4' "$fleet_dir/entry-1.log"
check "and requests go on" [ "$(request_status -X POST -d x http://127.0.0.1:18001/bookings)" = 200 ]
check "every log line is a JSON object" python3 -c "
import json, sys
lines = [json.loads(line) for line in open('$fleet_dir/entry-1.log')]
sys.exit(0 if len(lines) > 20 and all('message' in line for line in lines) else 1)"

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
