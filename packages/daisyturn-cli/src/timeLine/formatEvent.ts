import type { TimedEvent } from "./timedEvent.js";

const processWidth = 12;
const kindWidth = 26;

/** Formats an event as one line: time of day, process, kind of event, fields. */
export function formatEvent(event: TimedEvent): string {
    const time = new Date(event.at).toISOString().slice("yyyy-mm-ddT".length, -1);
    return `${time} ${event.process.padEnd(processWidth)} ${event.kind.padEnd(kindWidth)} ${formatFields(event)}`
        .trimEnd();
}

/** Formats the fields as `name=value`, separated by spaces. */
export function formatFields(event: TimedEvent): string {
    return Object.entries(event.fields).map(([name, value]) => `${name}=${value}`).join(" ");
}
