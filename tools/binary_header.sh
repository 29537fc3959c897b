#!/bin/sh
# trefoilpaddle in one file: this header, followed by a compressed archive.
# The first start of a version unpacks the archive; later starts only exec.
set -eu
umask 077
space="${TREFOILPADDLE_TMP:-${TMPDIR:-/tmp}}"
base="$space/trefoilpaddle"
# Another user's folder in the shared temporary folder could contain any program,
# so it is not used.
if [ -e "$base" ] && { [ ! -O "$base" ] || [ -h "$base" ]; }; then
    base="$space/trefoilpaddle-$(id -u)"
fi
home="$base/@DIGEST@"
if [ ! -x "$home/trefoilpaddle" ]; then
    mkdir -p "$base"
    if [ ! -O "$base" ] || [ -h "$base" ]; then
        echo "trefoilpaddle: $base belongs to another user; set TREFOILPADDLE_TMP" >&2
        exit 1
    fi
    # Unpack to a temporary folder and rename it: an interrupted start leaves no
    # incomplete folder under the final name, and of two concurrent starts one
    # provides the complete folder.
    unpacked="$(mktemp -d "$base/unpacking.XXXXXX")"
    trap 'rm -rf "$unpacked"' EXIT
    tail -n +@N_LINES@ "$0" | tar -xzf - -C "$unpacked"
    mv -T "$unpacked" "$home" 2>/dev/null || [ -x "$home/trefoilpaddle" ]
    rm -rf "$unpacked"
    trap - EXIT
fi
exec "$home/trefoilpaddle" "$@"
