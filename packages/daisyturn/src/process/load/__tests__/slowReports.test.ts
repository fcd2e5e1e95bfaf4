import { type Clock, FailureReason, mayHaveRun } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Result } from "true-myth/result";
import type { Engine } from "../../../ports/engine.js";
import { createDecisionBench, createReport } from "../../routing/__fixtures__/createDecisionBench.js";

/** Delays the engine's load reports by `milliseconds`; a report that would be later than its deadline fails. */
function slowDown(engine: Engine, clock: Clock, milliseconds: number): void {
    engine.readLoad = async deadline => {
        const doneAt = clock.monotonicNow() + milliseconds;
        await clock.sleepUntil(Math.min(doneAt, deadline));
        return doneAt > deadline
            ? Result.err(mayHaveRun(FailureReason.TargetFailed, "no answer in time"))
            : Result.ok(createReport(engine.engineId, { asOf: clock.wallNow() }));
    };
}

async function countUsable(readMilliseconds: number): Promise<number> {
    const bench = await createDecisionBench({ reports: [createReport("e1")] });
    const [engine] = bench.engines;
    const [first] = bench.processes;
    assert.ok(engine && first);
    slowDown(engine, bench.clock, readMilliseconds);
    await bench.clock.advance(20_000);
    const usable = first.loadView.loads().length;
    bench.stop();
    return usable;
}

describe("reports of a busy engine", () => {
    test("are used if they take longer than the interval between them", async () => {
        assert.equal(await countUsable(1_500), 1);
    });

    test("make the engine unusable if none arrives within the time limit", async () => {
        assert.equal(await countUsable(60_000), 0);
    });
});
