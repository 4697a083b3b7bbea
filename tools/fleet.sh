# Functions that start fleets of nodes with stand-ins on loopback addresses. Sourced by tools/demo, tools/bench and
# tools/capacity. Each node has its own loopback address, 127.NET.ZONE.NUMBER, so that all use the default ports.
# shellcheck shell=bash

BUILD=${BUILD:-build}
RUN_DIR=${RUN_DIR:-$(mktemp -d)}
PIDS=()

NODE_PORT=7400
CALLER_PORT=7480
LOCAL_PORT=7481
ADMIN_PORT=7482
UPSTREAM_PORT=8080
PLATFORM_PORT=7300
PLATFORM_CONTROL_PORT=7301
OPERATOR_CREDENTIAL=${OPERATOR_CREDENTIAL:-operator-credential-of-the-demo}

# start NAME COMMAND...: runs a process in the background; its output goes to RUN_DIR/NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$RUN_DIR/$name.log" 2>&1 &
    PIDS+=($!)
    echo "$!" >"$RUN_DIR/$name.pid"
}

# stop_process NAME: sends SIGTERM and waits for the process to exit.
stop_process() {
    local pid
    pid=$(cat "$RUN_DIR/$1.pid")
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
}

stop_all() {
    [ ${#PIDS[@]} -gt 0 ] && kill -TERM "${PIDS[@]}" 2>/dev/null
    wait 2>/dev/null
    return 0
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds or the time limit is reached.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "Timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

start_platform() { # NET
    start "platform-$1" "$BUILD/src/standin/vt_standin_platform" --address "127.$1.0.1" \
        --port "$PLATFORM_PORT" --control-port "$PLATFORM_CONTROL_PORT"
}

# start_node NET ZONE_NUMBER NODE_NUMBER ZONE_NAME SHARE_SLOT SEEDS [LOG_LEVEL]
start_node() {
    local address="127.$1.$2.$3" name="$4-$3" level=${7:-info}
    cat >"$RUN_DIR/$name.ini" <<SETTINGS
[node]
name = $name
zone = $4
address = $address
local_address = $address
share_slot = $5
seeds = $6

[security]
fleet_secret = secret-of-the-fleet-on-loopback
operator_credential = $OPERATOR_CREDENTIAL

[platform]
address = 127.$1.0.1:$PLATFORM_PORT

[log]
level = $level
SETTINGS
    start "$name" "$BUILD/vanillatackd" "$RUN_DIR/$name.ini"
}

is_ready() { # ADDRESS
    curl -sf "http://$1:$LOCAL_PORT/readyz"
}
