"""A core machine is replaced as planned; soon after, another one loses its disk right after an acknowledgement."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from mesh import CannotRun, ask, configuration_text, run_case  # noqa: E402

# From the end of the replaced machine's process to the change after which the disk is lost.
PAUSE_AFTER_REPLACEMENT_S = 1.5
DOWN_S = 1.0


def put(mesh, number, patience_s=30):
    routes = {"cue": ("desk.example", f"/cue{number}/", "safe", "desk")}
    base = f"r{number - 1}" if number > 1 else "0"
    return mesh.put(base, f"r{number}", configuration_text(f"r{number}", routes, ["desk"]), patience_s)


def leader_of(mesh, stores):
    """The only store that answers a read itself; the others name it."""
    for store in stores:
        status, _, _ = ask(store.ip, mesh.control_port, "GET", "/-/Config.Get", {}, "")
        if status == 200:
            return store
    raise CannotRun("no store leads")


def play(record, mesh, trouble):
    everything = mesh.stores
    successor = everything[4]
    # The operator's list.
    mesh.stores = everything[:4]
    for store in mesh.stores:
        mesh.start(store, bootstrap=True)
    if put(mesh, 1) != 200 or put(mesh, 2) != 200:
        raise CannotRun("the first configurations are not taken")
    time.sleep(mesh.bounds["contact_s"])

    # The planned replacement: the new machine first, then SIGTERM to the old one, which leads.
    mesh.start(successor, bootstrap=False)
    mesh.stores = list(everything)
    time.sleep(mesh.bounds["catch_up_s"] + 1.0)
    record.add("check", f"{successor.name} has run for longer than catch_up_s")
    if trouble:
        leaving = leader_of(mesh, mesh.stores)
        mesh.signal(leaving, signal.SIGTERM)
        leaving.process.wait(timeout=mesh.bounds["grace_s"])
        record.add("process", f"{leaving.name} has ended; it is removed")
        mesh.stores.remove(leaving)
    time.sleep(PAUSE_AFTER_REPLACEMENT_S)

    # Right after the next acknowledgement the machine that gave it loses its disk.
    if put(mesh, 3) != 200:
        raise CannotRun("the change after the replacement is not taken")
    if trouble:
        acknowledging = leader_of(mesh, mesh.stores)
        mesh.kill(acknowledging)
        record.add("process", f"{acknowledging.name} has lost its disk")
        time.sleep(DOWN_S)
        mesh.lose_disk(acknowledging)
        mesh.start(acknowledging, bootstrap=False)
    back_at = time.monotonic()
    time.sleep(mesh.bounds["recovery_s"])
    record.add("check", f"recovery_s has passed since the machine is back; {len(mesh.stores)} core machines run")
    version = mesh.read(patience_s=20)
    record.add("check", f"acknowledged: r3; read back until {time.monotonic() - back_at:.1f} s after the machine "
                        f"is back: {version}")
    status = put(mesh, 4, patience_s=10)
    record.add("check", f"a further change on r3 -> {status}")
    return version != "r3"


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, "CONFIG", play, stores=5, sidecars=[]))
