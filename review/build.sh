#!/bin/sh
# Builds the stand-ins of all scripts in this folder.
cd "$(dirname "$0")/.." && exec go build -o review/bin/standin ./review/standin
