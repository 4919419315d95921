#!/bin/sh
# Builds the stand-ins and clients of all cases: one program without dependencies.
set -eu
cd "$(dirname "$0")/rig"
exec cargo build --release --locked --offline
