import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ForwardedCall } from "../../../../ports/forwardedCall.js";
import { countRun } from "../countRun.js";

const ran = { isNotRun: false };
const plain = { terms: {} };
const stream = { terms: {}, onChunk: () => undefined };

/** Creates a call of an account that was sent at 100 ms and is answered at 300 ms. */
async function createCase(account: string | undefined = "acme") {
    const clock = new FakeClock();
    await clock.advance(300);
    const counted: [account: string, beganAt: number][] = [];
    const parts = { clock, recordUsage: (...run: [string, number]) => void counted.push(run) };
    const context = { call: { account } as ForwardedCall, isRunCounted: false };
    const count = (attempt: Parameters<typeof countRun>[2], head: Parameters<typeof countRun>[3]) =>
        countRun(parts, context, attempt, head, 100);
    return { counted, count, context };
}

describe("countRun", () => {
    it("counts a stream at its first event, and a plain call halfway between send and answer", async () => {
        for (const [attempt, beganAt] of [[stream, 300], [plain, 200]] as const) {
            const { counted, count } = await createCase();
            count(attempt, ran);
            assert.deepEqual(counted, [["acme", beganAt]]);
        }
    });

    // A call that another target continues or repeats is one attempt of its caller.
    it("counts a call once, whatever its number of sends", async () => {
        const { counted, count } = await createCase();
        [ran, ran, { isNotRun: true }, ran].forEach(head => count(stream, head));
        assert.equal(counted.length, 1);
    });

    it("counts neither prefills, nor refusals of targets, nor sends without an answer", async () => {
        const { counted, count } = await createCase();
        count({ terms: { prefillOnly: true } }, ran);
        count(plain, { isNotRun: true });
        count(plain, undefined);
        assert.deepEqual(counted, []);
        count(plain, ran);
        assert.equal(counted.length, 1, "a later send of the same call counts");
    });

    it("counts no call without an account", async () => {
        const { counted, count, context } = await createCase();
        context.call = { account: undefined } as ForwardedCall;
        count(plain, ran);
        assert.deepEqual(counted, []);
    });
});
