#!/usr/bin/env bash
# Plays the case of claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec python3 "$here/case.py"
