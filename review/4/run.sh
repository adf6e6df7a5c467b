#!/bin/sh
# Plays the case late-heartbeat and writes record.txt beside this file.
cd "$(dirname "$0")/../.." && exec review/bin/standin -case late-heartbeat -dir review/4
