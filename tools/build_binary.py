"""Build ``dist/trefoilpaddle``, one file that runs as one process.

A folder build of PyInstaller is packed behind a shell header. The header
unpacks it once per version and user into memory-backed temporary space, then
replaces itself by the program, so the process id stays and nothing else runs.
docs/design/binary.md tells which other ways were weighed.
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

# Measuring tools and their libraries run from a checkout, not on hosts.
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
# Imported by name from thrift's C code, where PyInstaller does not see it;
# without it every frame that holds a nested struct is refused as garbled.
HIDDEN: Final = ("thrift.protocol.TBase",)
GZIP_LEVEL: Final = 6


def build_folder() -> Path:
    """Return the folder with the program and all that it loads."""
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


def packed(folder: Path) -> bytes:
    """Return the folder as a compressed archive, the same for the same files."""
    plain = io.BytesIO()
    with tarfile.open(fileobj=plain, mode="w") as archive:
        for path in sorted(folder.rglob("*")):
            archive.add(path, path.relative_to(folder), recursive=False, filter=_bare)
    return gzip.compress(plain.getvalue(), GZIP_LEVEL, mtime=0)


def _bare(entry: tarfile.TarInfo) -> tarfile.TarInfo:
    entry.mtime = 0
    entry.uid = entry.gid = 0
    entry.uname = entry.gname = ""
    return entry


def main() -> None:
    shutil.rmtree(BUILD, ignore_errors=True)
    payload = packed(build_folder())
    digest = hashlib.sha256(payload).hexdigest()[:16]
    header = HEADER.read_text().replace("@DIGEST@", digest)
    header = header.replace("@N_LINES@", str(header.count("\n") + 1))
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_bytes(header.encode() + payload)
    OUT.chmod(0o755)
    print(f"{OUT.relative_to(ROOT)}: {OUT.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
