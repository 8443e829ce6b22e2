#!/usr/bin/env bash
# Regenerates thrift/gen from thrift/*.thrift. Needs the Debian package thrift-compiler; the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:no_skeleton -out thrift/gen thrift/peers.thrift
