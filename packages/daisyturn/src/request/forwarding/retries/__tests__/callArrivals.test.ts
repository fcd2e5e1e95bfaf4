import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ArrivalResult, SendPart } from "../../../../process/forwarding/index.js";
import { createCallArrivals } from "../callArrivals.js";

const { Prefill, Decode, Whole } = SendPart;
const { Answered, Refused, Broken } = ArrivalResult;

type Sent = readonly [SendPart, ArrivalResult];

function countRepeats(sent: readonly Sent[]): number {
    const arrivals = createCallArrivals();
    return sent.filter(([part, result]) => arrivals.record(part, result)).length;
}

// Guards against counting a retry as one arrival, whatever it sends.
describe("the arrivals of a call", () => {
    it("are no repeats while nothing is sent again", () => {
        assert.equal(countRepeats([[Whole, Broken]]), 0);
        assert.equal(countRepeats([[Prefill, Answered], [Decode, Broken]]), 0);
    });

    it("are two repeats if prefill and decode are sent again", () => {
        assert.equal(
            countRepeats([[Prefill, Answered], [Decode, Refused], [Prefill, Answered], [Decode, Answered]]),
            2,
        );
    });

    it("are one repeat if only the rest is sent again", () => {
        assert.equal(countRepeats([[Prefill, Answered], [Decode, Refused], [Whole, Answered]]), 1);
        assert.equal(countRepeats([[Prefill, Answered], [Decode, Refused], [Decode, Answered]]), 1);
        assert.equal(countRepeats([[Whole, Broken], [Whole, Answered]]), 1);
    });

    it("include refused prefills, and prefills of unknown outcome", () => {
        assert.equal(countRepeats([[Prefill, Refused], [Prefill, Answered], [Decode, Answered]]), 1);
        assert.equal(countRepeats([[Prefill, Broken], [Prefill, Broken], [Whole, Answered]]), 2);
    });
});
