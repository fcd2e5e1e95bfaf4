import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
    computeGoodFraction,
    createCalmSource,
    createFlood,
    engineCount,
    runShared,
} from "../policy/fairShareCases.js";

/** The fraction of its goodput that a partner may lose while another partner floods the cell. */
const allowedLoss = 0.05;
const seconds = 12;

describe("a flood of requests from one partner", () => {
    test("does not reduce the other partner's goodput while its load is below its share", async () => {
        for (const processes of [3, 9]) {
            const alone = await runShared([createCalmSource(16)], { seed: 1, processes, seconds });
            const flooded = await runShared([createCalmSource(16), createFlood()], { seed: 1, processes, seconds });
            const loss = 1 - computeGoodFraction(flooded.sources[0]!) / computeGoodFraction(alone.sources[0]!);
            assert.ok(loss <= allowedLoss, `${loss} with ${processes} processes`);
        }
    });

    test("leaves the other partner its share when both exceed theirs", async () => {
        const share = await runShared([createCalmSource(40)], {
            seed: 2,
            processes: 3,
            seconds,
            engines: engineCount / 2,
        });
        const flooded = await runShared([createCalmSource(40), createFlood()], { seed: 2, processes: 3, seconds });
        const loss = 1 - flooded.sources[0]!.good / share.sources[0]!.good;
        assert.ok(loss <= allowedLoss, `${loss}`);
    });

    test("uses all capacity that the other partner leaves", async () => {
        const alone = await runShared([createFlood()], { seed: 3, processes: 3, seconds });
        const beside = await runShared([createCalmSource(8), createFlood()], { seed: 3, processes: 3, seconds });
        const good = beside.sources.reduce((sum, source) => sum + source.good, 0);
        assert.ok(good >= alone.sources[0]!.good * (1 - allowedLoss), `${good} of ${alone.sources[0]!.good}`);
    });
});

test("at twice the load that the engines can serve, admitted requests complete in time", async () => {
    const { sources, busy } = await runShared([createFlood()], { seed: 4, processes: 9, seconds });
    const [flood] = sources;
    assert.ok(flood!.late <= 0.03 * flood!.good, `${flood!.late} late, ${flood!.good} good`);
    assert.ok(busy >= 0.95, `engines busy for ${busy} of the time`);
});
