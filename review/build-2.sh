#!/bin/sh
# Builds every stand-in that a script of review/6 to review/10 starts. It needs no network.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standins-2" && exec cargo build --release --offline --locked
