import { type EventFields, type EventKind, type EventLog, hashTextTo32Bits } from "daisyturn-utils";

/**
 * Buffers the decisions about one call until its outcome is known. The trace of a call that failed or was late is
 * always logged; that of an ordinary call only if the call is sampled. So the log of every failed call is complete, and
 * successful calls cost almost nothing.
 */
export interface RequestTrace {
    record(kind: EventKind, fields: EventFields): void;
    /** Adds fields to the last line, so that it shows why the call ended even if earlier lines were dropped. */
    addSummaryFields(fields: EventFields): void;
    /** Records how the call ended. */
    recordEnd(kind: EventKind, fields: EventFields): void;
    /** Logs the recorded entries, or discards them. */
    end(isOrdinary: boolean): void;
}

/** One in this many ordinary calls is logged by default. */
export const defaultSampledCalls = 64;
/** Entries retained for one call; a call has only a few attempts. */
const maxEntries = 24;

interface TraceEntry {
    readonly kind: EventKind;
    readonly fields: EventFields;
}

/** Options of {@link createRequestTrace}. */
export interface RequestTraceOptions {
    readonly eventLog: EventLog;
    /** One in this many ordinary calls is logged, chosen by its identifier, so that all processes choose the same. */
    readonly sampledCalls: number;
    readonly callId: string;
    /** Monotonic time, on the clock of `now`. */
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
