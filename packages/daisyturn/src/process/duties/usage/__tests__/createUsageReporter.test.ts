import { createIdSource, EventKind } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DutyAnswer, type UsageReport } from "../../../../ports/duties/fleetDuties.js";
import { CallFault, CallKind } from "../../../orders/__fixtures__/processHost.js";
import { createDutyFleet, type DutyProcess } from "../../__fixtures__/dutyFleet.js";
import { createUsageReporter } from "../createUsageReporter.js";

const windowMilliseconds = 5_000;
const dueMilliseconds = 10_000;

/** Creates a fleet whose windows have the counts that `count` returns at the moment. */
function createReportingFleet(
    count: (window: number) => ReadonlyMap<string, number>,
    isComplete: (window: number) => boolean = () => true,
) {
    const fleet = createDutyFleet();
    const clockError = { milliseconds: 0, isAgreed: true };
    const { clock, received } = fleet;
    const startReporter = (process: DutyProcess) => {
        const stopper = new AbortController();
        const { host } = process;
        const reporter = createUsageReporter({
            calls: process.calls,
            exchange: {
                collect: async window => {
                    await host.clock.sleepUntil(host.clock.monotonicNow() + 100);
                    return { counts: count(window), isComplete: isComplete(window) };
                },
                time: {
                    at: monotonic => monotonic + clock.wallNow() - clock.monotonicNow() + clockError.milliseconds,
                    isAgreed: () => clockError.isAgreed,
                },
            },
            storeClient: process.storeClient,
            windowMilliseconds,
            dueMilliseconds,
            ids: createIdSource(`${process.name}-${received.length}`),
            clock: host.clock,
            eventLog: process.eventLog,
        });
        void reporter.run(stopper.signal);
    };
    const listVersions = () => {
        const versions = new Map<number, Set<string>>();
        for (const { call } of received) {
            const { window, counts } = call as UsageReport;
            versions.set(window, (versions.get(window) ?? new Set()).add(JSON.stringify([...counts])));
        }
        return versions;
    };
    return { ...fleet, startReporter, listVersions, clockError };
}

describe("createUsageReporter", () => {
    it("reports each window once, with one write to the store for each", async () => {
        const { clock, start, startReporter, listVersions, received } = createReportingFleet(() => new Map([["a", 3]]));
        const process = start("a", () => true);
        startReporter(process);
        await clock.advance(31_600);
        const before = process.host.callCount();
        await clock.advance(50_000);
        const versions = listVersions();
        assert.equal(received.length, versions.size);
        assert.ok(process.host.callCount() - before <= 50 + 10 + 10, "renewals, writes and the platform's calls");
        const windows = [...versions.keys()];
        assert.ok(windows.every((window, index) => index === 0 || window === windows[index - 1]! + 1));
        assert.equal(process.eventLog.of(EventKind.UsageReported).length, received.length);
    });

    it("does not report windows without counts", async () => {
        const { clock, start, startReporter, received } = createReportingFleet(() => new Map());
        startReporter(start("a", () => true));
        await clock.advance(30_000);
        assert.equal(received.length, 0);
    });

    // Another holder may know other counts by then, and the platform may have received the first ones.
    it("sends the stored counts again after the holder is killed or the answer is lost", async () => {
        for (const fault of [CallFault.KillBefore, CallFault.KillAfter, CallFault.LoseAnswer, CallFault.LoseCall]) {
            let amount = 0;
            const counts = () => new Map([["a", ++amount]]);
            const { clock, start, startReporter, listVersions, received } = createReportingFleet(counts);
            const first = start("a", () => true);
            startReporter(first);
            await clock.advance(4_000);
            first.host.failNext(CallKind.EngineOrder, fault);
            await clock.advance(6_000);
            startReporter(start("b", () => first.host.isDead()));
            await clock.advance(30_000);
            const versions = listVersions();
            const windows = [...versions.keys()].sort((left, right) => left - right);
            assert.ok([...versions.values()].every(({ size }) => size === 1), `${fault}: ${received.length} calls`);
            assert.equal(windows.at(-1)! - windows[0]! + 1, windows.length, `${fault}: a window is missing`);
            const last = Math.floor((clock.wallNow() - 2_000) / windowMilliseconds) - 1;
            assert.ok(windows.at(-1)! >= last - 1, `${fault}: reports have stopped`);
        }
    });

    it("sends nothing while the store is silent, and the windows in order afterwards", async () => {
        const { clock, start, startReporter, received, listVersions } = createReportingFleet(() => new Map([["a", 1]]));
        const process = start("a", () => true);
        startReporter(process);
        await clock.advance(20_000);
        process.host.cutOff(CallKind.Store, true);
        await clock.advance(1_000);
        const before = received.length;
        await clock.advance(15_000);
        assert.equal(received.length, before);
        process.host.cutOff(CallKind.Store, false);
        await clock.advance(20_000);
        const windows = [...listVersions().keys()];
        assert.ok(
            windows.every((window, index) => index === 0 || window === windows[index - 1]! + 1),
            windows.join(" "),
        );
        assert.ok(windows.length >= 7);
    });

    it("sends the same counts again after the platform refused them because of its rate", async () => {
        const { clock, start, startReporter, listVersions, setAnswer, received } = createReportingFleet(
            () => new Map([["a", received.length + 1]]),
        );
        setAnswer(() => Promise.resolve(received.length % 3 === 0 ? DutyAnswer.Accepted : DutyAnswer.Throttled));
        startReporter(start("a", () => true));
        await clock.advance(40_000);
        assert.ok(received.length > listVersions().size);
        assert.ok([...listVersions().values()].every(({ size }) => size === 1));
    });

    // A report would be stored without the counts of a group, and could not be corrected.
    it("waits for groups that have not answered, up to shortly before the report is due", async () => {
        for (const answeredAfter of [5_000, Infinity]) {
            let endOfWait = Infinity;
            const isComplete = () => clock.monotonicNow() >= endOfWait;
            const { clock, start, startReporter, received } = createReportingFleet(
                () => new Map([["a", isComplete() ? 2 : 1]]),
                isComplete,
            );
            startReporter(start("a", () => true));
            await clock.advance(60_000);
            const { window } = received.at(-1)!.call as UsageReport;
            await clock.advance((window + 2) * windowMilliseconds - clock.wallNow());
            endOfWait = clock.monotonicNow() + answeredAfter;
            await clock.advance(9_000);
            const report = received.find(({ call }) => (call as UsageReport).window === window + 1)!;
            const expected = answeredAfter === Infinity ? 1 : 2;
            assert.deepEqual([...(report.call as UsageReport).counts], [["a", expected]]);
            assert.ok(report.at < clock.monotonicNow() - 1_000, "sent within 8 s after the end of the window");
        }
    });

    // Each of the overdue windows would wait anew, and those that are not overdue yet would become so.
    it("catches up with overdue windows while a group stays silent", async () => {
        const { clock, start, startReporter, received } = createReportingFleet(() => new Map([["a", 1]]), () => false);
        await clock.advance(60_000);
        startReporter(start("a", () => true));
        await clock.advance(10_000);
        const last = received.at(-1)?.call as UsageReport | undefined;
        const due = Math.floor((clock.wallNow() - dueMilliseconds) / windowMilliseconds) - 1;
        assert.ok(last && last.window >= due, `${last?.window} of ${due}`);
    });

    // A holder that no group answers knows no counts, which does not mean that there are none.
    it("does not take a window without answers for one without counts", async () => {
        let isAnswered = false;
        const { clock, start, startReporter, received } = createReportingFleet(
            () => new Map(isAnswered ? [["a", 1]] : []),
            () => isAnswered,
        );
        startReporter(start("a", () => true));
        await clock.advance(windowMilliseconds - clock.wallNow() % windowMilliseconds + windowMilliseconds + 6_000);
        const window = Math.floor(clock.wallNow() / windowMilliseconds) - 2;
        isAnswered = true;
        await clock.advance(3_000);
        assert.ok(received.some(({ call }) => (call as UsageReport).window === window));
    });

    // A process that started with a wrong clock would store windows that have not ended.
    it("reports nothing before the fleet has agreed on a time", async () => {
        const { clock, start, startReporter, received, clockError } = createReportingFleet(() => new Map([["a", 1]]));
        Object.assign(clockError, { milliseconds: 9_000, isAgreed: false });
        startReporter(start("a", () => true));
        await clock.advance(6_000);
        assert.equal(received.length, 0);
        Object.assign(clockError, { milliseconds: 0, isAgreed: true });
        await clock.advance(10_000);
        assert.ok(received.length > 0);
        received.forEach(({ at, call }) => {
            const receivedAt = clock.wallNow() - clock.monotonicNow() + at;
            assert.ok(receivedAt >= ((call as UsageReport).window + 1) * windowMilliseconds);
        });
    });
});
