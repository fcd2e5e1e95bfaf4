import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { connect as connectTls } from "node:tls";
import { generate } from "selfsigned";
import { completionBody, openRaw, waitUntil } from "../__fixtures__/callerRequests.js";
import { callerKey, createCallerBench } from "../__fixtures__/createCallerBench.js";

const headerMilliseconds = 60;
const body = JSON.stringify(completionBody);
const begin = `POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ${callerKey}\r\n`;
const rest = `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

async function createTls() {
    const { private: key, cert } = await generate([{ name: "commonName", value: "entry" }]);
    return { key, certificate: cert };
}

function openTls(port: number, text: string): Socket {
    const socket = connectTls({ port, host: "127.0.0.1", rejectUnauthorized: false });
    socket.on("error", () => undefined);
    socket.write(text);
    return socket;
}

for (const [name, isSecure] of [["plain", false], ["TLS", true]] as const) {
    // Guards against requests that are answered 408 by the listener and then served, once the rest of their head arrives.
    test(`a request whose head is late is not served after its refusal (${name})`, async () => {
        const tls = isSecure ? await createTls() : undefined;
        const bench = await createCallerBench({ limits: { headerMilliseconds }, ...(tls && { tls }) });
        const socket = (isSecure ? openTls : openRaw)(bench.port, begin);
        let answer = "";
        socket.on("data", chunk => {
            answer += String(chunk);
        });
        await waitUntil(() => answer !== "");
        socket.write(rest);
        await sleep(2 * headerMilliseconds);
        assert.match(answer, /^HTTP\/1.1 408 /);
        assert.equal(bench.engines[0].received.length, 0);
        socket.destroy();
        await bench.server.stop();
    });
}
