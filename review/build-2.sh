#!/bin/bash
# Builds the stand-ins of the cases in review/6 to review/10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o bin/review-2 ./review/standin2
