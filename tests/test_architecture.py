"""The layers that docs/architecture.md draws hold for every import, and what the pages name is there."""

import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "rowanshift"
ARCHITECTURE = ROOT / "docs" / "architecture.md"
GLOSSARY = ROOT / "docs" / "glossary.md"
PAGES = (ARCHITECTURE, GLOSSARY, ROOT / "CONTRIBUTING.md", ROOT / "README.md")
NAMED_PLACE = re.compile(r"`((?:rowanshift/)?(?:[a-z_]+/)*[a-z_]+\.py)(?::([A-Za-z_.]+))?`")
EXAMPLES = {"path/module.py"}
EXCEPTION = re.compile(r"^- `([a-z_.]+)` imports `([a-z_.]+)`: (.+)$", re.MULTILINE)
STANDS_ALONE = "controlplane.replication"  # a subpackage with a layer of its own


@dataclass(frozen=True)
class Import:
    """One module of the package imports another; ``at_start`` if that happens as the importing module is loaded."""

    source: str
    target: str
    at_start: bool


def module_name(path: Path) -> str:
    parts = path.relative_to(PACKAGE).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


@cache
def modules() -> dict[str, ast.Module]:
    return {module_name(path): ast.parse(path.read_text()) for path in sorted(PACKAGE.rglob("*.py"))}


def is_type_checking(node: ast.AST) -> bool:
    return isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test)


def import_statements(node: ast.AST, at_start: bool = True) -> Iterator[tuple[ast.stmt, bool]]:
    for child in ast.iter_child_nodes(node):
        if isinstance(child, ast.Import | ast.ImportFrom):
            yield child, at_start
        else:
            is_deferred = isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda)
            yield from import_statements(child, at_start and not is_deferred and not is_type_checking(child))


def targets(statement: ast.stmt) -> list[str]:
    """The package's modules that a statement imports."""
    if isinstance(statement, ast.Import):
        return [alias.name.removeprefix("rowanshift.") for alias in statement.names if "rowanshift." in alias.name]
    assert isinstance(statement, ast.ImportFrom)
    assert not statement.level, "relative imports are not used"
    if statement.module is None or statement.module.split(".")[0] != "rowanshift":
        return []
    base = statement.module.removeprefix("rowanshift").removeprefix(".")
    found = [f"{base}.{alias.name}".removeprefix(".") for alias in statement.names]
    return [name if name in modules() else base for name in found]


@cache
def imports() -> frozenset[Import]:
    return frozenset(
        Import(source, target, at_start)
        for source, tree in modules().items()
        for statement, at_start in import_statements(tree)
        for target in targets(statement)
    )


def package_of(module: str) -> str:
    if module == STANDS_ALONE or module.startswith(f"{STANDS_ALONE}."):
        return STANDS_ALONE
    return module.split(".")[0]


def layers() -> dict[str, int]:
    """The line of each package in the drawing, from 0 at the top."""
    drawing = re.search(r"## Layers\n.*?```\n(.*?)```", ARCHITECTURE.read_text(), re.DOTALL)
    assert drawing is not None
    rows = [line.split("  ")[0].split(" | ") for line in drawing[1].splitlines() if line.strip()]
    return {name.strip(): number for number, row in enumerate(rows) for name in row}


def exceptions() -> dict[tuple[str, str], str]:
    return {(source, target): reason for source, target, reason in EXCEPTION.findall(ARCHITECTURE.read_text())}


def is_downward(found: Import) -> bool:
    source, target = package_of(found.source), package_of(found.target)
    return source == target or not target or layers()[source] < layers()[target]


def test_every_package_has_its_layer() -> None:
    packages = {package_of(name) for name in modules()} - {"", "__main__"}
    assert packages == layers().keys() - {"__main__"}


def test_imports_go_to_lower_layers_alone() -> None:
    upward = {(found.source, found.target) for found in imports() if found.source and not is_downward(found)}
    assert upward == exceptions().keys()


def test_no_modules_import_each_other_in_a_circle() -> None:
    needs: dict[str, set[str]] = defaultdict(set)
    for found in imports():
        if found.source != found.target and found.target:
            needs[found.source].add(found.target)
    done: set[str] = set()
    under_way: list[str] = []

    def visit(module: str) -> None:
        assert module not in under_way, " -> ".join([*under_way[under_way.index(module) :], module])
        if module in done:
            return
        under_way.append(module)
        for target in sorted(needs[module]):
            visit(target)
        done.add(under_way.pop())

    for module in modules():
        visit(module)


def defined_names(tree: ast.Module) -> set[str]:
    """The functions, classes, methods, and assigned names of a module and its classes, by qualified name."""

    def names_in(body: list[ast.stmt], prefix: str) -> Iterator[str]:
        for node in body:
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                yield prefix + node.name
            if isinstance(node, ast.ClassDef):
                yield from names_in(node.body, f"{prefix}{node.name}.")
            targets = node.targets if isinstance(node, ast.Assign) else [getattr(node, "target", None)]
            for target in targets:
                yield from (prefix + name.id for name in ast.walk(target or ast.Pass()) if isinstance(name, ast.Name))

    return {*names_in(tree.body, "")}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_place_that_a_page_names_is_there(page: Path) -> None:
    for path, name in NAMED_PLACE.findall(page.read_text()):
        if path in EXAMPLES:
            continue
        file = ROOT / path if (ROOT / path).exists() else PACKAGE / path
        assert file.exists(), f"{page.name} names {path}"
        if name:
            assert name in defined_names(ast.parse(file.read_text())), f"{page.name} names {path}:{name}"


def test_all_pages_name_files_that_are_there() -> None:
    roots = (
        ROOT,
        PACKAGE,
        PACKAGE / "controlplane",
        PACKAGE / "cacheproxy",
        ROOT / "tests",
        ROOT / "tests" / "controlplane",
    )
    missing = {
        f"{page.name}: {path}"
        for page in (ROOT / "docs").glob("*.md")
        for path in re.findall(r"`((?:[a-z_]+/)+[a-z_]+\.py)", page.read_text())
        if path not in EXAMPLES and not any((root / path).exists() for root in roots)
    }
    assert not missing


def test_the_glossary_is_in_order() -> None:
    terms = re.findall(r"(?m)^\| \*\*([^*]+)\*\* \|", GLOSSARY.read_text())
    assert terms
    assert terms == sorted(terms, key=str.lower)
