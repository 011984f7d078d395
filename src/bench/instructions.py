#!/usr/bin/env python3
"""Counts instructions of the hot paths under callgrind.

Usage: instructions.py COST_PROBE BENCH_JSON

Runs cost_probe with two counts of each hot path; the difference is what the
path itself costs. Adds its rows to BENCH_JSON and prints them.
"""
import json
import re
import subprocess
import sys

# 5,000 placements a second on one core of 3e9 instructions a second.
MOST_PER_PLACEMENT = 600_000
MOST_SLOPE = 2.0
FEW, MANY = 20, 520

CASES = [
    ("place", [50, 300, 1200], "targets"),
    ("start", [100, 10_000, 100_000], "waiting"),
    ("cancel", [10_000, 100_000], "waiting"),
]


def collected(probe, path, size, count):
    """Instructions that cost_probe executed."""
    run = subprocess.run(
        ["valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null",
         probe, path, str(size), str(count)],
        check=True, capture_output=True, text=True)
    return int(re.search(r"Collected : (\d+)", run.stderr).group(1))


def row(name, unit, value, most=None):
    """A row of the bench; most is its target, if it has one."""
    return {"name": name, "unit": unit, "value": value,
            "target": None if most is None else f"<= {most}",
            "holds": None if most is None else value <= most}


def measure(probe):
    """The rows of all hot paths."""
    rows = []
    for path, sizes, unit in CASES:
        costs = []
        for size in sizes:
            cost = (collected(probe, path, size, MANY)
                    - collected(probe, path, size, FEW)) / (MANY - FEW)
            costs.append(cost)
            rows.append(row(f"instructions/{path}/{unit}-{size}",
                            "instructions", cost, MOST_PER_PLACEMENT))
        rows.append(row(f"instructions/{path}/{sizes[-1]}-to-{sizes[0]}",
                        "ratio", costs[-1] / costs[0], MOST_SLOPE))
    return rows


def main():
    """Adds the rows to the file and prints them."""
    probe, path = sys.argv[1:]
    with open(path, encoding="utf-8") as file:
        rows = json.load(file)
    rows = [r for r in rows if not r["name"].startswith("instructions/")]
    added = measure(probe)
    for r in added:
        holds = {True: "holds", False: "RED", None: ""}[r["holds"]]
        print(f"{r['name']:<62}{r['value']:<11.4g}{r['unit']:<14}"
              f"{r['target'] or '':<10}{holds}")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(rows + added, file, indent=1)
        file.write("\n")


if __name__ == "__main__":
    main()
