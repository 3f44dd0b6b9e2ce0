#!/usr/bin/env bash
exec "$(dirname "$0")/../standin-3/run.sh" "$(dirname "$0")"
