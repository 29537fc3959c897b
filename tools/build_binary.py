"""Build ``dist/trefoilpaddle``, one file that runs as one process.

A folder build of PyInstaller is appended to a shell header. The header unpacks it
once per version and user into memory-backed temporary space, then executes the
program in its own process, which keeps the process id and starts no other process.
docs/design/binary.md compares the alternatives.
"""

import gzip
import hashlib
import io
import shutil
import tarfile
from pathlib import Path
from typing import Final

import PyInstaller.__main__

ROOT: Final = Path(__file__).resolve().parent.parent
BUILD: Final = ROOT / "build" / "binary"
OUT: Final = ROOT / "dist" / "trefoilpaddle"
HEADER: Final = ROOT / "tools" / "binary_header.sh"

# Measurement tools and their libraries run from a checkout, not on hosts.
EXCLUDED: Final = (
    "hdrh",
    "hypothesis",
    "matplotlib",
    "mypy",
    "numpy",
    "PIL",
    "pytest",
    "setuptools",
    "tkinter",
    "trefoilpaddle.replay",
    "trefoilpaddle.standins",
)
# Thrift's C code imports it by name, which PyInstaller does not detect. Without it
# each frame with a nested struct is rejected as malformed.
HIDDEN: Final = ("thrift.protocol.TBase",)
GZIP_LEVEL: Final = 6


def build_folder() -> Path:
    """Build and return the folder with the program and its dependencies."""
    options = ["--onedir", "--noconfirm", "--name", "trefoilpaddle"]
    options += ["--distpath", str(BUILD / "dist"), "--workpath", str(BUILD / "work")]
    options += ["--specpath", str(BUILD), "--paths", str(ROOT / "src")]
    options += ["--log-level", "ERROR", "--strip"]
    for module in HIDDEN:
        options += ["--hidden-import", module]
    for module in EXCLUDED:
        options += ["--exclude-module", module]
    entry = ROOT / "src" / "trefoilpaddle" / "__main__.py"
    PyInstaller.__main__.run([*options, str(entry)])
    return BUILD / "dist" / "trefoilpaddle"


def pack(folder: Path) -> bytes:
    """Return the folder as a reproducible compressed archive."""
    uncompressed = io.BytesIO()
    with tarfile.open(fileobj=uncompressed, mode="w") as archive:
        for path in sorted(folder.rglob("*")):
            archive.add(
                path,
                path.relative_to(folder),
                recursive=False,
                filter=_without_metadata,
            )
    return gzip.compress(uncompressed.getvalue(), GZIP_LEVEL, mtime=0)


def _without_metadata(entry: tarfile.TarInfo) -> tarfile.TarInfo:
    entry.mtime = 0
    entry.uid = entry.gid = 0
    entry.uname = entry.gname = ""
    return entry


def main() -> None:
    shutil.rmtree(BUILD, ignore_errors=True)
    payload = pack(build_folder())
    digest = hashlib.sha256(payload).hexdigest()[:16]
    header = HEADER.read_text().replace("@DIGEST@", digest)
    header = header.replace("@N_LINES@", str(header.count("\n") + 1))
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_bytes(header.encode() + payload)
    OUT.chmod(0o755)
    print(f"{OUT.relative_to(ROOT)}: {OUT.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
