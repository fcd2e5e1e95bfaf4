import type { LineProblem, TimedEvent } from "./timedEvent.js";

/** Number of events of one log that are buffered for sorting. */
const maxBufferedEvents = 200;

/**
 * Sorts the events of one log by their stamps with a bounded buffer. A log of several processes, or of a process that
 * was restarted after its clock was set back, is out of order. An event that is too late for the buffer is reported as
 * a problem and yielded out of order.
 */
export async function* orderEvents(
    events: AsyncIterable<TimedEvent>,
    onProblem: (problem: LineProblem) => void,
): AsyncGenerator<TimedEvent> {
    const buffered: TimedEvent[] = [];
    let last = "";
    const release = () => {
        const event = buffered.shift();
        if (event && event.stamp < last) {
            onProblem({
                source: event.source,
                line: event.line,
                problem: "out of order; pass the log of each process as a separate file",
            });
        }
        last = event && event.stamp > last ? event.stamp : last;
        return event;
    };
    for await (const event of events) {
        insert(buffered, event);
        const released = buffered.length > maxBufferedEvents ? release() : undefined;
        if (released) {
            yield released;
        }
    }
    for (let event = release(); event; event = release()) {
        yield event;
    }
}

/** Searches from the end, where most events belong; events with equal stamps stay in the order of the log. */
function insert(buffered: TimedEvent[], event: TimedEvent): void {
    let at = buffered.length;
    while (at > 0 && (buffered[at - 1]?.stamp ?? "") > event.stamp) {
        at -= 1;
    }
    buffered.splice(at, 0, event);
}
