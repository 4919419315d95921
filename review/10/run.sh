#!/usr/bin/env bash
# Runs the case. Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the
# disruption.
exec bash "$(dirname "$0")/../rig-2/run-case.sh" "$(dirname "$0")" start-in-outage
