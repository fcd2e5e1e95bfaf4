import { waitingKind } from "daisyturn";
import { type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import Result from "true-myth/result";
import type { EngineSettings } from "../engineOptions.js";
import { cutReaders, type EngineStream, type StreamReader } from "../engineStream.js";

/** Maximum number of cancelled stream ids that are retained to refuse requests that arrive later. */
const maxRememberedCancellations = 4_096;

/** Streams that are running or ended within the retention period. */
export interface StreamTable {
    readonly streamIds: readonly string[];
    has(streamId: string): boolean;
    /** Whether the stream was cancelled, before or after its request arrived. */
    wasCancelled(streamId: string): boolean;
    add(stream: EngineStream): void;
    /** Returns the stream if it can be read from `offset`. */
    find(streamId: string, offset: number): Result<EngineStream, Failure>;
    /** Cancels a stream unless it has ended. */
    cancel(streamId: string): void;
    /** Cuts and removes all streams. */
    drop(): void;
    /** Removes ended streams after the retention period, cancels overdue streams, and writes waiting lines. */
    tidy(now: TidyTimes): void;
}

/** The current time on each clock, in milliseconds. */
export interface TidyTimes {
    readonly simulated: number;
    readonly monotonic: number;
    readonly wall: number;
}

/** Creates an empty table. `removeWork` removes the job of a stream and returns whether there was one. */
export function createStreamTable(
    settings: EngineSettings,
    removeWork: (streamId: string) => boolean,
): StreamTable {
    const streams = new Map<string, EngineStream>();
    const cancelled = new Set<string>();

    const find = (streamId: string, offset: number): Result<EngineStream, Failure> => {
        const stream = streams.get(streamId);
        if (!stream || !(offset >= (stream.request.startOffset ?? 0) && offset <= stream.generatedTokens)) {
            return Result.err(mayHaveRun(FailureReason.NotFound, "No such stream, or not at that offset."));
        }
        return Result.ok(stream);
    };

    const cancel = (streamId: string) => {
        const stream = streams.get(streamId);
        if (stream?.end) {
            return;
        }
        if (stream) {
            removeWork(streamId);
            cutReaders(stream);
            streams.delete(streamId);
        }
        cancelled.add(streamId);
        const [oldest] = cancelled;
        if (cancelled.size > maxRememberedCancellations && oldest !== undefined) {
            cancelled.delete(oldest);
        }
    };

    const drop = () => {
        for (const [streamId, stream] of streams) {
            removeWork(streamId);
            cutReaders(stream);
        }
        streams.clear();
    };

    const tidy = (now: TidyTimes) => {
        for (const [streamId, stream] of streams) {
            if (stream.endedAt !== undefined && stream.endedAt + settings.endedStreamMilliseconds <= now.simulated) {
                streams.delete(streamId);
            }
            else if (stream.end === undefined && now.wall > stream.request.deadline) {
                cancel(streamId);
            }
            else {
                stream.readers.forEach(reader => writeWaiting(stream, reader, now.monotonic));
            }
        }
    };

    const writeWaiting = (stream: EngineStream, reader: StreamReader, monotonicNow: number) => {
        if (monotonicNow - reader.lastWriteAt >= settings.waitingRealMilliseconds) {
            reader.write({ kind: waitingKind, streamId: stream.request.streamId });
            reader.lastWriteAt = monotonicNow;
        }
    };

    return {
        get streamIds() {
            return [...streams.keys()];
        },
        has: streamId => streams.has(streamId),
        wasCancelled: streamId => cancelled.has(streamId),
        add: stream => void streams.set(stream.request.streamId, stream),
        find,
        cancel,
        drop,
        tidy,
    };
}
