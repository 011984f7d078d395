#!/usr/bin/env python3
"""Draws waiting time and kept share through a flood as SVG.

Usage: plot_flood.py BENCH_JSON OUTPUT
"""
import json
import sys

WIDTH, HEIGHT, LEFT, TOP, GAP = 420, 150, 60, 40, 70
COLOURS = {"lycheestep": "#0a6", "first-fit": "#c33",
           "random-of-two": "#c80", "round-robin": "#36c"}


def series(rows):
    """{(user, figure): {policy: [value by second]}}"""
    found = {}
    for row in rows:
        if "/series/" not in row["name"]:
            continue
        user, _, policy, _, figure, second = row["name"].split("/")
        values = found.setdefault((user, figure), {}).setdefault(policy, {})
        values[int(second)] = row["value"]
    return found


def panel(x, y, title, lines):
    """One diagram with a line for each policy."""
    top = max([1.0] + [max(v.values()) for v in lines.values()])
    last = max(max(v) for v in lines.values())
    out = [f'<text x="{x}" y="{y - 8}" font-weight="bold">{title}</text>',
           f'<rect x="{x}" y="{y}" width="{WIDTH}" height="{HEIGHT}" '
           'fill="none" stroke="#999"/>',
           f'<text x="{x - 8}" y="{y + 8}" text-anchor="end">{top:.3g}</text>',
           f'<text x="{x - 8}" y="{y + HEIGHT}" text-anchor="end">0</text>',
           f'<text x="{x + WIDTH}" y="{y + HEIGHT + 14}" '
           f'text-anchor="end">{last} s</text>']
    for policy, values in lines.items():
        points = " ".join(
            f"{x + WIDTH * s / last:.1f},{y + HEIGHT * (1 - v / top):.1f}"
            for s, v in sorted(values.items()))
        out.append(f'<polyline points="{points}" fill="none" '
                   f'stroke="{COLOURS[policy]}" stroke-width="1.5"/>')
    return out


def main():
    """Writes the plot."""
    with open(sys.argv[1], encoding="utf-8") as file:
        found = series(json.load(file))
    users = sorted({user for user, _ in found})
    titles = {"wait-urgent": "longest wait of urgent work, s",
              "kept": "kept share of floors"}
    out = []
    for column, user in enumerate(users):
        for line, (figure, title) in enumerate(titles.items()):
            out += panel(LEFT + column * (WIDTH + GAP),
                         TOP + line * (HEIGHT + GAP),
                         f"{user}: {title}", found[(user, figure)])
    bottom = TOP + 2 * (HEIGHT + GAP)
    for i, (policy, colour) in enumerate(COLOURS.items()):
        out.append(f'<text x="{LEFT + i * 130}" y="{bottom}" '
                   f'fill="{colour}">{policy}</text>')
    width = LEFT + len(users) * (WIDTH + GAP)
    with open(sys.argv[2], "w", encoding="utf-8") as file:
        file.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
                   f'height="{bottom + 20}" font-family="sans-serif" '
                   'font-size="12">\n' + "\n".join(out) + "\n</svg>\n")


if __name__ == "__main__":
    main()
