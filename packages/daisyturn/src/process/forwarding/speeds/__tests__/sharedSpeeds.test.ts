import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { engineService } from "../../__fixtures__/placementBench.js";
import { createFleet } from "../../coordination/__fixtures__/createFleet.js";
import { encodeLoadMessage, readLoadMessage } from "../../coordination/messages/loadMessage.js";
import { parseNotification } from "../../coordination/messages/notification.js";
import { createSpeedBench } from "../__fixtures__/speedBench.js";

type Fleet = ReturnType<typeof createFleet>;
type Process = Fleet["processes"][number];

/**
 * Has each of these processes send one call to each target, which may report the time that work takes there. The first
 * target takes 180 ms, the others 60 ms.
 */
async function callAll(fleet: Fleet, processes: readonly Process[], figures: readonly (number | undefined)[]) {
    const runs = processes.map(({ speeds, targets }) =>
        targets.list(engineService.name).map((target, index) => {
            const run = speeds.beginRun(target);
            const relativeDuration = figures[index] ?? figures.at(-1);
            return () => {
                speeds.recordReport(target, { running: 1, waiting: 0, slots: 6, relativeDuration });
                run.end(true);
            };
        })
    );
    await fleet.clock.advance(60);
    runs.flatMap(([, ...others]) => others).forEach(end => end());
    await fleet.clock.advance(120);
    runs.forEach(([end]) => end?.());
}

function listDurations({ speeds, targets }: Process): readonly (number | undefined)[] {
    return targets.list(engineService.name).map(target => speeds.duration(target));
}

describe("speeds shared between processes", () => {
    it("reach processes of all groups that have sent no calls", async () => {
        const fleet = createFleet(48, 2, 2);
        await fleet.clock.advance(4_000);
        const isCaller = ({ self, coordination }: Process) =>
            self.availabilityZone === "zone-0" && !coordination.isReader();
        const callers = fleet.processes.filter(isCaller);
        assert.ok(callers.length >= 3);
        for (let round = 0; round < 7; round++) {
            await callAll(fleet, callers, [3, 1]);
            await fleet.clock.advance(600);
        }
        for (const process of fleet.processes) {
            const [slow, ...others] = listDurations(process);
            assert.ok(process.speeds.isUsed(engineService.name), process.self.peerId);
            others.forEach(other => assert.ok((slow ?? 0) > 1.5 * (other ?? Infinity), `${slow} and ${other} ms`));
        }
        await fleet.stop();
    });

    it("are not sent where no target reports a figure or differs clearly", async () => {
        const fleet = createFleet(4, 1, 2);
        await fleet.clock.advance(4_000);
        await callAll(fleet, fleet.processes.slice(0, 2), [undefined]);
        await fleet.clock.advance(2_000);
        fleet.processes.forEach(({ speeds }) => assert.equal(speeds.listEstimates().length, 0));
        assert.deepEqual(fleet.processes.slice(2).flatMap(listDurations).filter(known => known !== undefined), []);
        await fleet.stop();
    });

    it("are each sent once, with the age of the report", async () => {
        const { clock, speeds, runAll } = createSpeedBench();
        await runAll([60, 60, 60], [2, 1, 1]);
        await clock.advance(40);
        const [sample, ...others] = speeds.drainUnsent();
        assert.deepEqual(
            { ...sample },
            { targetId: "a", figure: 2, calls: 0, age: 40, measuredCalls: 1, mean: 60, usualMean: 30 },
        );
        assert.equal(others.length, 2);
        assert.deepEqual(speeds.drainUnsent(), []);
    });

    it("do not replace a newer report, and fade once their coordinator is silent", async () => {
        const { clock, listed, speeds, report, runAll } = createSpeedBench();
        await runAll([60, 60, 60], [1, 1, 1]);
        const estimate = { targetId: "a", calls: 9, age: 500, usual: 60, recent: 4, weight: 90, usualFigure: 1 };
        report(0, 1);
        speeds.recordEstimates("entry-1", [{ ...estimate, figure: 5 }, { ...estimate, targetId: "unlisted" }]);
        assert.ok((speeds.duration(listed[0]!) ?? 0) > 150, "the durations of the last second count");
        assert.ok(speeds.calls(listed[0]!).calls < 2, "the own report is newer");
        await clock.advance(12_000);
        assert.ok((speeds.duration(listed[0]!) ?? 0) < 65);
    });

    it("ignore impossible entries of other processes", async () => {
        const { listed, speeds, runAll } = createSpeedBench();
        await runAll([60, 60, 60], [1, 1, 1]);
        const sample = { targetId: "a", figure: -3, calls: 1, age: 0, measuredCalls: 5, mean: 0, usualMean: 0 };
        speeds.recordSample(sample);
        speeds.recordEstimates("entry-1", [{ ...sample, usual: 0, recent: 1, weight: 5, usualFigure: 1 }]);
        assert.equal(Math.round(speeds.duration(listed[0]!) ?? 0), 60);
    });

    it("are compatible with processes of an earlier version", () => {
        const lists = { work: [], kept: [], demand: [], closed: [], paces: [], pauses: [], ended: [], failing: [] };
        const message = { from: "entry-1", pause: 100, isGroup: false, placed: 0, prefills: [], ...lists };
        const datagram = encodeLoadMessage({ ...message, speeds: [], groupSpeeds: [] });
        assert.ok(!datagram.toString().includes("peeds"), "nothing is added where speeds are not used");
        const read = readLoadMessage(parseNotification(datagram)!);
        assert.deepEqual([read?.speeds, read?.groupSpeeds], [[], []]);
    });
});
