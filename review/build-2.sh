#!/bin/sh
# Builds the stand-ins of the cases 6 and up, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CC:-cc} -std=c11 -D_GNU_SOURCE -O1 -Wall -Wextra -pthread \
    -o target/review-2/rig review/standin-2/rig.c review/standin-2/net.c
