import { type EventFields, type EventKind, type EventLog, hashTextTo32Bits } from "daisyturn-utils";

/**
 * The decisions that touched one call, kept until its end is known. A call that failed or came late is logged whole, an
 * ordinary one only if it is among those sampled: so the log of any failed call is complete, and what succeeds costs
 * nearly nothing.
 */
export interface RequestTrace {
    record(kind: EventKind, fields: EventFields): void;
    /** Fields that the last line repeats, so that it tells why the call ended even where the lines before it were dropped. */
    repeatAtEnd(fields: EventFields): void;
    /** Notes how the call ended. */
    recordEnd(kind: EventKind, fields: EventFields): void;
    /** Logs what was noted, or forgets it. */
    end(isOrdinary: boolean): void;
}

/** Every so many-th ordinary call is logged, where nothing else is set. */
export const defaultSampledCalls = 64;
/** Decisions kept of one call; a call is tried a few times at most. */
const mostNotes = 24;

interface Note {
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
    const notes: Note[] = [];
    const isSampled = hashTextTo32Bits(callId) % sampledCalls === 0;
    let repeated: EventFields = {};
    const record = (kind: EventKind, fields: EventFields) => {
        if (notes.length < mostNotes) {
            notes.push({ kind, fields: { request: callId, after: Math.round(now() - arrivedAt), ...fields } });
        }
    };
    return {
        record,
        repeatAtEnd: fields => {
            repeated = { ...repeated, ...fields };
        },
        recordEnd: (kind, fields) => record(kind, { ...fields, ...repeated }),
        end: isOrdinary => {
            if (!isOrdinary || isSampled) {
                notes.forEach(({ kind, fields }) => eventLog.record(kind, fields));
            }
        },
    };
}
