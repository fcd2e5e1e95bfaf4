import {
    type Clock,
    createBoundedEventLog,
    createHybridLogicalClock,
    createLogfmtEventLog,
    type EventLog,
} from "daisyturn-utils";
import { randomBytes } from "node:crypto";
import { createLogWriter } from "../entry/createLogWriter.js";

/** Log of a process, which can be written to before the settings name the process. */
export interface ProcessLog {
    readonly eventLog: EventLog;
    /** For lines that must not be dropped: the last one of the process. */
    readonly unboundedLog: EventLog;
    /** Identifies this run of the process. */
    readonly incarnation: string;
    /** Sets the name with which later lines are written. */
    setProcessId(processId: string): void;
    /** Writes out buffered lines; must be called before the process ends. */
    flush(): void;
}

const incarnationBytes = 6;
const unknownProcessId = "unknown";

/** Creates a log that writes to `file`, or to standard output if it is undefined. */
export function createProcessLog(clock: Clock, file?: string): ProcessLog {
    let processId = unknownProcessId;
    const incarnation = randomBytes(incarnationBytes).toString("hex");
    const logWriter = createLogWriter(file);
    const lines = createLogfmtEventLog({
        get processId() {
            return processId;
        },
        incarnation,
        hybridClock: createHybridLogicalClock(clock),
        writeLine: logWriter.writeLine,
    });
    return {
        unboundedLog: lines,
        eventLog: createBoundedEventLog(lines, clock),
        incarnation,
        setProcessId: next => {
            processId = next;
        },
        flush: logWriter.flush,
    };
}
