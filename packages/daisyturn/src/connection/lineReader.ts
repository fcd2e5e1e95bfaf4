import { err, ok, type Result } from "true-myth/result";

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
    let pending: Uint8Array[] = [];
    let pendingBytes = 0;

    const append = (piece: Uint8Array): boolean => {
        pending.push(piece);
        pendingBytes += piece.length;
        return pendingBytes <= limit;
    };

    const drainLine = (): string => {
        const line = decoder.decode(pending.length === 1 ? pending[0] : Buffer.concat(pending));
        pending = [];
        pendingBytes = 0;
        return line;
    };

    const push = (chunk: Uint8Array): Result<readonly string[], LineFault> => {
        const lines: string[] = [];
        let start = 0;
        for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, start)) {
            if (!append(chunk.subarray(start, end))) {
                return err(LineFault.TooLong);
            }
            try {
                lines.push(drainLine());
            }
            catch {
                return err(LineFault.NotUtf8);
            }
            start = end + 1;
        }
        if (start < chunk.length && !append(chunk.subarray(start))) {
            return err(LineFault.TooLong);
        }
        return ok(lines);
    };

    return {
        push,
        setMaxBytes: value => {
            limit = value;
        },
    };
}
