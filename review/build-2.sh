#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The deploy file builds the project's own programs.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/review-stand-2 ./review/stand2
