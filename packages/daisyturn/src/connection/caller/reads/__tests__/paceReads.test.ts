import { MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../../__fixtures__/peerNetworks.js";
import { createReadTurns } from "../../../bytes/createReadTurns.js";
import { defaultCallerLimits } from "../../callerServerOptions.js";
import { createCallerListener } from "../../createCallerListener.js";
import { createListenerLog } from "../../createListenerLog.js";

const requestCount = 300;
/** Eight under way, and the rest of the piece with the last of them. */
const maxRead = 90;

/** Starts a listener that answers a request when the test does, and connects to it. */
async function connectToListener(context: TestContext) {
    const unanswered: (() => void)[] = [];
    const limits: string[] = [];
    const log = createListenerLog({ eventLog: new MemoryEventLog(), recordReadLimit: limit => limits.push(limit) });
    const { server } = createCallerListener(
        undefined,
        defaultCallerLimits,
        log,
        createReadTurns(),
        (incoming, outgoing: ServerResponse, connection) => {
            const request = connection.beginRequest(incoming, () => undefined);
            unanswered.push(() => {
                outgoing.end(incoming.url);
                request.end();
            });
        },
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    context.after(() => {
        socket.destroy();
        server.close();
    });
    let received = "";
    socket.on("data", data => {
        received += String(data);
    });
    return { socket, unanswered, limits, received: () => received };
}

describe("reads from a caller's connection", () => {
    // Guards against a caller that pipelines without end, whose requests take all memory of the process.
    it("leave pipelined requests unread until earlier ones are answered, and answer all in order", async context => {
        const { socket, unanswered, limits, received } = await connectToListener(context);
        const paths = Array.from({ length: requestCount }, (value, index) => `/call-${index}.`);
        socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(""));
        await waitUntil(() => limits.includes("requests"));
        await sleep(50);
        assert.ok(unanswered.length < maxRead, `${unanswered.length} were read`);
        let answered = 0;
        await waitUntil(() => {
            unanswered.splice(0).forEach(answer => {
                answer();
                answered += 1;
            });
            return answered === requestCount;
        });
        await waitUntil(() => received().includes(`/call-${requestCount - 1}.`));
        assert.deepEqual(received().match(/\/call-\d+\./g), paths);
    });

    // Guards against a caller whose blank lines take the processor without a request that could be refused.
    it("end when bytes arrive that belong to no request", async context => {
        const { socket, limits, received } = await connectToListener(context);
        socket.on("error", () => undefined);
        const write = () => {
            while (socket.writable && socket.write("\r\n".repeat(1_000))) {
                // Until the connection takes no more.
            }
        };
        socket.on("drain", write);
        write();
        await new Promise(resolve => socket.on("close", resolve));
        assert.deepEqual(limits.filter(limit => limit !== "time"), ["bytes"]);
        assert.match(received(), /^(HTTP\/1.1 431 |$)/);
    });
});
