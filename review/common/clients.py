"""Clients of the sidecars: each attempt has an id of its own, and is sent on a new connection."""

import threading
import time

from mesh import ask


class Load:
    """Sends requests at a steady rate to all sidecars in turn until stop()."""

    def __init__(self, mesh, record, name, route, per_s, deadline_ms=1500, method="GET"):
        self.mesh = mesh
        self.record = record
        self.name = name
        self.route = route
        self.pause_s = 1.0 / per_s
        self.deadline_ms = deadline_ms
        self.method = method
        self.statuses = []
        self.served = 0
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = []
        self._pacer = threading.Thread(target=self._pace, daemon=True)
        self._pacer.start()

    def _pace(self):
        number = 0
        while not self._stopping.wait(self.pause_s):
            number += 1
            thread = threading.Thread(target=self._send, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def _send(self, number):
        sidecar = self.mesh.sidecars[number % len(self.mesh.sidecars)]
        identity = f"{self.name}-{number}"
        host, path = self.route
        headers = {"Host": host, "Request-Id": identity, "Deadline-Ms": str(self.deadline_ms)}
        status, fields, body = ask(sidecar.ip, self.mesh.outbound_port, self.method, path, headers,
                                   identity if self.method == "POST" else "",
                                   timeout_s=self.deadline_ms / 1000 + 0.5)
        is_served = status == 200 and fields.get("Server-Seal") == f"seal.{identity}"
        with self._lock:
            self.statuses.append(status)
            self.served += is_served
        self.record.add("client", f"{identity} at {sidecar.name} -> {status}"
                                  f"{' served' if is_served else ''}")

    def stop(self):
        """Returns how many were sent and how many of them were served."""
        self._stopping.set()
        self._pacer.join()
        for thread in self._threads:
            thread.join()
        return len(self.statuses), self.served


def run_for(mesh, record, name, route, per_s, seconds, **options):
    load = Load(mesh, record, name, route, per_s, **options)
    time.sleep(seconds)
    return load.stop()
