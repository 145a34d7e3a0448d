#!/bin/sh
# Installs the Debian packages that the build, the checks and the demo need;
# does nothing when all are installed.
set -eu

PACKAGES="gcc make pkg-config clang clang-format clang-tidy cppcheck python3
libck-dev libmicrohttpd-dev libcurl4-openssl-dev libglib2.0-dev liblog4c-dev
libcyaml-dev libtirpc-dev rpcsvc-proto libxxhash-dev libjansson-dev
libclang-rt-14-dev libuv1-dev libhttp-parser-dev"

missing=
for package in $PACKAGES; do
	dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
