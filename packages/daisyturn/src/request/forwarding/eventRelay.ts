import { createByteCollector } from "../../connection/bytes/createByteCollector.js";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import type { HeaderFields } from "../../ports/forwardedCall.js";

/** Relays a stream of events from one or more targets to the caller. Only complete events are relayed. */
export interface EventRelay {
    /** Receives bytes of the stream. The head is sent with the first complete event. */
    write(status: number, fields: HeaderFields, piece: Buffer): void;
    /** Identifier of the last event that was relayed. */
    lastEventId(): string | undefined;
    /** Whether the head was sent to the caller. */
    hasStarted(): boolean;
    /** Whether an event has begun and is not complete. */
    hasPartialEvent(): boolean;
    /** Bytes of the event that is not complete. */
    heldBytes(): number;
    /** Discards the incomplete event of a broken stream, before another target continues it. */
    discardPartialEvent(): void;
    /** Relays the remaining bytes of a stream that its target has completed, and ends the answer. */
    end(status: number, fields: HeaderFields): void;
}

const eventEnd = Buffer.from("\n\n");
const idField = Buffer.from("id:");
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Creates the relay of one answer.
 * @param onStart called before the first byte is sent to the caller
 */
export function createEventRelay(exchange: ForwardExchange, onStart: () => void): EventRelay {
    /** The event that is not complete. The sender of the stream bounds it by `heldBytes`. */
    const partial = createByteCollector({ maxBytes: Infinity });
    let lastHeldByte: number | undefined;
    let lastEventId: string | undefined;

    const forward = (status: number, fields: HeaderFields, events: Buffer) => {
        if (!exchange.isHeadSent()) {
            onStart();
            exchange.begin(status, fields);
        }
        exchange.write(events);
    };

    /** Number of bytes of a piece up to the end of its last event, which may have begun in the piece before. */
    const countCompleteBytes = (piece: Buffer) => {
        const end = piece.lastIndexOf(eventEnd);
        if (end >= 0) {
            return end + eventEnd.length;
        }
        return partial.byteCount() > 0 && lastHeldByte === lineFeed && piece[0] === lineFeed ? 1 : 0;
    };

    const hold = (piece: Buffer) => {
        partial.add(piece);
        lastHeldByte = piece.at(-1) ?? lastHeldByte;
    };

    const takePartial = (rest: Buffer) => {
        if (partial.byteCount() === 0) {
            return rest;
        }
        partial.add(rest);
        const bytes = partial.join();
        partial.clear();
        return bytes;
    };

    /** Reads the last identifier among the events. */
    const recordEventIds = (events: Buffer) => {
        let start = events.lastIndexOf(idField);
        while (start > 0 && !isLineEnd(events[start - 1])) {
            start = events.lastIndexOf(idField, start - 1);
        }
        if (start >= 0) {
            const valueStart = start + idField.length;
            let end = valueStart;
            while (end < events.length && !isLineEnd(events[end])) {
                end += 1;
            }
            lastEventId = events.toString("latin1", valueStart, end).trim();
        }
    };

    return {
        write: (status, fields, piece) => {
            const completeBytes = countCompleteBytes(piece);
            if (completeBytes === 0) {
                hold(piece);
                return;
            }
            const events = takePartial(piece.subarray(0, completeBytes));
            hold(piece.subarray(completeBytes));
            recordEventIds(events);
            forward(status, fields, events);
        },
        lastEventId: () => lastEventId,
        hasStarted: () => exchange.isHeadSent(),
        hasPartialEvent: () => partial.byteCount() > 0,
        heldBytes: partial.byteCount,
        discardPartialEvent: partial.clear,
        end: (status, fields) => {
            if (partial.byteCount() > 0 || !exchange.isHeadSent()) {
                forward(status, fields, takePartial(Buffer.alloc(0)));
            }
            exchange.end();
        },
    };
}

function isLineEnd(byte: number | undefined): boolean {
    return byte === lineFeed || byte === carriageReturn;
}
