#!/usr/bin/env bash
# Fails if a name that a hosting platform defines occurs outside platform/, deploy/, tests,
# stand-ins and docs.
set -euo pipefail
cd "$(dirname "$0")/.."

names='x-request-id|x-deadline-ms|x-server-signature|x-target-instance|x-not-executed'
names+='|server-limit|server-leaving|store-era'
names+='|x-caller-service|x-instance-id|x-server-load|/-/ready|/-/instances|/-/log-|keyed\.(op|members|servers)'
names+='|virtual-hosts|path-prefix|traffic-split|target-latency-ms|heartbeat-addr|cold-left-ms|read_only|non_idempotent'

found=$(git grep -niE "$names" -- 'crates/*.rs' 'crates/*.toml' \
    ':!crates/*/tests/*' ':!crates/poplartrail-stand/*' || true)
if [ -n "$found" ]; then
    echo "names of the platform outside platform/:"
    echo "$found"
    exit 1
fi
