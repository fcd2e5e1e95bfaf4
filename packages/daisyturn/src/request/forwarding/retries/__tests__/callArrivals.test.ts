import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ArrivalResult, type RetryPermit, SendPart } from "../../../../process/forwarding/index.js";
import { createCallArrivals } from "../callArrivals.js";

const { Prefill, Decode, Whole } = SendPart;
const { Answered, Refused, Broken } = ArrivalResult;

type Sent = readonly [SendPart, ArrivalResult];

/** A permit, and how many of its repeats were answered, broken or released. */
function createPermit(count: number) {
    const ended = { answered: 0, broken: 0, released: 0 };
    const permit: RetryPermit = {
        get remaining() {
            return count;
        },
        spend: () => {
            if (count === 0) {
                return undefined;
            }
            count -= 1;
            return {
                recordAnswered: () => ended.answered++,
                recordBroken: () => ended.broken++,
                giveBack: () => count++,
            };
        },
        release: (keep = 0) => {
            ended.released += Math.max(0, count - keep);
            count = Math.min(count, keep);
        },
    };
    return { permit, ended };
}

function countRepeats(sent: readonly Sent[]): number {
    const arrivals = createCallArrivals();
    arrivals.setPermit(createPermit(Infinity).permit);
    return sent.filter(([part, result]) => arrivals.begin(part)?.end(result)).length;
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

    it("need as many repeats for another placement as it sends at most", () => {
        const arrivals = createCallArrivals();
        const needs = () => [arrivals.countRepeats(true), arrivals.countRepeats(false)];
        assert.deepEqual(needs(), [0, 0]);
        arrivals.begin(Prefill)?.end(Refused);
        assert.deepEqual(needs(), [1, 1]);
        arrivals.setPermit(createPermit(1).permit);
        arrivals.begin(Prefill)?.end(Answered);
        arrivals.begin(Decode)?.end(Refused);
        assert.deepEqual(needs(), [2, 1]);
    });

    it("begin only while the permit covers them, and release what they do not need", () => {
        const arrivals = createCallArrivals();
        arrivals.begin(Prefill)?.end(Answered);
        arrivals.begin(Decode)?.end(Broken);
        assert.equal(arrivals.mayPrefill(), false);
        assert.equal(arrivals.begin(Whole), undefined);
        const { permit, ended } = createPermit(2);
        arrivals.setPermit(permit);
        assert.equal(arrivals.mayPrefill(), true);
        arrivals.keepFor(false);
        assert.equal(ended.released, 1);
        arrivals.begin(Whole)?.end(undefined);
        assert.equal(permit.remaining, 1);
        arrivals.begin(Whole)?.end(Broken);
        assert.equal(arrivals.begin(Whole), undefined);
        assert.deepEqual(ended, { answered: 0, broken: 1, released: 1 });
    });

    it("give the repeat of an accepted prefill back, for the decode that follows", () => {
        const arrivals = createCallArrivals();
        arrivals.begin(Prefill)?.end(Refused);
        const { permit, ended } = createPermit(1);
        arrivals.setPermit(permit);
        assert.equal(arrivals.begin(Prefill)?.end(Answered), false);
        assert.equal(arrivals.begin(Decode)?.end(Answered), true);
        arrivals.end();
        assert.deepEqual(ended, { answered: 1, broken: 0, released: 0 });
    });

    it("are recorded once their target begins to answer, but not a prefill that may not count", () => {
        const arrivals = createCallArrivals();
        arrivals.begin(Prefill)?.end(Refused);
        const { permit, ended } = createPermit(2);
        arrivals.setPermit(permit);
        const prefill = arrivals.begin(Prefill);
        prefill?.markAnswered();
        assert.equal(ended.answered, 0);
        prefill?.end(Answered);
        const decode = arrivals.begin(Decode);
        decode?.markAnswered();
        assert.equal(ended.answered, 1);
        assert.equal(decode?.end(Broken), true);
        assert.deepEqual(ended, { answered: 1, broken: 0, released: 0 });
    });
});
