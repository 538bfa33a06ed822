"""Tests that the project declares every library it imports."""

import ast
import importlib.metadata
import pathlib
import re
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[3]
OWN_PACKAGES = ("waxwinglift", "waxwinglift_bench", "waxwinglift_standin")


def normalize_name(name):
    return re.sub(r"[-_.]+", "-", name).lower()


def declared_names(*extras):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    requirements = list(project["dependencies"])
    for extra in extras:
        requirements += project["optional-dependencies"][extra]
    return {
        normalize_name(re.match(r"[\w.-]+", requirement).group())
        for requirement in requirements
    }


def imported_modules(paths):
    for path in paths:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom) and node.level == 0:
                names = [node.module]
            else:
                continue
            yield from (name.partition(".")[0] for name in names)


def source_files(package, with_tests):
    return [
        path
        for path in (ROOT / package).rglob("*.py")
        if with_tests or "tests" not in path.parts
    ]


# An undeclared library may be installed only because another package needs it;
# this made CI fail on a fresh machine.
@pytest.mark.parametrize(
    ("package", "with_tests", "extras"),
    [
        pytest.param("waxwinglift", False, (), id="product"),
        pytest.param("waxwinglift", True, ("dev",), id="product tests"),
        pytest.param("waxwinglift_standin", True, ("dev",), id="stand-in"),
        pytest.param("waxwinglift_bench", True, ("dev",), id="bench"),
    ],
)
def test_imported_libraries_are_declared(package, with_tests, extras):
    declared = declared_names(*extras)
    distributions = importlib.metadata.packages_distributions()
    modules = set(imported_modules(source_files(package, with_tests)))
    undeclared = {
        module
        for module in modules - sys.stdlib_module_names - set(OWN_PACKAGES)
        if declared.isdisjoint(
            normalize_name(name) for name in distributions.get(module, ())
        )
    }
    assert undeclared == set()
