import { type EventFields, type EventKind, type EventLog, hashTextTo32Bits } from "daisyturn-utils";

/**
 * The decisions that touched one call, kept until its end is known. A call that failed or came late is logged whole, an
 * ordinary one only if it is among those sampled: so the log of any failed call is complete, and what succeeds costs
 * nearly nothing.
 */
export interface RequestTrace {
    record(kind: EventKind, fields: EventFields): void;
    /** Fields that the last line repeats, so that it tells why the call ended even where the lines before it were dropped. */
    addSummaryFields(fields: EventFields): void;
    /** Notes how the call ended. */
    recordEnd(kind: EventKind, fields: EventFields): void;
    /** Logs what was noted, or forgets it. */
    end(isOrdinary: boolean): void;
}

/** Every so many-th ordinary call is logged, where nothing else is set. */
export const defaultSampledCalls = 64;
/** Decisions kept of one call; a call is tried a few times at most. */
const maxEntries = 24;

interface TraceEntry {
    readonly kind: EventKind;
    readonly fields: EventFields;
}

/** What {@link createRequestTrace} needs. */
export interface RequestTraceOptions {
    readonly eventLog: EventLog;
    /** Every so many-th ordinary call is logged; chosen by its identifier, so that all processes choose the same. */
    readonly sampledCalls: number;
    readonly callId: string;
    /** Monotonic time, as told by `now`. */
    readonly arrivedAt: number;
    readonly now: () => number;
}

/** Creates the trace of one call. */
export function createRequestTrace(options: RequestTraceOptions): RequestTrace {
    const { eventLog, sampledCalls, callId, arrivedAt, now } = options;
    const entries: TraceEntry[] = [];
    const isSampled = hashTextTo32Bits(callId) % sampledCalls === 0;
    let summaryFields: EventFields = {};
    const record = (kind: EventKind, fields: EventFields) => {
        if (entries.length < maxEntries) {
            entries.push({ kind, fields: { request: callId, after: Math.round(now() - arrivedAt), ...fields } });
        }
    };
    return {
        record,
        addSummaryFields: fields => {
            summaryFields = { ...summaryFields, ...fields };
        },
        recordEnd: (kind, fields) => record(kind, { ...fields, ...summaryFields }),
        end: isOrdinary => {
            if (!isOrdinary || isSampled) {
                entries.forEach(({ kind, fields }) => eventLog.record(kind, fields));
            }
        },
    };
}
