import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPlacementBench, engineService } from "../../__fixtures__/placementBench.js";

const service = engineService.name;

/** Creates three targets in three zones, at each of which one call of 60 ms has ended. */
async function createBench(figures: readonly (number | undefined)[]) {
    const bench = createPlacementBench([undefined, undefined, undefined]);
    const runs = bench.listed.map(target => bench.speeds.beginRun(target));
    await bench.clock.advance(60);
    const report = (index: number, relativeDuration: number | undefined, waiting = 0) => {
        const load = { running: 1, waiting, slots: 24, relativeDuration };
        bench.speeds.recordReport(bench.listed[index]!, load);
        bench.loads.recordReport(bench.listed[index]!.targetId, load);
    };
    figures.forEach((figure, index) => report(index, figure));
    runs.forEach(run => run.end(true));
    const place = (avoid: readonly string[] = []) =>
        bench.placement.placePlain(service, { avoid: new Set(avoid) })?.targetId;
    const placeMany = () => Array.from({ length: 40 }, () => place());
    return { ...bench, report, place, placeMany };
}

describe("placement of plain calls by speed", () => {
    it("avoids a target whose work takes long at the moment, until its report is old", async () => {
        const { clock, placeMany } = await createBench([5, 1, 1]);
        assert.ok(!placeMany().includes("i-0"));
        await clock.advance(4_000);
        assert.ok(placeMany().includes("i-0"));
    });

    it("prefers the process's zone among equal targets", async () => {
        const { placeMany } = await createBench([1, 1, 1]);
        assert.ok(placeMany().filter(targetId => targetId === "i-0").length > 30);
    });

    it("keeps the choice by calls over slots where no target states how long work takes", async () => {
        const { placeMany, loads, speeds, listed } = await createBench([undefined, undefined, undefined]);
        // By its calls in progress, the third one is the fullest for the choice by speed only.
        Array.from({ length: 30 }, () => speeds.beginRun(listed[0]!));
        Array.from({ length: 12 }, () => loads.begin("i-2", { work: 0, isDeferred: false, tokens: 0 }));
        assert.deepEqual([...new Set(placeMany())], ["i-0"]);
    });

    it("ignores figures that can't be true", async () => {
        const { placeMany } = await createBench([NaN, -1, 1e9]);
        assert.deepEqual([...new Set(placeMany())], ["i-0"]);
    });

    it("still sends a call if all targets are slow and have long queues", async () => {
        const { report, place } = await createBench([5, 5, 5]);
        [0, 1, 2].forEach(index => report(index, 5, 24));
        assert.notEqual(place(), undefined);
    });

    it("sends a repeat to another target, and nothing if none is left", async () => {
        const { place } = await createBench([5, 1, 1]);
        assert.equal(place(["i-1", "i-2"]), "i-0");
        assert.equal(place(["i-0", "i-1", "i-2"]), undefined);
    });

    it("forgets the speed of a target with its entry", async () => {
        const { targets, listed, speeds } = await createBench([5, 1, 1]);
        const before = speeds.duration(listed[0]!);
        targets.replace([]);
        assert.notEqual(speeds.duration(listed[0]!), before);
    });
});
