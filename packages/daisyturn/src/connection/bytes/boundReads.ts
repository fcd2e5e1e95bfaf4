import type { Duplex } from "node:stream";
import type { ByteSource } from "../../process/forwarding/index.js";
import type { ReadTurns } from "./createReadTurns.js";

/** What is done beside the reads of a connection. */
export interface ReadObserver {
    /** Called before each read, when what was read before has been processed. False if no more is to be read. */
    readonly beforeRead?: () => boolean;
    readonly onRead?: (byteCount: number) => void;
}

/** Reads of a connection that are bounded. */
export interface BoundReads {
    /** Reads what is buffered, after `beforeRead` had refused it. */
    resume(): void;
    /** Gives the connection its full credit, for another answer. */
    renew(): void;
}

/** Stands for the absence of bytes in a Node.js stream. */
const noBytes = null; // eslint-disable-line no-restricted-syntax

/**
 * Bounds what a parser reads of a connection in a turn of the event loop. What is not read stays in the buffer of the
 * stream, which holds back the sender, and the stream emits `end` only after it.
 */
export function boundReads(
    stream: Duplex,
    turns: ReadTurns,
    source: ByteSource,
    observer: ReadObserver = {},
): BoundReads {
    const read = stream.read.bind(stream) as (size?: number) => Buffer | null;
    let lastBytes = 0;
    const resume = () => {
        if (!stream.destroyed && stream.readableLength > 0) {
            stream.emit("readable");
        }
    };
    const turn = turns.join(source, resume);
    stream.read = (size?: number) => {
        if (size === 0) {
            return read(0);
        }
        turn.end(lastBytes);
        lastBytes = 0;
        const mayRead = observer.beforeRead?.() !== false;
        // The stream emits `end` only if it is read once nothing is buffered.
        if (stream.readableLength === 0) {
            return read(size);
        }
        if (!mayRead) {
            return noBytes;
        }
        const maxBytes = turn.begin();
        if (maxBytes === 0) {
            return noBytes;
        }
        const bytes = read(Math.min(size ?? Infinity, maxBytes, stream.readableLength));
        lastBytes = bytes?.length ?? 0;
        observer.onRead?.(lastBytes);
        return bytes;
    };
    stream.once("close", turn.leave);
    return { resume, renew: turn.renew };
}
