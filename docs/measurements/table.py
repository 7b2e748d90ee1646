#!/usr/bin/env python3
"""Prints the tables of docs/CAPACITY.md from the reports of cometstand-scale.

Usage: table.py REPORT.json ...   (one per size; slopes are least squares over the sizes)
"""
import json
import sys


def phase(report, name):
    return next(p for p in report["phases"] if p["phase"] == name)


def slope(points):
    """Returns (slope, intercept) of the least squares line through (x, y) points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return 0.0, mean_y
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return gradient, mean_y - gradient * mean_x


def row(report):
    idle, changes = phase(report, "idle"), phase(report, "changes")
    relays = idle["roles"]["relay"]["processes"]
    hollow = report["proxies"] - report.get("real_proxies", 0)
    busy = {
        role: changes["roles"][role]["cpu_seconds"] - idle["roles"][role]["cores"] * changes["seconds"]
        for role in ("store", "relay", "hollow")
    }
    views = changes["hollow"]["views_in_force"]
    join = phase(report, "join")
    return {
        "proxies": report["proxies"],
        "objects a view": report["view_objects_a_proxy"],
        "known in force p50 ms": report["convergence"]["known_in_force_on_last_proxy_ms"]["p50"],
        "known in force max ms": report["convergence"]["known_in_force_on_last_proxy_ms"]["max"],
        "change to all p50 ms": report["convergence_by_fan_out"][-1]["applied_ms"]["p50"],
        "join s": report["join_seconds"],
        "herd back s": report["herd_restart"].get("seconds", 0),
        "idle bytes/s to a proxy": idle["bytes_a_second_to_a_proxy"],
        "idle relay core-us/s a proxy": idle["roles"]["relay"]["cores"] / report["proxies"] * 1e6,
        "idle proxy core-us/s": idle["roles"]["hollow"]["cores"] / hollow * 1e6,
        "join bytes a proxy": join["hollow"]["bytes_received"] / hollow,
        "relay ms a view sent": busy["relay"] / views * 1e3,
        "proxy ms a view": busy["hollow"] / views * 1e3,
        "file bytes a view": changes["hollow"]["file_bytes"] / views,
        "store ms a change a replica": busy["store"] / report["changes"] / report["stores"] * 1e3,
        "store writes a change a replica": changes["roles"]["store"]["write_calls"]
        / report["changes"]
        / report["stores"],
        "store MB largest": idle["roles"]["store"]["largest_resident_bytes"] / 1e6,
        "relay MB mean": idle["roles"]["relay"]["resident_bytes"] / relays / 1e6,
        "relay MB largest": idle["roles"]["relay"]["largest_resident_bytes"] / 1e6,
        "hollow KB a proxy": idle["roles"]["hollow"]["resident_bytes"] / hollow / 1e3,
        "reader bytes a change": changes.get("bytes_to_a_reader_of_the_store", 0) / report["changes"],
        "claims/s": report.get("claims", {}).get("granted_a_second", 0),
    }


def main(paths):
    rows = [row(json.load(open(path))) for path in paths]
    print("| figure |" + "".join(f" {r['proxies']:,} |" for r in rows) + " slope a proxy |")
    print("|---|" + "---|" * (len(rows) + 1))
    for name in rows[0]:
        if name == "proxies":
            continue
        gradient, _ = slope([(r["proxies"], r[name]) for r in rows])
        print(f"| {name} |" + "".join(f" {r[name]:,.3g} |" for r in rows) + f" {gradient:.2g} |")


main(sys.argv[1:])
