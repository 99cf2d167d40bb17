"""Checks that each library imports only the libraries that docs/design.md section 3 allows."""

import ast
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

PRODUCT = {
    "zinnia_model",
    "zinnia_facts",
    "zinnia_platform",
    "zinnia_membership",
    "zinnia_peers",
    "zinnia_backends",
    "zinnia_routing",
    "zinnia_claims",
    "zinnia_releases",
}
ALLOWED = {
    "zinnia_model": set(),
    "zinnia_facts": {"zinnia_model"},
    "zinnia_platform": {"zinnia_model"},
    "zinnia_membership": {"zinnia_model", "zinnia_facts", "zinnia_platform"},
    "zinnia_peers": {"zinnia_model", "zinnia_facts"},
    "zinnia_backends": {"zinnia_model", "zinnia_facts"},
    "zinnia_routing": {"zinnia_model", "zinnia_facts"},
    "zinnia_claims": {"zinnia_model", "zinnia_platform"},
    "zinnia_releases": {"zinnia_model", "zinnia_facts"},
    "zinnia_catalog": set(),
    "zinnia_sending": {"zinnia_catalog"},
    "zinnia_relay": {"zinnia_catalog"},
    "zinnia_delegation": {"zinnia_catalog", "zinnia_sending", "zinnia_relay"},
    "zinnia_entry": {"zinnia_catalog", "zinnia_sending", "zinnia_relay", "zinnia_delegation"},
    "zinnia_adapter": {"zinnia_catalog", "zinnia_sending", "zinnia_entry"},
    "zinnia_standins": {"zinnia_model", "zinnia_platform"},
    "zinniarouterd": PRODUCT,
    "zinnia_tool": {"zinnia_model", "zinnia_releases"},
    "zinnia_measure": PRODUCT
    | {"zinnia_catalog", "zinnia_sending", "zinnia_relay", "zinnia_delegation"}
    | {"zinnia_standins", "zinnia_tool", "zinniarouterd"},
}


def list_imports(path: Path) -> set[str]:
    """Return the top-level names of all modules that a source file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            names.add(node.module.split(".")[0])
    return names


def find_sources(package: str) -> list[Path]:
    """Return the source files of a package of the workspace or of the adapter."""
    found = [*ROOT.glob(f"*/*/src/{package}/**/*.py"), *ROOT.glob(f"platform/{package}/**/*.py")]
    return sorted(found)


def find_violations() -> list[str]:
    """Return one line for each import that the design does not allow."""
    lines = []
    for package, allowed in ALLOWED.items():
        for path in find_sources(package):
            for name in sorted(list_imports(path) & (set(ALLOWED) - allowed - {package})):
                lines.append(f"{path.relative_to(ROOT)}: {package} may not import {name}")
    return lines


def main() -> int:
    """Print the violations; exit 1 if there are any."""
    violations = find_violations()
    for line in violations:
        print(line)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
