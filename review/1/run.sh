#!/bin/sh
# Plays the case early-answer and writes record.txt beside this file.
cd "$(dirname "$0")/../.." && exec review/bin/standin -case early-answer -dir review/1
