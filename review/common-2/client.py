"""A client of the nodes, by HTTP/1.1 over TCP."""
import asyncio


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole


async def read_answer(reader, method="GET"):
    """Returns an Answer, or None if the connection ended before the header was whole."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if method == "HEAD" or status in (204, 304):
            pass
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


async def exchange(ip, port, method, path, headers, body=b"", limit=5.0, step=1 << 18):
    """One request on a connection of its own. Returns an Answer, or None."""
    async def whole():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            text = f"{method} {path} HTTP/1.1\r\n"
            fields = {"Host": ip, **headers}
            if body or method in ("POST", "PUT"):
                fields["Content-Length"] = str(len(body))
            text += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
            writer.write(text.encode("latin-1"))

            async def send():
                try:
                    for begin in range(0, len(body), step):
                        writer.write(body[begin:begin + step])
                        await writer.drain()
                except ConnectionError:
                    pass

            sending = asyncio.ensure_future(send())
            try:
                return await read_answer(reader, method)
            finally:
                sending.cancel()
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(whole(), limit)
    except (asyncio.TimeoutError, OSError):
        return None
