#!/usr/bin/env bash
# Makes the committed protobuf code anew from the .proto files.
set -euo pipefail
cd "$(dirname "$0")"
protoc --cpp_out=. jobs.proto peer.proto rows.proto
