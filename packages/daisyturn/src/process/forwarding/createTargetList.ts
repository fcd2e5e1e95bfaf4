import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { FeedRow } from "../../ports/changeFeed.js";
import type { ListedTarget } from "../../ports/listedTarget.js";
import type { TableFollower } from "./followTable.js";

/** The targets that the platform lists, as this process last saw them. */
export interface TargetList extends TableFollower {
    /** Targets of a service that take new work. */
    open(service: string): readonly ListedTarget[];
    /** Whether new work may still go to a target; asked again right before each send. */
    isOpen(targetId: string): boolean;
    /** A listed target, leaving or not. */
    find(targetId: string): ListedTarget | undefined;
    /** Whether the list was read at least once. */
    isKnown(): boolean;
    /** Tells of each call to the store, so that lapses during an outage are known as such. */
    noteStoreCall(isAnswered: boolean): void;
    /** Called once a target is gone for good. */
    onGone(listener: (targetId: string) => void): void;
}

/** What {@link createTargetList} needs. */
export interface TargetListOptions {
    /** Throws where the text is no target. */
    readonly decode: (targetId: string, text: string) => ListedTarget;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/**
 * Entries lapse while the store is away, and targets that live are back about two seconds after its return. Until
 * then a missing entry says nothing.
 */
const returnMilliseconds = 2_200;

/** Creates the list. */
export function createTargetList(options: TargetListOptions): TargetList {
    const { clock, eventLog } = options;
    const targets = new Map<string, ListedTarget>();
    /** Targets whose entry has lapsed, and the monotonic time at which they count as gone. */
    const lapsed = new Map<string, number>();
    const goneListeners: ((targetId: string) => void)[] = [];
    let openByService = new Map<string, ListedTarget[]>();
    let isKnown = false;
    let lastFailureAt = -Infinity;

    const index = () => {
        openByService = new Map();
        for (const target of targets.values()) {
            if (!target.isLeaving) {
                const group = openByService.get(target.service) ?? [];
                group.push(target);
                openByService.set(target.service, group);
            }
        }
    };

    const remove = (targetId: string) => {
        const graceEnd = lastFailureAt + returnMilliseconds;
        if (graceEnd > clock.monotonicNow()) {
            lapsed.set(targetId, graceEnd);
            return;
        }
        forget(targetId, "entry removed");
    };

    const forget = (targetId: string, reason: string) => {
        lapsed.delete(targetId);
        if (targets.delete(targetId)) {
            eventLog.record(EventKind.TargetGone, { target: targetId, reason });
            goneListeners.forEach(listener => listener(targetId));
        }
    };

    const put = (row: FeedRow) => {
        if (row.text === undefined) {
            remove(row.key);
            return;
        }
        try {
            const target = options.decode(row.key, row.text);
            const known = targets.get(row.key);
            targets.set(row.key, target);
            lapsed.delete(row.key);
            recordChange(known, target);
        }
        catch (error) {
            eventLog.record(EventKind.Fault, { target: row.key, reason: `unreadable entry: ${String(error)}` });
        }
    };

    const recordChange = (known: ListedTarget | undefined, target: ListedTarget) => {
        if (known?.isLeaving !== target.isLeaving || known.stage !== target.stage) {
            eventLog.record(EventKind.TargetListed, {
                target: target.targetId,
                service: target.service,
                address: target.address,
                leaving: target.isLeaving,
                stage: target.stage,
            });
        }
    };

    /** Looked at on use, so that no timer has to run. */
    const dropLapsed = () => {
        if (lapsed.size === 0) {
            return;
        }
        const now = clock.monotonicNow();
        const due = [...lapsed].filter(([, goneAt]) => goneAt <= now);
        due.forEach(([targetId]) => forget(targetId, "entry did not come back after the outage"));
        if (due.length > 0) {
            index();
        }
    };

    return {
        open: service => {
            dropLapsed();
            return openByService.get(service) ?? [];
        },
        isOpen: targetId => {
            dropLapsed();
            return targets.get(targetId)?.isLeaving === false;
        },
        find: targetId => targets.get(targetId),
        isKnown: () => isKnown,
        noteStoreCall: isAnswered => {
            if (!isAnswered) {
                lastFailureAt = clock.monotonicNow();
            }
        },
        onGone: listener => goneListeners.push(listener),
        replace: rows => {
            isKnown = true;
            const present = new Set(rows.map(row => row.key));
            [...targets.keys()].filter(targetId => !present.has(targetId)).forEach(remove);
            rows.forEach(put);
            index();
        },
        change: rows => {
            rows.forEach(put);
            index();
        },
    };
}
