#!/bin/sh
# Builds the stand-ins that the scripts in this folder start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/review/stub \
    review/standin/stub.c -pthread
