#!/bin/sh
# Builds the stand-ins of the second review, bin/rig-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p ../bin
exec go build -o ../bin/rig-2 ./rig-2
