import { OperatorMethod } from "daisyturn";
import { ExecutionVerdict } from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, createServer as createSocketServer } from "node:net";
import { test } from "node:test";
import { createOperatorClient } from "../createOperatorClient.js";

const maxAnswerBytes = 1024 * 1024;

// Guards against a command that collects an answer without end until it runs out of memory.
test("an answer without end is a failure once it is longer than any answer of the fleet", async context => {
    let written = 0;
    const server = createServer((incoming, outgoing) => {
        const write = () => {
            if (!outgoing.destroyed) {
                written += maxAnswerBytes / 8;
                outgoing.write(Buffer.alloc(maxAnswerBytes / 8), () => setImmediate(write));
            }
        };
        write();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    context.after(() => {
        server.close();
        server.closeAllConnections();
    });
    const operators = [`http://127.0.0.1:${(server.address() as AddressInfo).port}`];
    const client = createOperatorClient({ operators, key: "k" }, maxAnswerBytes);
    context.after(client.close);
    const answer = await client.call({ method: OperatorMethod.Get, path: "/v1/targets", isRepeatable: true });
    assert.ok(answer.isErr && answer.error.verdict === ExecutionVerdict.MayHaveRun);
    assert.match(answer.error.message, /UND_ERR_RES_EXCEEDED_MAX_SIZE/);
    // The kernel and undici may hold more than was read.
    assert.ok(written < 16 * maxAnswerBytes, `${written} bytes`);
});

// Guards against a part of an answer, or one that is none, which an operator takes for the state of the fleet.
for (
    const head of ["HTTP/1.1 200 OK", "HTTP/1.1 600 X\r\nContent-Length: 14", "HTTP/1.1 000 X\r\nContent-Length: 14"]
) {
    test(`an answer that begins with ${JSON.stringify(head)} and is cut off by a reset is a failure`, async context => {
        const server = createSocketServer(socket =>
            socket.on("error", () => undefined).once("data", () => {
                socket.write(`${head}\r\n\r\n{"targets":[1]`, () => setTimeout(() => socket.resetAndDestroy(), 20));
            })
        );
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        context.after(() => server.close());
        const operators = [`http://127.0.0.1:${(server.address() as AddressInfo).port}`];
        const client = createOperatorClient({ operators, key: "k" });
        context.after(client.close);
        const answer = await client.call({ method: OperatorMethod.Get, path: "/v1/targets", isRepeatable: true });
        assert.equal(answer.isErr && answer.error.verdict, ExecutionVerdict.MayHaveRun);
    });
}
