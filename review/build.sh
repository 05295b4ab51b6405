#!/bin/sh
# Builds the stand-ins that the cases start: clients, servers and discovery. They depend on nothing but the
# standard library. The project's own programs are built by the command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
