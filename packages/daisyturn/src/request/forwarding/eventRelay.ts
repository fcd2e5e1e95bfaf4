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
    let partial: Buffer | undefined;
    let lastEventId: string | undefined;

    const forward = (status: number, fields: HeaderFields, events: Buffer) => {
        if (!exchange.isHeadSent()) {
            onStart();
            exchange.begin(status, fields);
        }
        exchange.write(events);
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
            const bytes = partial ? Buffer.concat([partial, piece]) : piece;
            const end = bytes.lastIndexOf(eventEnd);
            if (end < 0) {
                partial = bytes;
                return;
            }
            const events = bytes.subarray(0, end + eventEnd.length);
            partial = events.length < bytes.length ? bytes.subarray(events.length) : undefined;
            recordEventIds(events);
            forward(status, fields, events);
        },
        lastEventId: () => lastEventId,
        hasStarted: () => exchange.isHeadSent(),
        hasPartialEvent: () => partial !== undefined,
        heldBytes: () => partial?.length ?? 0,
        discardPartialEvent: () => {
            partial = undefined;
        },
        end: (status, fields) => {
            if (partial || !exchange.isHeadSent()) {
                forward(status, fields, partial ?? Buffer.alloc(0));
            }
            exchange.end();
        },
    };
}

function isLineEnd(byte: number | undefined): boolean {
    return byte === lineFeed || byte === carriageReturn;
}
