#!/bin/sh
# Plays the case stop and writes record.txt beside this file.
cd "$(dirname "$0")/../.." && exec review/bin/standin -case stop -dir review/3
