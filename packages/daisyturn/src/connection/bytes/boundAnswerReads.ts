import type { Socket } from "node:net";
import { ByteSource } from "../../process/forwarding/index.js";
import { type BoundReads, boundReads } from "./boundReads.js";
import type { ReadTurns } from "./createReadTurns.js";

/** Reads of a connection to a target that are bounded. */
export interface AnswerReads extends BoundReads {
    /** Records that all bytes so far belong to the request before, or to the head or the body of a final answer. */
    recordDelivered(): void;
}

/** More than the head of an answer, and than the framing of chunks that arrive together. */
const maxUndeliveredBytes = 512 * 1024;

/** Bounds the reads of a connection. The parser bounds neither the text of a status line nor the extensions of chunks. */
export function boundAnswerReads(opened: Socket, turns: ReadTurns, beforeRead: () => boolean): AnswerReads {
    let undeliveredBytes = 0;
    const onRead = (byteCount: number) => {
        undeliveredBytes += byteCount;
        if (undeliveredBytes > maxUndeliveredBytes) {
            opened.destroy(new Error("The target sends bytes that are no answer."));
        }
    };
    return {
        ...boundReads(opened, turns, ByteSource.Target, { beforeRead, onRead }),
        recordDelivered: () => {
            undeliveredBytes = 0;
        },
    };
}
