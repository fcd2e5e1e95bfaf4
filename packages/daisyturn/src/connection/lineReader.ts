import { err, ok, type Result } from "true-myth/result";
import { createByteCollector } from "./bytes/createByteCollector.js";

const lineFeed = 0x0a;

/** Why a stream can't be read any further. */
export enum LineFault {
    TooLong = "too_long",
    NotUtf8 = "not_utf8",
}

/** Splits a stream of bytes into lines. */
export interface LineReader {
    /** Adds bytes. Returns the lines that they complete, without line feeds, or a fault that ends the stream. */
    push(chunk: Uint8Array): Result<readonly string[], LineFault>;
    /** Sets the limit for lines that are not yet complete. */
    setMaxBytes(maxBytes: number): void;
}

/**
 * Creates a reader of one stream.
 * @param maxBytes maximum length of a line, without its line feed; the reader never buffers more
 */
export function createLineReader(maxBytes: number): LineReader {
    const decoder = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });
    let limit = maxBytes;
    /** Bytes of a line that is not complete yet. */
    const pending = createByteCollector({ maxBytes: Infinity });

    const drainLine = (rest: Buffer): string => {
        if (pending.byteCount() === 0) {
            return decoder.decode(rest);
        }
        pending.add(rest);
        const line = decoder.decode(pending.join());
        pending.clear();
        return line;
    };

    const push = (bytes: Uint8Array): Result<readonly string[], LineFault> => {
        const chunk = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
        const lines: string[] = [];
        let start = 0;
        for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, start)) {
            if (pending.byteCount() + end - start > limit) {
                return err(LineFault.TooLong);
            }
            try {
                lines.push(drainLine(chunk.subarray(start, end)));
            }
            catch {
                return err(LineFault.NotUtf8);
            }
            start = end + 1;
        }
        const rest = chunk.subarray(start);
        if (pending.byteCount() + rest.length > limit) {
            return err(LineFault.TooLong);
        }
        pending.add(rest);
        return ok(lines);
    };

    return {
        push,
        setMaxBytes: value => {
            limit = value;
        },
    };
}
