import type { Duplex } from "node:stream";

/** What the next byte of an answer belongs to. */
enum AnswerPart {
    Version,
    Status,
    InterimHead,
    /** Nothing of this answer is examined any more. */
    Final,
}

const space = 0x20;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const zero = 0x30;
const one = 0x31;
const two = 0x32;
const statusDigits = 3;

/**
 * Lets undici read past a 100 answer, which it takes for an error unless the request asked for one: its status is read as
 * 102, which undici passes on like any other interim answer. RFC 9110, section 15.2.1, lets a server send 100 unasked.
 *
 * Each write begins a request, so requests must not be pipelined, nor their bodies be written in several turns.
 */
export function readPastContinue(socket: Duplex): void {
    const scanner = createHeadScanner();
    const write = socket.write.bind(socket) as (...parameters: unknown[]) => boolean;
    const read = socket.read.bind(socket);
    socket.write = (...parameters: unknown[]) => {
        scanner.begin();
        return write(...parameters);
    };
    socket.read = size => {
        const bytes = read(size) as Buffer | null;
        if (bytes) {
            scanner.scan(bytes);
        }
        return bytes;
    };
}

/** Finds the status lines of interim answers, whatever the pieces in which they arrive. */
function createHeadScanner() {
    let part = AnswerPart.Final;
    let status: number[] = [];
    let lineLength = 0;

    const begin = () => {
        part = AnswerPart.Version;
        status = [];
    };

    const readStatusDigit = (bytes: Buffer, index: number) => {
        const [first, second] = status;
        const digit = bytes[index] ?? 0;
        if (first === one && second === zero && digit === zero) {
            bytes[index] = two;
        }
        status.push(digit);
        if (status.length === statusDigits) {
            part = first === one ? AnswerPart.InterimHead : AnswerPart.Final;
            lineLength = statusDigits;
        }
    };

    const readHeadByte = (byte: number) => {
        if (byte === lineFeed) {
            if (lineLength === 0) {
                begin();
            }
            lineLength = 0;
        }
        else if (byte !== carriageReturn) {
            lineLength += 1;
        }
    };

    const scan = (bytes: Buffer) => {
        for (let index = 0; index < bytes.length && part !== AnswerPart.Final; index++) {
            const byte = bytes[index] ?? 0;
            if (part === AnswerPart.Status) {
                readStatusDigit(bytes, index);
            }
            else if (part === AnswerPart.InterimHead) {
                readHeadByte(byte);
            }
            else if (byte === space) {
                part = AnswerPart.Status;
            }
        }
    };

    return { begin, scan };
}
