import { ExecutionVerdict, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PeerMethod } from "../../process/peers/index.js";
import { createFakeIdentity, createFakePeerNetworks } from "../fakePeerNetwork.js";

function createPair() {
    const clock = new FakeClock();
    const networks = createFakePeerNetworks(clock);
    const one = networks.join(createFakeIdentity("p1"));
    const other = networks.join(createFakeIdentity("p2"));
    const taken: number[] = [];
    other.handle(PeerMethod.AskClaim, (from, parameters) => {
        taken.push(Number(parameters["number"]));
        return { from: from.processId, number: parameters["number"] };
    });
    const ask = (number: number) => one.request("p2", PeerMethod.AskClaim, { number }, clock.monotonicNow() + 100);
    return { clock, networks, one, other, taken, ask };
}

describe("createFakePeerNetworks", () => {
    it("carries a request and its answer", async () => {
        const { ask } = createPair();
        assert.deepEqual((await ask(1)).unwrapOr({}), { from: "p1", number: 1 });
    });

    it("loses requests and answers in a direction that is cut", async () => {
        const { clock, networks, taken, ask } = createPair();
        for (const [from, to] of [["p1", "p2"], ["p2", "p1"]] as const) {
            networks.cut(from, to);
            const answer = ask(1);
            await clock.advance(100);
            const result = await answer;
            assert.ok(result.isErr && result.error.verdict === ExecutionVerdict.MayHaveRun);
            networks.healAll();
        }
        assert.equal(taken.length, 1);
    });

    it("fails with NotRun if the process was removed", async () => {
        const { networks, ask } = createPair();
        networks.remove("p2");
        const result = await ask(1);
        assert.ok(result.isErr && result.error.verdict === ExecutionVerdict.NotRun);
    });

    it("delays, loses and reorders answers", async () => {
        const { clock, networks, taken, ask } = createPair();
        const order: number[] = [];
        networks.delay("p1", "p2", 30);
        networks.reorderAnswers("p2", "p1");
        const both = [1, 2].map(number => ask(number).then(() => order.push(number)));
        await clock.advance(29);
        assert.deepEqual(taken, []);
        await clock.advance(1);
        await Promise.all(both);
        assert.deepEqual(order, [2, 1]);
        networks.loseAnswers("p2", "p1", 1);
        const lost = ask(3);
        await clock.advance(100);
        assert.ok((await lost).isErr);
        assert.deepEqual(taken, [1, 2, 3]);
    });
});
