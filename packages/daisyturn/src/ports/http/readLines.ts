const lineFeed = 0x0a;

/** Thrown when a line exceeds the maximum length. */
export class LineTooLongError extends Error {}

/**
 * Splits a body into lines. Bytes after the last line feed are dropped. The caller detects a truncated body by the
 * missing end event.
 * @param maxBytes maximum length of a line
 */
export async function* readLines(body: AsyncIterable<Buffer>, maxBytes: number): AsyncGenerator<string> {
    let rest: Buffer[] = [];
    let restLength = 0;
    for await (const chunk of body) {
        let start = 0;
        for (let end = chunk.indexOf(lineFeed); end !== -1; end = chunk.indexOf(lineFeed, start)) {
            const piece = chunk.subarray(start, end);
            checkLength(restLength + piece.length, maxBytes);
            yield rest.length === 0 ? piece.toString("utf8") : Buffer.concat([...rest, piece]).toString("utf8");
            rest = [];
            restLength = 0;
            start = end + 1;
        }
        if (start < chunk.length) {
            rest.push(chunk.subarray(start));
            restLength += chunk.length - start;
            checkLength(restLength, maxBytes);
        }
    }
}

function checkLength(length: number, maxBytes: number): void {
    if (length > maxBytes) {
        throw new LineTooLongError(`A line exceeds ${maxBytes} bytes.`);
    }
}
