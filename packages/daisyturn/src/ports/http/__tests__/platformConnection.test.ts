import { ExecutionVerdict, FailureReason, SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { startRawTarget, writeAnswer } from "../__fixtures__/startRawTarget.js";
import { createPlatformConnection } from "../platformConnection.js";

const maxAnswerBytes = 10_000;

// Guards against an answer of the platform that takes all memory of the process.
test("an answer is read up to the limit, and a longer one is a failure", async context => {
    const clock = new SystemClock();
    let length = maxAnswerBytes;
    const { url } = await startRawTarget(context, {
        onRequest: ({ socket }) => writeAnswer(socket, 200, "x".repeat(length)),
    });
    const connection = createPlatformConnection({ url, clock, maxAnswerBytes });
    context.after(() => connection.close());
    const send = () => connection.send({ method: "GET", path: "/" }, clock.monotonicNow() + 5_000);
    assert.equal((await send()).map(({ body }) => body.length).unwrapOr(0), maxAnswerBytes);
    length += 1;
    const sent = await send();
    assert.equal(sent.isErr && sent.error.reason, FailureReason.BodyTooLarge);
    length = 1;
    assert.ok((await send()).isOk);
});

// Guards against a part of an answer that is taken for the whole, because the connection was reset within it.
for (const pause of [0, 30]) {
    test(`an answer without a length fails if its connection is reset ${pause} ms after a part of it`, async context => {
        const clock = new SystemClock();
        const { url } = await startRawTarget(context, {
            onRequest: ({ line, socket }) => {
                socket.write("HTTP/1.1 200 OK\r\n\r\npart");
                const finish = () => line.endsWith("/reset") ? socket.resetAndDestroy() : socket.end(" and rest");
                void (pause === 0 ? finish() : setTimeout(finish, pause));
            },
        });
        const connection = createPlatformConnection({ url, clock });
        context.after(() => connection.close());
        const read = (path: string) =>
            connection.send({ method: "PUT", path, body: "x" }, clock.monotonicNow() + 5_000);
        for (let round = 0; round < 20; round++) {
            const cut = await read("/reset");
            assert.equal(cut.isErr && cut.error.verdict, ExecutionVerdict.MayHaveRun);
            assert.equal((await read("/end")).map(({ body }) => body).unwrapOr(""), "part and rest");
        }
    });
}

for (const status of ["000", "099", "600", "999"]) {
    test(`an answer with status ${status}, which HTTP does not have, is a failure`, async context => {
        const clock = new SystemClock();
        const { url } = await startRawTarget(context, {
            onRequest: ({ socket }) => void socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`),
        });
        const connection = createPlatformConnection({ url, clock });
        context.after(() => connection.close());
        const sent = await connection.send({ method: "GET", path: "/" }, clock.monotonicNow() + 5_000);
        assert.equal(sent.isErr && sent.error.verdict, ExecutionVerdict.MayHaveRun);
    });
}
