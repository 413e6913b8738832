#!/bin/sh
# Installs the Debian packages needed to build and check the project, if any is
# missing.
set -eu
packages="libevent-dev libevhtp-dev libmsgpack-dev libargtable2-dev
    libjansson-dev libglib2.0-dev libxxhash-dev libgsl-dev libgtest-dev
    libssl-dev openssl gcc g++ clang libclang-rt-14-dev clang-format clang-tidy cppcheck cmake
    ninja-build ccache make pkg-config curl"
missing=""
for p in $packages; do
	dpkg-query -W -f '${Status}' "$p" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing
