import type { LineProblem, TimedEvent } from "./timedEvent.js";

/** Events of one log that are held back to be put in order. */
const heldEvents = 200;

/**
 * Puts the events of one log in the order of their stamps, as far as it takes no more than some held back. A log of
 * several processes, or of a process that was restarted after its clock was set back, is out of order; what comes later
 * than that is told and kept where it stands.
 */
export async function* orderEvents(
    events: AsyncIterable<TimedEvent>,
    onBroken: (broken: LineProblem) => void,
): AsyncGenerator<TimedEvent> {
    const held: TimedEvent[] = [];
    let last = "";
    const release = () => {
        const event = held.shift();
        if (event && event.stamp < last) {
            onBroken({
                source: event.source,
                line: event.line,
                problem: "out of order; give each process's log alone",
            });
        }
        last = event && event.stamp > last ? event.stamp : last;
        return event;
    };
    for await (const event of events) {
        insert(held, event);
        const released = held.length > heldEvents ? release() : undefined;
        if (released) {
            yield released;
        }
    }
    for (let event = release(); event; event = release()) {
        yield event;
    }
}

/** From the end, where nearly every event belongs; equal stamps stay in the order of the log. */
function insert(held: TimedEvent[], event: TimedEvent): void {
    let at = held.length;
    while (at > 0 && (held[at - 1]?.stamp ?? "") > event.stamp) {
        at -= 1;
    }
    held.splice(at, 0, event);
}
