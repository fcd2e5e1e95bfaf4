import type { Clock } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { type CollectFault, createByteCollector } from "./createByteCollector.js";

/** Pieces that are collected before others have their turn. A stream of small pieces takes about half a millisecond for them. */
const piecesPerTurn = 256;
/** Time left to others after each turn, so that an endless stream of small pieces takes a fraction of the process's time. */
const restMilliseconds = 8;

/**
 * Collects all bytes of a stream. Rejects if the stream fails.
 * @param maxBytes with more bytes, the stream is destroyed and the result is a fault
 */
export async function collectBytes(
    stream: AsyncIterable<Buffer>,
    maxBytes: number,
    clock: Clock,
): Promise<Result<Buffer, CollectFault>> {
    const collector = createByteCollector({ maxBytes });
    let pieceCount = 0;
    for await (const piece of stream) {
        const fault = collector.add(piece);
        if (fault) {
            return err(fault);
        }
        pieceCount += 1;
        if (pieceCount % piecesPerTurn === 0) {
            await clock.sleepUntil(clock.monotonicNow() + restMilliseconds);
        }
    }
    return ok(collector.join());
}
