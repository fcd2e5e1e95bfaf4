import { FailureReason, FakeClock, mayHaveRun, notRun } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ForwardExchange } from "../../../connection/forwarding/forwardExchange.js";
import type { HeaderFields } from "../../../ports/forwardedCall.js";
import { refuseCall } from "../refuseCall.js";
import { createDispatchGate } from "../sending/dispatchGate.js";

/** Creates an exchange that records its answer. */
function createExchange(isHeadSent = false) {
    const seen = { status: 0, fields: [] as HeaderFields, isBrokenOff: false };
    const exchange: ForwardExchange = {
        signal: new AbortController().signal,
        isHeadSent: () => isHeadSent,
        closedAt: () => undefined,
        stop: () => undefined,
        cancel: () => undefined,
        gate: createDispatchGate(),
        firstByteAt: () => undefined,
        longestPause: () => 0,
        meanPause: () => undefined,
        answer: (status, fields) => Object.assign(seen, { status, fields }),
        begin: () => undefined,
        write: () => undefined,
        end: () => undefined,
        abort: () => {
            seen.isBrokenOff = true;
        },
        closed: Promise.resolve(),
    };
    return { exchange, seen };
}

/** Statuses that guarantee that a call has not run. */
const promises = [408, 421, 429, 503];

test("a call that may have run gets no status that guarantees that it has not", () => {
    for (const reason of Object.values(FailureReason)) {
        const { exchange, seen } = createExchange();
        refuseCall(exchange, mayHaveRun(reason, "why", 5_000), new FakeClock());
        assert.ok(!promises.includes(seen.status), `${reason}: ${seen.status}`);
        assert.ok(!seen.fields.includes("Retry-After"), reason);
    }
});

test("the refusal of a call that has not run says when to retry", () => {
    const { exchange, seen } = createExchange();
    const clock = new FakeClock();
    refuseCall(exchange, notRun(FailureReason.NoTarget, "why", clock.wallNow() + 1_500), clock);
    assert.equal(seen.status, 503);
    assert.equal(seen.fields[seen.fields.indexOf("Retry-After") + 1], "1.50");
});

test("an answer that has started is broken off", () => {
    const { exchange, seen } = createExchange(true);
    refuseCall(exchange, notRun(FailureReason.NoTarget, "why"), new FakeClock());
    assert.deepEqual([seen.isBrokenOff, seen.status], [true, 0]);
});
