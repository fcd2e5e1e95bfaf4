import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { createHttpTableService } from "../http/httpTableService.js";
import { RejectionCause, TransactionOutcome } from "../tableService.js";

const transaction = { writeId: "w1", conditions: [], writes: [{ key: "a", value: 1 }] };
const deadline = 1_000;
const committedBody = "{\"outcome\":\"committed\",\"version\":1}";

/** Runs a body against a server that calls `serve` with the first bytes of each connection. */
async function withServer(
    serve: (socket: Socket, request: string) => void,
    body: (url: string) => Promise<void>,
): Promise<void> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", chunk => serve(socket, String(chunk)));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    try {
        await body(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    }
    finally {
        sockets.forEach(socket => socket.destroy());
        server.close();
    }
}

function httpAnswer(status: number, body: string, length = body.length): string {
    return `HTTP/1.1 ${status} x\r\ncontent-length: ${length}\r\n\r\n${body}`;
}

describe("createHttpTableService", { timeout: 30_000 }, () => {
    const silentAnswers: readonly (readonly [string, (socket: Socket) => void])[] = [
        ["a connection broken before the answer", socket => socket.destroy()],
        ["an answer cut short", socket => socket.end(httpAnswer(200, committedBody, committedBody.length + 1))],
        ["an answer that is not JSON", socket => socket.end(httpAnswer(200, "fine"))],
        ["a gateway's error with a committed body", socket => socket.end(httpAnswer(502, committedBody))],
        [
            "a claim that nothing was sent",
            socket => socket.end(httpAnswer(200, "{\"outcome\":\"rejected\",\"cause\":\"not_sent\"}")),
        ],
    ];
    for (const [name, serve] of silentAnswers) {
        it(`treats the outcome as unknown after ${name}`, async () => {
            await withServer(serve, async url => {
                const { tableService, close } = createHttpTableService({ url, clock: new FakeClock() });
                const answer = await tableService.transact(transaction, deadline);
                assert.deepEqual(answer, { outcome: TransactionOutcome.Unknown });
                await close();
            });
        });
    }

    it("returns the outcome that the service states", async () => {
        await withServer(socket => socket.end(httpAnswer(200, committedBody)), async url => {
            const { tableService, close } = createHttpTableService({ url, clock: new FakeClock() });
            const answer = await tableService.transact(transaction, deadline);
            assert.deepEqual(answer, { outcome: TransactionOutcome.Committed, version: 1 });
            await close();
        });
    });

    it("distinguishes sent and unsent transactions at the deadline, and never sends a queued one", async () => {
        const requests = new EventEmitter();
        const received: (string | undefined)[] = [];
        const serve = (...[, request]: [Socket, string]) => {
            received.push(/w\d/.exec(request)?.[0]);
            requests.emit("request");
        };
        await withServer(serve, async url => {
            const clock = new FakeClock();
            const { tableService, close } = createHttpTableService({ url, clock, connections: 1 });
            const arrived = once(requests, "request");
            const sent = tableService.transact(transaction, deadline);
            const waiting = tableService.transact({ ...transaction, writeId: "w2" }, deadline - 1);
            await arrived;
            await clock.advance(deadline - 1);
            assert.equal((await waiting).cause, RejectionCause.NotSent);
            await clock.advance(1);
            assert.equal((await sent).outcome, TransactionOutcome.Unknown);
            const late = await tableService.transact({ ...transaction, writeId: "w3" }, deadline);
            assert.equal(late.cause, RejectionCause.NotSent);
            const nextArrived = once(requests, "request");
            const next = tableService.transact({ ...transaction, writeId: "w4" }, deadline + 1);
            await nextArrived;
            await clock.advance(1);
            assert.equal((await next).outcome, TransactionOutcome.Unknown);
            assert.deepEqual(received, ["w1", "w4"]);
            await close();
        });
    });
});
