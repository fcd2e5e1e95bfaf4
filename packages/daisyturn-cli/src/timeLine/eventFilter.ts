import type { TimedEvent } from "./timedEvent.js";

/** Criteria for events of the time line; an event must match all that are given. */
export interface EventFilter {
    readonly request?: string;
    readonly engine?: string;
    /** Process id of an entry process. */
    readonly process?: string;
    /** Id of the VM that a process logged at its start. */
    readonly vm?: string;
    readonly profile?: string;
    readonly partner?: string;
    readonly kind?: string;
    /** Wall-clock times in milliseconds, both inclusive. */
    readonly from?: number;
    readonly until?: number;
}

/**
 * Creates the predicate of a filter. It must be called with all events in order, because only the first event of an
 * incarnation contains its VM. A process filter also matches events of other processes about that process.
 */
export function createEventFilter(filter: EventFilter): (event: TimedEvent) => boolean {
    const vmByIncarnation = new Map<string, string>();

    const findVm = (event: TimedEvent) => {
        const incarnationKey = `${event.process}/${event.incarnation}`;
        const vm = event.fields["vm"];
        if (vm !== undefined) {
            vmByIncarnation.set(incarnationKey, vm);
        }
        return vmByIncarnation.get(incarnationKey);
    };

    return event => matchesVm(filter, findVm(event)) && matchesFields(event, filter);
}

function matchesVm(filter: EventFilter, vm: string | undefined): boolean {
    return filter.vm === undefined || filter.vm === vm;
}

function matchesFields(event: TimedEvent, filter: EventFilter): boolean {
    const { fields } = event;
    const matches = (expected: string | undefined, ...values: (string | undefined)[]) =>
        expected === undefined || values.includes(expected);
    return matches(filter.request, fields["request"], fields["call"])
        && matches(filter.engine, fields["engine"], fields["target"])
        && matches(filter.process, event.process, fields["peer"])
        && matches(filter.profile, fields["profile"])
        && matches(filter.partner, fields["partner"])
        && matches(filter.kind, event.kind)
        && event.at >= (filter.from ?? Number.NEGATIVE_INFINITY)
        && event.at <= (filter.until ?? Number.POSITIVE_INFINITY);
}
