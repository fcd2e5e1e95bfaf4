import { createHybridLogicalClock, createLogfmtEventLog, FakeClock, type HybridLogicalClock } from "daisyturn-utils";

/** Creates the event log and clock of a process; the log is kept in memory. */
export function createLoggedProcess(processId: string, clock: FakeClock) {
    const hybridClock: HybridLogicalClock = createHybridLogicalClock(clock);
    let text = "";
    const eventLog = createLogfmtEventLog({
        processId,
        incarnation: `${processId}-run`,
        hybridClock,
        writeLine: line => {
            text += line;
        },
    });
    return { eventLog, hybridClock, text: () => text };
}
