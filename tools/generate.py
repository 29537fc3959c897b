"""Generate the thrift code in ``protocol/gen`` and its typed stubs from ``idl``.

Requires the thrift compiler. The result is committed, so a build does not need this
script.
"""

import importlib
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from thrift.Thrift import TType

ROOT = Path(__file__).resolve().parent.parent
GEN = ROOT / "src" / "trefoilpaddle" / "protocol" / "gen"
SCALARS = {
    TType.BOOL: "bool",
    TType.DOUBLE: "float",
    TType.I32: "int",
    TType.I64: "int",
}


def generate(area: str) -> None:
    with tempfile.TemporaryDirectory() as scratch:
        idl = ROOT / "idl" / f"{area}.thrift"
        command = ["thrift", "--gen", "py:slots", "-o", scratch, str(idl)]
        subprocess.run(command, check=True)
        generated = Path(scratch, "gen-py", "trefoilpaddle", "protocol", "gen", area)
        target = GEN / area
        target.mkdir(parents=True, exist_ok=True)
        shutil.copy(generated / "ttypes.py", target / "ttypes.py")
        (target / "__init__.py").write_text("")


def type_name(ttype: int, args: Any) -> str:
    match ttype:
        case TType.STRING:
            return "bytes" if args == "BINARY" else "str"
        case TType.STRUCT:
            return f"{args[0].__name__} | None"
        case TType.LIST:
            item = type_name(args[0], args[1])
            return f"list[{item.removesuffix(' | None')}]"
        case _:
            return SCALARS[ttype]


def field_type(spec: Any) -> str:
    """Return the type of a field; one without a default may be None."""
    annotation = type_name(spec[1], spec[3])
    is_unset = spec[1] != TType.STRUCT and spec[4] is None
    return f"{annotation} | None" if is_unset else annotation


def stub(area: str) -> str:
    module = importlib.import_module(f"trefoilpaddle.protocol.gen.{area}.ttypes")
    lines: list[str] = []
    classes: dict[str, Any] = {
        name: value
        for name, value in vars(module).items()
        if isinstance(value, type) and value.__module__ == module.__name__
    }
    for name, cls in classes.items():
        lines.append(f"class {name}:")
        if hasattr(cls, "_VALUES_TO_NAMES"):
            lines += [f"    {member}: int" for member in cls._NAMES_TO_VALUES]
            lines.append("    _VALUES_TO_NAMES: dict[int, str]")
            lines.append("    _NAMES_TO_VALUES: dict[str, int]")
            continue
        fields = [spec for spec in cls.thrift_spec if spec]
        typed = [(spec[2], field_type(spec)) for spec in fields]
        lines += [f"    {field}: {annotation}" for field, annotation in typed]
        arguments = ", ".join(
            f"{field}: {annotation} = ..." for field, annotation in typed
        )
        star = "*, " if arguments else ""
        lines.append(f"    def __init__(self, {star}{arguments}) -> None: ...")
    return "\n".join(lines) + "\n"


def main() -> None:
    areas = sys.argv[1:] or sorted(path.stem for path in (ROOT / "idl").iterdir())
    GEN.mkdir(parents=True, exist_ok=True)
    (GEN / "__init__.py").write_text("")
    for area in areas:
        generate(area)
    sys.path.insert(0, str(ROOT / "src"))
    for area in areas:
        (GEN / area / "ttypes.pyi").write_text(stub(area))


if __name__ == "__main__":
    main()
