#!/usr/bin/env python3
"""Streams through a node between HTTP clients and servers that this project did not write: aiohttp serves, http.client,
aiohttp and httpx ask. Sized and chunked, with trailers. Not in CI.

    python3 -m venv venv && venv/bin/pip install aiohttp httpx
    cargo build --release --locked
    venv/bin/python scripts/stream-peers.py [MEGABYTES]     # 1024 if absent; exit code 1 where a hash is wrong
"""
import asyncio
import hashlib
import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile

import aiohttp
import httpx
from aiohttp import web

BLOCK = bytes(range(256)) * 1024  # 256 KiB
BLOCKS = int(sys.argv[1] if len(sys.argv) > 1 else 1024) * 4
PROGRAM = os.environ.get("APPLEMILL_PROGRAM", "target/release/applemill")


def expected():
    digest = hashlib.sha256()
    for _ in range(BLOCKS):
        digest.update(BLOCK)
    return digest.hexdigest()


async def download(request):
    response = web.StreamResponse()
    if request.match_info["framing"] == "sized":
        response.content_length = len(BLOCK) * BLOCKS
    else:
        response.enable_chunked_encoding()
    await response.prepare(request)
    for _ in range(BLOCKS):
        await response.write(BLOCK)
    await response.write_eof()
    return response


async def upload(request):
    digest = hashlib.sha256()
    async for part in request.content.iter_any():
        digest.update(part)
    coding = request.headers.get("Transfer-Encoding", "sized")
    return web.json_response({"sha256": digest.hexdigest(), "framing": coding})


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def blocks():
    for _ in range(BLOCKS):
        yield BLOCK


async def ablocks():
    for _ in range(BLOCKS):
        yield BLOCK


def by_http_client(port, right):
    """Also trailers: behind chunks written by hand."""
    conn = http.client.HTTPConnection("127.0.0.1", port)
    for framing in ("sized", "chunked"):
        conn.request("GET", f"/down/{framing}")
        answer, digest = conn.getresponse(), hashlib.sha256()
        while part := answer.read(1 << 18):
            digest.update(part)
        yield f"http.client down {framing}", digest.hexdigest() == right
    conn.close()
    conn.request("PUT", "/in", body=blocks(), headers={"Content-Length": str(len(BLOCK) * BLOCKS)})
    yield "http.client up sized", json.load(conn.getresponse())["sha256"] == right
    conn.close()
    conn.putrequest("PUT", "/in")
    conn.putheader("Transfer-Encoding", "chunked")
    conn.putheader("Trailer", "X-Sum")
    conn.endheaders()
    for block in blocks():
        conn.send(b"%x\r\n" % len(block) + block + b"\r\n")
    conn.send(b"0\r\nX-Sum: 1\r\n\r\n")
    answer = json.load(conn.getresponse())
    yield "http.client up chunked with a trailer", answer == {"sha256": right, "framing": "chunked"}
    conn.close()


def by_httpx(port, right):
    base = f"http://127.0.0.1:{port}"
    with httpx.Client(timeout=60) as client:
        for framing in ("sized", "chunked"):
            digest = hashlib.sha256()
            with client.stream("GET", f"{base}/down/{framing}") as answer:
                for part in answer.iter_raw():
                    digest.update(part)
            yield f"httpx down {framing}", digest.hexdigest() == right
        yield "httpx up chunked", client.put(f"{base}/in", content=blocks()).json()["sha256"] == right


async def by_aiohttp(port, right):
    base, done = f"http://127.0.0.1:{port}", []
    async with aiohttp.ClientSession() as session:
        for framing in ("sized", "chunked"):
            digest = hashlib.sha256()
            async with session.get(f"{base}/down/{framing}") as answer:
                async for part in answer.content.iter_any():
                    digest.update(part)
            done.append((f"aiohttp down {framing}", digest.hexdigest() == right))
        async with session.put(f"{base}/in", data=ablocks()) as answer:
            done.append(("aiohttp up chunked", (await answer.json())["sha256"] == right))
    return done


async def main():
    app = web.Application(client_max_size=1 << 40)
    app.add_routes([web.get("/down/{framing}", download), web.put("/in", upload)])
    runner = web.AppRunner(app)
    await runner.setup()
    server, listen = free_port(), free_port()
    await web.TCPSite(runner, "127.0.0.1", server).start()
    text = f"""
[[listener]]
address = "127.0.0.1:{listen}"
[pool.floor]
servers = [{{ address = "127.0.0.1:{server}" }}]
[class.report]
effect = "safe"
patience = "30s"
[[route]]
name = "all"
class = "report"
pool = "floor"
body = "stream"
answer = "stream"
body_limit = "8GiB"
answer_limit = "8GiB"
pace = "1MiB"
pace_window = "10s"
stream_time = "1440m"
"""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        node = subprocess.Popen([PROGRAM, "run", "--config", file.name], stderr=subprocess.DEVNULL)
        try:
            for _ in range(200):
                await asyncio.sleep(0.02)
                with socket.socket() as s:
                    if s.connect_ex(("127.0.0.1", listen)) == 0:
                        break
            right, done = expected(), []
            for plain in (by_http_client, by_httpx):
                done += await asyncio.to_thread(lambda plain=plain: list(plain(listen, right)))
            done += await by_aiohttp(listen, right)
        finally:
            node.terminate()
            node.wait()
    for name, good in done:
        print(f"{name}: {'right' if good else 'WRONG'}", file=sys.stderr)
    print(json.dumps({"bytes_each": len(BLOCK) * BLOCKS, "streams": len(done), "right": sum(good for _, good in done)}))
    sys.exit(0 if all(good for _, good in done) else 1)


asyncio.run(main())
