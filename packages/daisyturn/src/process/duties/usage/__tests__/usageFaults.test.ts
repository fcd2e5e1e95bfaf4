import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createUsageFleet, windowMilliseconds } from "../__fixtures__/usageFleet.js";

describe("usage counts under faults", () => {
    // Processes would take the counts as acknowledged that only the ended incarnation has received.
    it("sends the counts again to a coordinator that was restarted under its name", async () => {
        const { clock, processes, currentWindow, collect, restart } = createUsageFleet({ size: 4 });
        await clock.advance(2_000);
        const window = currentWindow();
        processes[2]!.usage.record("a", clock.monotonicNow());
        await clock.advance(600);
        restart(0);
        restart(1);
        await clock.advance(5_000);
        processes[2]!.usage.record("a", clock.monotonicNow());
        await clock.advance(2_000);
        assert.deepEqual((await collect(0, window)).counts, { a: 1 });
    });

    // A receipt that was read late would set the time of the process back, and move its calls to the window before.
    it("keeps its time when it reads messages late after a suspension", async () => {
        const { clock, processes, suspend, resume } = createUsageFleet({ size: 8 });
        await clock.advance(12_000);
        for (const index of [0, 5]) {
            processes.forEach(({ usage }) => usage.record("a", clock.monotonicNow()));
            suspend(index);
            await clock.advance(2_800);
            resume(index);
            await clock.advance(20);
            processes.forEach(({ usage }, process) => {
                const error = usage.time.at(clock.monotonicNow()) - clock.wallNow();
                assert.ok(
                    Math.abs(error) < 50,
                    `time of ${process} is off by ${error} ms after ${index} was suspended`,
                );
            });
        }
    });

    // With its own clock alone or one other, a new coordinator would move the whole group to the time of a wrong clock.
    it("does not follow the wrong clock of a coordinator that has just started", async () => {
        const { clock, processes, restart } = createUsageFleet({ size: 8 });
        await clock.advance(12_000);
        restart(0, 9_000);
        for (let step = 0; step < 40; step++) {
            processes.forEach(({ usage }) => usage.record("a", clock.monotonicNow()));
            await clock.advance(100);
            processes.slice(1).forEach(({ usage }, index) => {
                const error = usage.time.at(clock.monotonicNow()) - clock.wallNow();
                assert.ok(Math.abs(error) < 50, `time of ${index + 1} is off by ${error} ms`);
            });
        }
        const { usage } = processes[0]!;
        assert.ok(Math.abs(usage.time.at(clock.monotonicNow()) - clock.wallNow()) < 50, "the new coordinator agrees");
    });

    // A window would be stored without the counts of a group from which no answer has come.
    it("says that a window is incomplete while one group does not answer", async () => {
        const fleet = createUsageFleet({ size: 9, zoneOf: index => `z${index % 3}` });
        const { clock, processes, currentWindow, collect, suspend, resume } = fleet;
        await clock.advance(5_000 - clock.wallNow() % 5_000 + 100);
        await clock.advance(5_000);
        const window = currentWindow();
        processes.forEach(({ usage }) => usage.record("a", clock.monotonicNow()));
        await clock.advance(4_000);
        [1, 4].forEach(suspend);
        assert.equal((await collect(0, window)).isComplete, false);
        resume(4);
        assert.deepEqual(await collect(0, window), { counts: { a: 9 }, isComplete: true }, "one of two has answered");
    });

    // A process that ended had sent its counts only to the coordinators of that time.
    it("asks the former coordinators of a group for the counts of a process that has ended", async () => {
        const fleet = createUsageFleet({ size: 6 });
        const { clock, processes, currentWindow, collect, setCoordinators } = fleet;
        await clock.advance(3_000);
        const window = currentWindow();
        processes[5]!.usage.record("a", clock.monotonicNow());
        await clock.advance(600);
        processes[5]!.kill();
        setCoordinators("z", [2, 3]);
        await clock.advance(2_000);
        assert.deepEqual((await collect(2, window)).counts, { a: 1 });
    });

    it("hands over the counts of a process that has ended when its coordinator stops", async () => {
        const { clock, processes, currentWindow, collect, setCoordinators } = createUsageFleet({ size: 6 });
        await clock.advance(3_000);
        const window = currentWindow();
        processes[5]!.usage.record("a", clock.monotonicNow());
        await clock.advance(600);
        processes[5]!.kill();
        processes[1]!.kill();
        setCoordinators("z", [2, 3]);
        const handedOver = processes[0]!.usage.handOver(clock.monotonicNow() + 300);
        await clock.advance(300);
        await handedOver;
        processes[0]!.kill();
        await clock.advance(2_000);
        assert.deepEqual((await collect(2, window)).counts, { a: 1 });
    });

    // Guards against orders of events that were not thought of: each window that is said to be complete must be exact.
    it("collects exact counts whatever the order of restarts, changes of coordinators and lost messages", async () => {
        // 469: both coordinators of a group restarted after the last change of a member's counts.
        for (const seed of [...Array(40).keys(), 469]) {
            const fleet = createUsageFleet({ size: 9, lostFraction: 0.2, seed, zoneOf: index => `z${index % 3}` });
            const { clock, processes, collect } = fleet;
            const random = createSeededRandom(1_000 + seed);
            const pick = (count: number) => Math.floor(random.fraction() * count);
            await clock.advance(windowMilliseconds - clock.wallNow() % windowMilliseconds + 10_050);
            const window = fleet.currentWindow();
            let counted = 0;
            // Processes 0 to 5 are the coordinators; 6 to 8 count, and then the third of each zone takes over.
            for (let step = 0; step < 40; step++) {
                const member = processes[6 + pick(3)]!;
                member.usage.record("a", clock.monotonicNow());
                counted += 1;
                if (random.fraction() < 0.08) {
                    fleet.restart(pick(6));
                }
                if (random.fraction() < 0.05) {
                    const zone = pick(3);
                    fleet.setCoordinators(`z${zone}`, pick(2) === 0 ? [zone, zone + 6] : [zone + 3, zone]);
                }
                await clock.advance(100);
            }
            await clock.advance(windowMilliseconds - 4_000);
            // The next window: the processes go on, and the coordinators change again.
            for (let step = 0; step < 25; step++) {
                processes[6 + pick(3)]!.usage.record("a", clock.monotonicNow());
                if (random.fraction() < 0.08) {
                    fleet.restart(pick(6));
                }
                await clock.advance(100);
            }
            let collected = await collect(6, window);
            for (let retry = 0; retry < 8 && !collected.isComplete; retry++) {
                collected = await collect(6, window);
            }
            assert.deepEqual(collected, { counts: { a: counted }, isComplete: true }, `seed ${seed}`);
        }
    });
});
