import { FailureReason, SystemClock } from "daisyturn-utils";
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
