#!/usr/bin/env python3
"""Writes days in which stores are emptied beside or before losses: store_days.py SITE.toml OUT_DIR --seed N --days M.

A day begins with a store that is to be emptied; then others are replaced (as planned or not), killed, frozen, wiped, cut off or told to end,
and workers crash under bursts of batch jobs. Doses are at most those of the site's own list of troubles. Half of the days end with a lost
disk, most others with a loss of all power. Play one with `fleetbench run SITE DAY`.
"""
import argparse
import pathlib
import random
import tomllib

SLOT_S = 7.0


def entry_text(entry):
    def value(field):
        return f'"{field}"' if isinstance(field, str) else f"{field}"

    fields = ", ".join(f"{name} = {value(field)}" for name, field in entry.items())
    return "{ " + fields + " }"


class Drawer:
    def __init__(self, site, seed):
        self.random = random.Random(seed)
        self.site = site
        self.batch_class = next(c["name"] for c in site["classes"] if c.get("kind") == "batch")
        self.service = next(t["service"] for t in site["troubles"] if t["kind"] == "srv_crash")
        self.retire_s = min(t["for_s"] for t in site["troubles"] if t["kind"] == "retire")

    def retire(self, at, how=""):
        return {"at": round(at, 2), "kind": "retire", "for_s": self.retire_s, "how": how}

    def store_loss(self, at):
        """A loss of a store, and whether it is planned work."""
        at = round(at, 2)
        drawn = self.random.choice(["replace", "planned", "planned", "kill", "freeze", "wipe", "kill_ack", "cut", "term"])
        if drawn == "replace":
            return False, {"at": at, "kind": "replace_core", "on": "store", "x": round(self.random.uniform(0.5, 2.0), 2), "how": ""}
        if drawn == "planned":
            how = self.random.choice(["planned", "planned oldest"])
            return True, {"at": at, "kind": "replace_core", "on": "store", "x": round(self.random.uniform(0.5, 2.0), 2), "how": how}
        if drawn == "kill":
            return False, {"at": at, "kind": "node_kill", "on": "store", "count": 1, "for_s": round(self.random.uniform(0.4, 2.8), 2), "how": self.random.choice(["", "power"])}
        if drawn == "freeze":
            return False, {"at": at, "kind": "node_freeze", "on": "store", "count": 1, "for_s": round(self.random.uniform(0.5, 3.2), 2)}
        if drawn == "wipe":
            return False, {"at": at, "kind": "after_ack_wipe", "on": "store", "count": 1, "for_s": round(self.random.uniform(0.8, 2.0), 2), "how": self.random.choice(["", "oldest"])}
        if drawn == "kill_ack":
            return False, {"at": at, "kind": "after_ack_kill", "on": "store", "count": 1, "for_s": round(self.random.uniform(0.8, 2.2), 2), "how": self.random.choice(["", "kill", "taken"])}
        if drawn == "cut":
            return False, {"at": at, "kind": "core_cut", "on": "store", "count": 1, "for_s": round(self.random.uniform(1.0, 4.5), 2), "how": "reset"}
        return True, {"at": at, "kind": "roll_term", "on": "store", "share": 1.0, "x": 1.0, "gap_s": 1.3}

    def crash_under_burst(self, at):
        return [
            {"at": round(at - 2.0, 2), "kind": "burst", "class": self.batch_class, "x": 5.0, "for_s": 2.5},
            {"at": round(at, 2), "kind": "srv_crash", "service": self.service, "share": 0.15, "for_s": 2.0, "how": self.random.choice(["", "dark"])},
        ]

    def day(self, name):
        plan, faults = [], []
        length = self.random.choice([45.0, 60.0, 75.0])
        retire_at = self.random.choice([2.0, 2.0, 16.0])
        plan.append(self.retire(retire_at, self.random.choice(["", "", "wipe"])))
        if self.random.random() < 0.5:
            # Beside the order: a store dies just before it or after it.
            faults.append({"at": round(retire_at + self.random.uniform(-0.3, 0.5), 2), "kind": "replace_core", "on": "store", "x": 1.0, "how": ""})
        at = 14.0
        while at < length - 12.0:
            is_planned, entry = self.store_loss(at + self.random.uniform(-0.5, 0.5))
            (plan if is_planned else faults).append(entry)
            if self.random.random() < 0.5:
                faults.extend(self.crash_under_burst(at + self.random.uniform(-0.3, 0.3)))
            if self.random.random() < 0.15:
                plan.append({"at": round(at + 3.0, 2), "kind": "add_nodes", "on": "store", "count": 1})
            at += self.random.choice([SLOT_S, SLOT_S, 1.5 * SLOT_S])
        lines = [f'name = "{name}"', f"length_s = {length:g}"]
        lines.append("plan = [\n" + "".join(f"  {entry_text(e)},\n" for e in sorted(plan, key=lambda e: e["at"])) + "]")
        lines.append("faults = [\n" + "".join(f"  {entry_text(e)},\n" for e in sorted(faults, key=lambda e: e["at"])) + "]")
        down = round(self.random.uniform(0.8, 1.1), 2)
        closing = self.random.choice([("wipe_after_ack", "all oldest"), ("wipe_after_ack", "all"), ("wipe_after_ack", "all oldest"), ("power_off_all", "all"), ("kill_all", None), None])
        if closing:
            how = f', how = "{closing[1]}"' if closing[1] else ""
            lines.append(f'closing = {{ kind = "{closing[0]}", down_s = {down}{how} }}')
        return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--days", type=int, default=10)
    options = parser.parse_args()
    site = tomllib.loads(options.site.read_text())
    options.out.mkdir(parents=True, exist_ok=True)
    for number in range(options.seed, options.seed + options.days):
        name = f"stores-{number}"
        (options.out / f"{name}.toml").write_text(Drawer(site, number).day(name))


if __name__ == "__main__":
    main()
