import { createSeededRandom, EventKind } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSpeedBench } from "../__fixtures__/speedBench.js";

/** Asserts that a number is close to another one. */
function assertNear(actual: number | undefined, expected: number, tolerance: number): void {
    assert.ok(actual !== undefined && Math.abs(actual - expected) <= tolerance, `${actual} is not near ${expected}`);
}

describe("speeds of targets", () => {
    it("ignore figures that are no positive number or are implausible, and log this once for each target", async () => {
        const { eventLog, listed, speeds, report, runAll } = createSpeedBench();
        await runAll([60, 60, 60]);
        for (const figure of [NaN, -1, 0, Infinity, 1e9, NaN]) {
            report(0, figure);
            report(1, figure);
        }
        assert.equal(eventLog.of(EventKind.Fault).length, 2);
        assertNear(speeds.duration(listed[0]!), 60, 0.1);
        assert.equal(speeds.isUsed("plain"), false);
    });

    it("count a reported figure for at most a factor of five in either direction", async () => {
        const { listed, speeds, report, runAll } = createSpeedBench();
        await runAll([60, 60, 60], [1, 1, 1]);
        report(0, 60);
        report(1, 0.001);
        assertNear(speeds.duration(listed[0]!), 300, 1);
        // A figure better than usual counts for its root.
        assertNear(speeds.duration(listed[1]!), 60 * Math.sqrt(0.2), 1);
    });

    it("decay a figure towards the usual one within some hundred milliseconds, the faster the faster it changes", async () => {
        const { clock, listed, speeds, report, runAll } = createSpeedBench();
        await runAll([60, 60, 60], [1, 1, 1]);
        for (let round = 0; round < 40; round++) {
            report(0, round % 2 === 0 ? 2.5 : 1);
            report(1, round % 20 < 10 ? 2.5 : 1);
            await clock.advance(100);
        }
        report(0, 4);
        report(1, 4);
        await clock.advance(300);
        const [changing = 0, lasting = 0] = listed.map(target => speeds.duration(target));
        assert.ok(changing < lasting * 0.85, `${changing} of ${lasting}`);
        await clock.advance(5_000);
        listed.forEach(target => assert.ok((speeds.duration(target) ?? 0) < 130));
    });

    it("keep a figure that a target states all the time, also without new reports", async () => {
        const { clock, listed, speeds, runAll } = createSpeedBench();
        for (let round = 0; round < 200; round++) {
            await runAll([60, 60, 96], [1, 1, 1.6]);
        }
        await clock.advance(2_000);
        assertNear(speeds.duration(listed[2]!), 96, 6);
    });

    it("judge a target by its durations where these contradict its figures", async () => {
        const { listed, speeds, report, runAll } = createSpeedBench();
        const random = createSeededRandom(1);
        for (let round = 0; round < 60; round++) {
            await runAll([60, 60, 60], [random.fraction() < 0.5 ? 0.2 : 4, 1, 1]);
        }
        report(0, 5);
        report(1, 2);
        assertNear(speeds.duration(listed[0]!), 60, 15);
        assertNear(speeds.duration(listed[1]!), 120, 10);
    });

    it("recognize a target that becomes slow without saying so, and forget this without calls", async () => {
        const { clock, listed, speeds, runAll } = createSpeedBench();
        for (let round = 0; round < 100; round++) {
            await runAll([60, 60, 60]);
        }
        for (let round = 0; round < 6; round++) {
            await runAll([300, 60, 60]);
        }
        assert.ok((speeds.duration(listed[0]!) ?? 0) > 120);
        await clock.advance(5_000);
        assert.ok((speeds.duration(listed[0]!) ?? 0) < 90);
    });

    it("count neither waiting nor the queue at a target as its work", async () => {
        const { listed, clock, speeds, report, runAll } = createSpeedBench();
        await runAll([60, 60, 60]);
        const run = speeds.beginRun(listed[0]!);
        await clock.advance(120);
        report(0, undefined, 12);
        run.end(true);
        assertNear(speeds.duration(listed[0]!), 60, 3);
    });

    it("do not use speeds of equal targets with random durations that report none", async () => {
        for (let seed = 1; seed <= 10; seed++) {
            const { speeds, runAll } = createSpeedBench(["a", "b", "c", "d", "e"]);
            const random = createSeededRandom(seed);
            for (let round = 0; round < 300; round++) {
                await runAll(Array.from({ length: 5 }, () => -60 * Math.log(1 - random.fraction())));
                assert.equal(speeds.isUsed("plain"), false, `seed ${seed}, round ${round}`);
            }
        }
    });

    it("use speeds of targets that differ clearly by their durations, or report figures", async () => {
        const silent = createSpeedBench();
        for (let round = 0; round < 80; round++) {
            await silent.runAll([36, 60, 96]);
        }
        assert.equal(silent.speeds.isUsed("plain"), true);
        assertNear(silent.speeds.duration(silent.listed[0]!), 36, 5);
        assertNear(silent.speeds.duration(silent.listed[2]!), 96, 9);
        const reporting = createSpeedBench();
        await reporting.runAll([60, 60, 60], [1]);
        assert.equal(reporting.speeds.isUsed("plain"), true);
    });

    it("log a slow target and its recovery, and not each change of one that changes all the time", async () => {
        const { clock, eventLog, speeds, report, runAll } = createSpeedBench();
        for (let round = 0; round < 60; round++) {
            await runAll([60, 60, 120], [1, 1, 1]);
        }
        const changes = () =>
            eventLog.of(EventKind.TargetSpeedChanged).map(({ fields }) => [fields["target"], fields["state"]]);
        assert.deepEqual(changes(), [["c", "slow_permanently"]]);
        report(0, 5);
        for (let change = 0; change < 20; change++) {
            await clock.advance(100);
            report(0, change % 2 === 0 ? 1 : 5);
        }
        await clock.advance(10_000);
        report(0, 1);
        assert.deepEqual(changes().slice(1), [["a", "slow_now"], ["a", "usual"]]);
        assert.deepEqual(speeds.listNotable().map(({ target }) => target.name)[0], "c");
    });

    it("list at most 20 targets for the metrics", async () => {
        const { speeds, runAll } = createSpeedBench(Array.from({ length: 30 }, (...[, index]) => `t-${index}`));
        await runAll(Array<number>(30).fill(60), Array<number>(30).fill(1));
        assert.equal(speeds.listNotable().length, 20);
    });

    it("forget a target that is removed", async () => {
        const { listed, speeds, runAll } = createSpeedBench();
        for (let round = 0; round < 80; round++) {
            await runAll([60, 60, 200]);
        }
        speeds.forget("c");
        assert.ok((speeds.duration(listed[2]!) ?? 0) < 100);
    });
});
