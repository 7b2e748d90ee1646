"""A stand-in target, as PROTOCOL.md describes targets."""
import asyncio
import json
import secrets

from client import exchange


class Target:
    def __init__(self, fleet, machine, slots=6, queue=24, work_s=0.05):
        self.fleet = fleet
        self.machine = machine
        self.service = machine.service
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.id = "i-" + secrets.token_hex(4)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.runs = []  # (time, Request-Id, method, path, bytes of the body)
        self.connections = set()
        self.server = None
        self.beats = None
        self.acknowledged = {}
        self._slots = asyncio.Semaphore(slots)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.machine.ip, self.fleet.ports["app"],
                                                 limit=1 << 20)
        self.beats = asyncio.ensure_future(self._beat())
        self.fleet.record(f"target {self.id} of {self.service} starts on {self.machine.name}")

    def crash(self):
        """Sends nothing more; its connections end."""
        self.fleet.record(f"target {self.id} crashes")
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    # -- what it says of itself

    def _body(self):
        return json.dumps({
            "address": f"{self.machine.ip}:{self.fleet.ports['app']}",
            "info": {"service": self.service, "version": "v1", "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "cold_remaining_s": 0},
        }).encode()

    async def beat_once(self):
        self.sequence += 1
        answer = await exchange(self.machine.ip, self.fleet.ports["control"], "POST",
                                f"/-/Instances.Heartbeat/{self.id}", {"Content-Type": "application/json"},
                                self._body(), 1.0)
        is_acknowledged = answer is not None and 200 <= answer.status < 300
        if is_acknowledged:
            self.acknowledged.setdefault(self.state, self.fleet.record.now())
        return is_acknowledged

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(1.3)

    # -- what it serves

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await self._read_body(reader, headers)
        if path == "/health" and "request-id" not in headers:
            ready = self.state == "ready"
            self._write(writer, 200 if ready else 503, {"Instance-Id": self.id}, b"")
            return True
        request = headers.get("request-id", "")
        if request == "":
            self._write(writer, 400, {"Not-Executed": "1"}, b"")
            return True
        if headers.get("expect-instance", self.id) != self.id:
            self._write(writer, 421, {"Request-Id": request, "Not-Executed": "1"}, b"")
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self._write(writer, 503, {"Request-Id": request, "Not-Executed": "1"}, b"")
            return True
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            self.runs.append((self.fleet.record.now(), request, method, path, len(body)))
            self.fleet.record(f"target {self.id} runs {request} {method} {path}, {len(body)} bytes")
            try:
                await self.run(writer, request, method, path, headers, body)
            finally:
                self.running -= 1
        return True

    async def run(self, writer, request, method, path, headers, body):
        await asyncio.sleep(self.work_s)
        text = f"{request} at {self.id}".encode()
        self._write(writer, 200, {"Request-Id": request, "Server-Seal": f"s.{self.id}.{request}"}, text)
        await writer.drain()

    def _write(self, writer, status, headers, body):
        load = f"{self.running},{self.waiting},{self.slots}"
        fields = {**headers, "Server-Load": load, "Content-Length": str(len(body))}
        text = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(text.encode("latin-1") + b"\r\n" + body)

    async def _read_body(self, reader, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    return body
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        return await reader.readexactly(int(headers.get("content-length", "0")))
