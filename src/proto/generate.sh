#!/usr/bin/env bash
# Regenerates the committed protobuf code from the .proto files.
set -euo pipefail
cd "$(dirname "$0")"
protoc --cpp_out=. jobs.proto peer.proto rows.proto
