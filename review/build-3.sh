#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. The build of the deploy
# file must have run before.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/ ./review/stand3
