#!/usr/bin/env python3
"""Tells from the kept logs of days of the profile vacant-lead how long after
the store's return the lead was taken and loaded, the last stop arrived at its
target, and the last run was gone.

Usage: gap_times.py FOLDER... where FOLDER is that of days.py --logs, with what
days.py printed as play.out in it.
"""
import glob
import os
import re
import sys

AFTER_S = 8.5
AT = re.compile(r"store back at (\d+):(\d+):([\d.]+) after ([a-z ]+) for")
GONE = re.compile(r"gap: (\d+) cancelled.*oldest ([\d.]+) s, stop asked "
                  r"(\S+).*?, gone (\S+).*?; (\d+) cancelled since, asked "
                  r"(\S+).*?, gone (\S+)")
LINE = re.compile(r"(\d+):(\d+):([\d.]+) .*event=(\S+)")
EVENTS = ("leading", "leader-loaded")
AWAY = ("down", "busy", "lost", "reset")  # nothing passes


def seconds(found):
    hours, minutes, rest = found.groups()[:3]
    return int(hours) * 3600 + int(minutes) * 60 + float(rest)


def events(folder):
    """[(when, event)] of all hosts."""
    found = []
    for path in glob.glob(os.path.join(folder, "*.log")):
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                match = LINE.match(line)
                if match and match.group(4) in EVENTS:
                    found.append((seconds(match), match.group(4)))
    return sorted(found)


def gaps(folder):
    """{name: seconds} of each gap."""
    with open(os.path.join(folder, "play.out"), encoding="utf-8") as file:
        lines = file.readlines()
    log, rows, back = events(folder), [], None
    for line in lines:
        if match := AT.search(line):
            back, kind = seconds(match), match.group(4)
        elif (match := GONE.search(line)) and back is not None:
            after = [(when - back, event) for when, event in log
                     if 0 <= when - back < AFTER_S]
            row = {"kind": kind, "runs": int(match.group(1))}
            leading = [when for when, event in after if event == "leading"]
            loaded = [when for when, event in after
                      if event == "leader-loaded"]
            if leading:
                row["lead taken"] = leading[-1]
                row["changes of lead"] = len(leading)
            if loaded:
                row["loaded"] = loaded[-1]
            for name, place in (("stop reached the target", 3),
                                ("last run gone", 4),
                                ("cancelled since: stop reached", 6),
                                ("cancelled since: gone", 7)):
                if match.group(place) != "-":
                    row[name] = float(match.group(place))
            rows.append(row)
            back = None
    return rows


def tell(title, rows):
    print("%s: %d gaps, %d runs of cancelled jobs at work at the return" % (
        title, len(rows), sum(row["runs"] for row in rows)))
    for name in ("lead taken", "changes of lead", "loaded",
                 "stop reached the target",
                 "last run gone", "cancelled since: stop reached",
                 "cancelled since: gone"):
        values = sorted(row[name] for row in rows if name in row)
        if values:
            print("  %-30s n %3d  least %.2f  median %.2f  tenth %.2f  most "
                  "%.2f" % (name, len(values), values[0],
                            values[len(values) // 2],
                            values[int(len(values) * 0.9)], values[-1]))


def main():
    rows = [row for folder in sys.argv[1:] for row in gaps(folder)]
    tell("all", rows)
    tell("nothing passed", [row for row in rows if row["kind"] in AWAY])
    tell("answers lost, late or slow",
         [row for row in rows if row["kind"] not in AWAY])


main()
