#!/usr/bin/env bash
# Installs the Debian packages that the build, the linter and the tests need.
# Does nothing when all are there already.
set -euo pipefail
packages=(g++ cmake ninja-build ccache make git python3 curl pkg-config valgrind
  clang-format clang-tidy
  libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libboost-dev
  libcpp-httplib-dev libdocopt-dev liblog4cplus-dev librapidcheck-dev
  nlohmann-json3-dev libvalijson-dev libgmock-dev libbenchmark-dev
  libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$status" = installed ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
