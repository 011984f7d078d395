#!/usr/bin/env python3
"""Checks that the pages name what the sources hold.

Usage: run.py SOURCE_ROOT

docs/OPERATORS.md has to name every key of the settings and of the catalogue
and every metric, docs/API.md every error, and every page that a page links to
has to exist.
"""
import json
import pathlib
import re
import sys


def schema_keys(node):
    for key, value in node.get("properties", {}).items():
        yield key
        yield from schema_keys(value)
    for value in node.get("definitions", {}).values():
        yield from schema_keys(value)


def source_matches(root, pattern):
    for path in sorted((root / "src").rglob("*.cpp")):
        if not path.name.endswith("_test.cpp"):
            yield from re.findall(pattern, path.read_text(encoding="utf-8"))


def main():
    root = pathlib.Path(sys.argv[1])
    operators = (root / "docs/OPERATORS.md").read_text(encoding="utf-8")
    api = (root / "docs/API.md").read_text(encoding="utf-8")
    problems = []
    for name in ("catalogue", "settings"):
        path = root / "docs/schema" / (name + ".schema.json")
        schema = json.loads(path.read_text(encoding="utf-8"))
        for key in sorted(set(schema_keys(schema))):
            if not re.search(r"[`.]" + key + r"[`.\[]", operators):
                problems.append("docs/OPERATORS.md lacks the key " + key)
    metrics = source_matches(root, r'"(lycheestep_[a-z_]+(?:total|seconds'
                                   r'|bytes|callers|batch|depth))"')
    for metric in sorted(set(metrics)):
        if "`" + metric + "`" not in operators:
            problems.append("docs/OPERATORS.md lacks the metric " + metric)
    errors = (root / "src/liblycheestep/scheduler_error.cpp").read_text(
        encoding="utf-8")
    for error in re.findall(r'SchedulerError::k\w+:\s+return "([a-z_]+)";',
                            errors):
        if "`" + error + "`" not in api:
            problems.append("docs/API.md lacks the error " + error)
    for page in sorted([*root.glob("*.md"), *root.glob("docs/*.md")]):
        for link in re.findall(r"\b(?:docs/)?[A-Z]+\.md\b",
                               page.read_text(encoding="utf-8")):
            if not (root / link).exists():
                problems.append("%s names %s, which does not exist"
                                % (page.relative_to(root), link))
    print("\n".join(problems))
    sys.exit(1 if problems else 0)


main()
