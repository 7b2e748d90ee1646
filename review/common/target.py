"""A stand-in target: an HTTP/1.1 server beside one sidecar, with heartbeats, as the users' pages describe it."""

import http.client
import json
import socket
import threading
import time


class Target:
    """One process of a target: one incarnation, from start() until crash()."""

    def __init__(self, record, mesh, sidecar, service, instance, slots=6, work_s=0.02):
        self.record = record
        self.mesh = mesh
        self.sidecar = sidecar
        self.service = service
        self.instance = instance
        self.slots = slots
        self.work_s = work_s
        # How long the answer 421 takes; a target is slow for some seconds after its start.
        self.mismatch_delay_s = 0.0
        # The first heartbeat comes so long after the target listens.
        self.first_beat_s = 0.0
        self.ran = []
        self.turned_away = 0
        self.acknowledged_beats = 0
        self._sequence = 0
        self._alive = False
        self._listener = None
        self._connections = set()
        self._lock = threading.Lock()

    def start(self):
        self._alive = True
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.sidecar.ip, self.mesh.app_port))
        self._listener.listen(128)
        self.record.add("target", f"{self.instance} of {self.service} listens beside {self.sidecar.name}")
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def crash(self):
        """Ends at once: no answer, no heartbeat, no message."""
        self.record.add("target", f"{self.instance} crashes")
        self._alive = False
        with self._lock:
            sockets = [self._listener, *self._connections]
        for item in sockets:
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._listener.close()

    def _accept(self):
        while self._alive:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = connection.makefile("rb")
        try:
            while self._alive:
                request = read_request(reader)
                if request is None:
                    return
                if not self.answer(connection, request):
                    return
        except OSError:
            return
        finally:
            with self._lock:
                self._connections.discard(connection)
            reader.close()
            connection.close()

    def answer(self, connection, request):
        """Returns False if the connection is to be closed."""
        method, path, headers, body = request
        if path == "/health":
            connection.sendall(response(200, {"Instance-Id": self.instance,
                                              "Server-Load": f"0,0,{self.slots}"}, b""))
            return True
        identity = headers.get("request-id", "")
        expected = headers.get("expect-instance", self.instance)
        if expected != self.instance:
            time.sleep(self.mismatch_delay_s)
            if not self._alive:
                return False
            self.turned_away += 1
            self.record.add("target", f"{self.instance} turns {identity} away with 421, it expects {expected}")
            connection.sendall(response(421, {"Request-Id": identity, "Instance-Id": self.instance}, b""))
            return True
        return self.run(connection, method, path, identity, body)

    def run(self, connection, method, path, identity, body):
        with self._lock:
            self.ran.append(identity)
        self.record.add("target", f"{self.instance} runs {identity} {method} {path}")
        time.sleep(self.work_s)
        if not self._alive:
            return False
        connection.sendall(response(200, {"Request-Id": identity, "Server-Seal": f"seal.{identity}"},
                                    f"{self.instance} {identity}".encode()))
        return True

    def _beat(self):
        time.sleep(self.first_beat_s)
        while self._alive:
            self._sequence += 1
            status = send_beat(self.mesh, self.sidecar, self.beat_body(self._sequence), self.instance)
            if status is not None and status // 100 == 2:
                self.acknowledged_beats += 1
            if self._alive:
                self.record.add("heartbeat", f"{self.instance} ready, sequence {self._sequence} -> {status}")
            time.sleep(1.5)

    def sequence(self):
        """The sequence of the newest heartbeat that was sent."""
        return self._sequence

    def beat_body(self, sequence):
        return json.dumps({
            "address": f"{self.sidecar.ip}:{self.mesh.app_port}",
            "info": {"service": self.service, "version": "v1", "zone": self.sidecar.zone,
                     "slots": self.slots},
            "status": {"state": "ready", "sequence": sequence, "cold_remaining_s": 0},
        })


def send_beat(mesh, sidecar, body, instance):
    connection = http.client.HTTPConnection(sidecar.ip, mesh.control_port, timeout=1.0)
    try:
        connection.request("POST", f"/-/Instances.Heartbeat/{instance}", body=body,
                           headers={"Content-Type": "application/json"})
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def read_request(reader):
    line = reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = reader.readline()
        if line in (b"\r\n", b""):
            break
        name, value = line.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", "0")))
    return method, path, headers, body


REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable", 500: "Internal Server Error"}


def response(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
