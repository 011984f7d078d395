#!/usr/bin/env bash
# Checks every broken file and compares the messages and exit codes with
# expected.txt. Usage: run.sh PROGRAM
set -euo pipefail
export LC_ALL=C
program=$1
cd "$(dirname "$0")"
actual=$(mktemp)
trap 'rm -f "$actual"' EXIT
for file in files/*.json files/not-there; do
  code=0
  "$program" check "$file" >>"$actual" 2>&1 || code=$?
  echo "exit code $code" >>"$actual"
done
diff -u expected.txt "$actual"
