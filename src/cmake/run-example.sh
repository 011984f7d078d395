#!/usr/bin/env bash
# Starts `lycheestep local` with the example catalogue of Phấn Việt, submits one
# request of each of its kinds of work, prints each answer and the log lines of
# the decisions, and stops it. Usage: run-example.sh PROGRAM [PORT]
set -euo pipefail
cd "$(dirname "$0")/../.."
program=$1
port=${2:-18080}
server=http://127.0.0.1:$port
log=$(mktemp)
"$program" local --catalogue examples/phan-viet/catalogue.json \
  --port "$port" 2>"$log" &
process=$!
trap 'kill "$process" 2>/dev/null || true; rm -f "$log"' EXIT
for _ in $(seq 300); do
  curl -fs -o /dev/null "$server/readyz" && break
  kill -0 "$process" || { cat "$log"; exit 1; }
  sleep 0.1
done
for kind in tender-quote restock-plan stock-check; do
  echo "== $kind"
  "$program" submit "$kind" --server "$server" --timeout 60s \
    --body "one $kind, please"
done
kill -TERM "$process"
wait "$process"
echo "== log lines"
cat "$log"
