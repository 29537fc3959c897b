#!/bin/sh
# trefoilpaddle in one file: this header, then a compressed folder.
# The first start of a version unpacks it; later starts run nothing but exec.
set -eu
umask 077
space="${TREFOILPADDLE_TMP:-${TMPDIR:-/tmp}}"
base="$space/trefoilpaddle"
# Another user's folder in the shared temporary space could hold anything.
if [ -e "$base" ] && { [ ! -O "$base" ] || [ -h "$base" ]; }; then
    base="$space/trefoilpaddle-$(id -u)"
fi
home="$base/@DIGEST@"
if [ ! -x "$home/trefoilpaddle" ]; then
    mkdir -p "$base"
    if [ ! -O "$base" ] || [ -h "$base" ]; then
        echo "trefoilpaddle: $base belongs to someone else; set TREFOILPADDLE_TMP" >&2
        exit 1
    fi
    # Unpacked aside and renamed: a start that is cut off leaves no half folder
    # under the final name, and of two starts at once one wins whole.
    aside="$(mktemp -d "$base/unpacking.XXXXXX")"
    trap 'rm -rf "$aside"' EXIT
    tail -n +@N_LINES@ "$0" | tar -xzf - -C "$aside"
    mv -T "$aside" "$home" 2>/dev/null || [ -x "$home/trefoilpaddle" ]
    rm -rf "$aside"
    trap - EXIT
fi
exec "$home/trefoilpaddle" "$@"
