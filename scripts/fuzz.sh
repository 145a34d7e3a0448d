#!/bin/sh
# Builds each fuzzer of tests/fuzz and runs it with a fixed number of inputs and
# a fixed seed. The initial corpus is tests/fuzz/seeds/NAME, if it exists.
# Usage: scripts/fuzz.sh [RUNS [SEED]]
set -eu
cd "$(dirname "$0")/.."
RUNS=${1:-20000}
SEED=${2:-1}
OUT=build/fuzz
PKGS="glib-2.0 gio-2.0 jansson libcurl libmicrohttpd libtirpc libxxhash
log4c libcyaml ck libuv"
SAN="-fno-sanitize-recover=undefined -fsanitize=address,undefined"

make --no-print-directory -s -j4 BUILD=$OUT CC=clang OPT=-O1 HARDEN= \
	SAN="$SAN,fuzzer-no-link" $OUT/libfulmargauge.a

mkdir -p $OUT/bin
for source in tests/fuzz/fuzz_*.c; do
	name=$(basename "$source" .c)
	corpus=$OUT/corpus/$name
	seeds=tests/fuzz/seeds/${name#fuzz_}
	rm -rf "$corpus"
	mkdir -p "$corpus"
	[ -d "$seeds" ] || seeds=
	# shellcheck disable=SC2046,SC2086
	clang -std=gnu11 -g -O1 -Wall -Wextra -Werror -D_GNU_SOURCE -Ilib -Iplatform \
		$(pkg-config --cflags $PKGS) $SAN,fuzzer -o "$OUT/bin/$name" \
		"$source" $OUT/libfulmargauge.a $(pkg-config --libs $PKGS) \
		-lhttp_parser -lpthread -lm
	# shellcheck disable=SC2086
	if "$OUT/bin/$name" -runs="$RUNS" -seed="$SEED" -max_len=4096 \
		-timeout=10 -rss_limit_mb=1024 -artifact_prefix="$OUT/$name-" \
		"$corpus" $seeds >"$OUT/$name.log" 2>&1; then
		echo "ok $name ($RUNS runs, seed $SEED)"
	else
		tail -n 40 "$OUT/$name.log"
		echo "FAILED: $name"
		exit 1
	fi
done
