import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import type { HeaderFields } from "../../ports/forwardedCall.js";

/** Passes a stream of events on to the caller, whole events only, over one or more targets. */
export interface EventRelay {
    /** Takes bytes of the stream; the head is sent with the first whole event. */
    write(status: number, fields: HeaderFields, piece: Buffer): void;
    /** Identifier of the last event that was passed on. */
    lastEventId(): string | undefined;
    hasStarted(): boolean;
    /** Drops the beginning of an event that a broken stream has left, before another target goes on. */
    discardPartialEvent(): void;
    /** The target has ended its stream as complete: what is left is passed on, and the answer ends. */
    end(status: number, fields: HeaderFields): void;
}

const eventEnd = Buffer.from("\n\n");
const idField = /^id: ?(.*)$/gm;

/** Creates the relay of one answer. */
export function createEventRelay(exchange: ForwardExchange): EventRelay {
    let partial: Buffer | undefined;
    let lastEventId: string | undefined;

    const forward = (status: number, fields: HeaderFields, events: Buffer) => {
        if (!exchange.isHeadSent()) {
            exchange.begin(status, fields);
        }
        exchange.write(events);
    };

    const recordEventIds = (events: Buffer) => {
        for (const match of events.toString("latin1").matchAll(idField)) {
            lastEventId = match[1]?.trim();
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
