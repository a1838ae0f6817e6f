#!/bin/sh
# Builds the stand-ins of the cases. The project's own programs are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/review-stand ./review/stand
