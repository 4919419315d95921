#!/usr/bin/env bash
# Builds the clients, servers and checks of the cases 6 to 10, and the project's own stand-ins that they use. It needs no
# network after the build of the deploy file, and adds no dependency: the lock file holds the project's versions.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
cargo build --release --locked --offline
