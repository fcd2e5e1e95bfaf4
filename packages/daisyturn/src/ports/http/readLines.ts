import { createByteCollector } from "../../connection/bytes/createByteCollector.js";

const lineFeed = 0x0a;

/** Thrown when a line exceeds the maximum length. */
export class LineTooLongError extends Error {}

/**
 * Splits a body into lines. Bytes after the last line feed are dropped. The caller detects a truncated body by the
 * missing end event.
 * @param maxBytes maximum length of a line
 */
export async function* readLines(body: AsyncIterable<Buffer>, maxBytes: number): AsyncGenerator<string> {
    const rest = createByteCollector({ maxBytes });
    const append = (piece: Buffer) => {
        if (rest.add(piece)) {
            throw new LineTooLongError(`A line exceeds ${maxBytes} bytes.`);
        }
    };
    for await (const chunk of body) {
        let start = 0;
        for (let end = chunk.indexOf(lineFeed); end !== -1; end = chunk.indexOf(lineFeed, start)) {
            append(chunk.subarray(start, end));
            yield rest.join().toString("utf8");
            rest.clear();
            start = end + 1;
        }
        append(chunk.subarray(start));
    }
}
