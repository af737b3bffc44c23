#!/usr/bin/env bash
# Runs this case; see ../run-2.sh.
exec "$(dirname "$0")/../run-2.sh" 6
