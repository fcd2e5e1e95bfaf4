import { FakeClock, MemoryEventLog } from "daisyturn-utils";
import type { ListedTarget } from "../../../../ports/listedTarget.js";
import { createTargetSpeeds } from "../createTargetSpeeds.js";

/** Creates a listed plain target with 6 slots. */
export function createPlainTarget(name: string, changes: Partial<ListedTarget> = {}): ListedTarget {
    return {
        targetId: name,
        name,
        service: "plain",
        address: "10.0.0.1:80",
        availabilityZone: "zone-0",
        slots: 6,
        isLeaving: false,
        softwareVersion: "",
        ...changes,
    };
}

/** Creates the estimates of one process with a fake clock. */
export function createSpeedBench(names: readonly string[] = ["a", "b", "c"]) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const listed = names.map(name => createPlainTarget(name));
    const speeds = createTargetSpeeds(
        {
            list: () => listed,
            find: id => listed.find(({ targetId }) => targetId === id),
        },
        clock,
        eventLog,
    );
    const report = (index: number, relativeDuration?: number, running = 1) =>
        speeds.recordReport(listed[index]!, { running, waiting: 0, slots: 6, relativeDuration });
    /** Runs one call at each target, with the milliseconds of work and the figure that each reports at its end. */
    const runAll = async (works: readonly number[], figures: readonly (number | undefined)[] = []) => {
        const runs = listed.map(target => speeds.beginRun(target));
        const order = works.map((work, index) => ({ work, index })).sort((left, right) => left.work - right.work);
        let elapsed = 0;
        for (const { work, index } of order) {
            await clock.advance(work - elapsed);
            elapsed = work;
            report(index, figures[index]);
            runs[index]!.end(true);
        }
    };
    return { clock, eventLog, listed, speeds, report, runAll };
}
