import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { FeedRow } from "../../../ports/changeFeed.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { TableObserver } from "./watchTable.js";

/** The targets that the platform lists, as this process last saw them. */
export interface TargetList extends TableObserver {
    /** Targets of a service that take new work. */
    open(service: string): readonly ListedTarget[];
    /** Whether new work may still go to a target; asked again right before each send. */
    isOpen(targetId: string): boolean;
    /** A listed target, leaving or not. */
    find(targetId: string): ListedTarget | undefined;
    /** Whether the list was read at least once. */
    isKnown(): boolean;
    /** Tells of each call to the store, so that lapses during an outage are known as such. */
    recordStoreCall(isAnswered: boolean): void;
    /** Called once a target is gone for good, or has started anew: what was believed of it ends. */
    onRemoved(listener: (targetId: string) => void): void;
}

/** What {@link createTargetList} needs. */
export interface TargetListOptions {
    /** Throws where the text is no target. */
    readonly decode: (name: string, text: string) => ListedTarget;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/**
 * Entries lapse while the store is away, and targets that live are back about two seconds after its return. Until
 * then a missing entry says nothing.
 */
const returnMilliseconds = 2_200;
/** Unreadable entries that are told apart in the log; whoever fills the table with others must not fill the log too. */
const mostUnreadable = 64;
const longestLoggedKey = 80;

/** Creates the list. */
export function createTargetList(options: TargetListOptions): TargetList {
    const { clock, eventLog } = options;
    /** By the key of the entry, which is the target's name. */
    const entries = new Map<string, ListedTarget>();
    /** The same targets by the identifier of one start. */
    const targets = new Map<string, ListedTarget>();
    /** Keys whose entry has lapsed, and the monotonic time at which their targets count as gone. */
    const lapsed = new Map<string, number>();
    /** Keys whose entry can't be read: told of once, not at each heartbeat. */
    const unreadable = new Set<string>();
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

    const remove = (key: string, storeFailedAt = lastFailureAt) => {
        unreadable.delete(key);
        const graceEnd = storeFailedAt + returnMilliseconds;
        if (graceEnd > clock.monotonicNow()) {
            lapsed.set(key, graceEnd);
            return;
        }
        forget(key, "entry removed");
    };

    const forget = (key: string, reason: string) => {
        lapsed.delete(key);
        const target = entries.get(key);
        if (target) {
            entries.delete(key);
            targets.delete(target.targetId);
            eventLog.record(EventKind.TargetGone, { target: target.targetId, reason });
            goneListeners.forEach(listener => listener(target.targetId));
        }
    };

    const put = (row: FeedRow, storeFailedAt?: number, isAfterRollback = false) => {
        if (row.text === undefined) {
            remove(row.key, storeFailedAt);
            return;
        }
        try {
            take(row.key, options.decode(row.key, row.text), isAfterRollback);
        }
        catch (error) {
            refuse(row.key, String(error));
        }
    };

    const take = (key: string, target: ListedTarget, isAfterRollback: boolean) => {
        unreadable.delete(key);
        const known = entries.get(key);
        if (known && (known.startedAt ?? 0) > (target.startedAt ?? 0)) {
            // A late entry of the start before: it must not bring back what has ended.
            return;
        }
        if (known && known.targetId !== target.targetId) {
            forget(key, "started anew");
        }
        // The snapshot may predate the start of leaving, so the target stays closed until it reports its state again.
        const isLeaving = target.isLeaving || isAfterRollback && known?.targetId === target.targetId && known.isLeaving;
        const updated = { ...target, isLeaving };
        lapsed.delete(key);
        entries.set(key, updated);
        targets.set(target.targetId, updated);
        recordChange(known, updated);
    };

    /** An entry that is no target's names none to use, whatever it said before. */
    const refuse = (key: string, reason: string) => {
        if (!unreadable.has(key) && unreadable.size < mostUnreadable) {
            unreadable.add(key);
            const target = key.slice(0, longestLoggedKey);
            eventLog.record(EventKind.Fault, { target, reason: `unreadable entry: ${reason}` });
        }
        forget(key, "entry can't be read");
    };

    const recordChange = (known: ListedTarget | undefined, target: ListedTarget) => {
        const isNew = known?.targetId !== target.targetId;
        if (isNew || known.isLeaving !== target.isLeaving || known.stage !== target.stage) {
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
        due.forEach(([key]) => forget(key, "entry did not come back after the outage"));
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
        recordStoreCall: isAnswered => {
            if (!isAnswered) {
                lastFailureAt = clock.monotonicNow();
            }
        },
        onRemoved: listener => goneListeners.push(listener),
        replace: (rows, isAfterRollback = false) => {
            isKnown = true;
            const present = new Set(rows.map(row => row.key));
            [...entries.keys()].filter(key => !present.has(key)).forEach(key => remove(key));
            rows.forEach(row => put(row, undefined, isAfterRollback));
            index();
        },
        change: (rows, storeFailedAt) => {
            rows.forEach(row => put(row, storeFailedAt));
            index();
        },
    };
}
