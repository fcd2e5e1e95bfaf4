import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { FeedRow } from "../../../ports/changeFeed.js";
import type { ListedTarget, TargetRemoval } from "../../../ports/listedTarget.js";
import { createDepartures, Departure } from "./createDepartures.js";
import { createTargetListLog } from "./createTargetListLog.js";
import type { TableObserver } from "./watchTable.js";

/** The targets that the platform lists, as last received by this process. */
export interface TargetList extends TableObserver {
    /** Targets of a service that accept new work. */
    open(service: string): readonly ListedTarget[];
    /** Targets of a service, leaving or not. */
    list(service: string): readonly ListedTarget[];
    /** Whether a target still accepts new work; checked again right before each send. */
    isOpen(targetId: string): boolean;
    /** A listed target, leaving or not. */
    find(targetId: string): ListedTarget | undefined;
    /** Identifiers of the listed targets at an address (host:port), leaving or not. */
    findAt(address: string): readonly string[];
    /** Software versions of the listed targets, by service. */
    listVersions(): ReadonlyMap<string, ReadonlySet<string>>;
    /** Calls the listener after the first list, and once a service has other software versions than before. */
    onVersionsChanged(listener: () => void): void;
    /** Whether the list has been read at least once. */
    isKnown(): boolean;
    /** Monotonic time at which the store was last known not to answer; infinite while it does not. */
    outageEndedAt(): number;
    /** Records each call to the store, so that entries that expire because of an outage are recognized. */
    recordStoreCall(isAnswered: boolean): void;
    /** Records that a target has said itself that it leaves, which holds until it has restarted. */
    recordLeaving(targetId: string): void;
    /** Number of listed targets that get no work, although their rows list them as open, since they have left before. */
    countKeptClosed(): number;
    /** Calls the listener once a target is removed or has restarted, so that all state about it can be discarded. */
    onRemoved(listener: (targetId: string, removal: TargetRemoval) => void): void;
}

/** What {@link createTargetList} needs. */
export interface TargetListOptions {
    /** Throws if the text is not a valid target. */
    readonly decode: (name: string, text: string) => ListedTarget;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/**
 * Entries expire during a store outage, and live targets are listed again about two seconds after it ends. Until then,
 * a missing entry does not show that its target has been removed.
 */
const expiryGraceMilliseconds = 2_200;

/** Creates the list. */
export function createTargetList(options: TargetListOptions): TargetList {
    const { clock, eventLog } = options;
    /** By the key of the entry, which is the target's name. */
    const entries = new Map<string, ListedTarget>();
    /** The same targets by target id, which identifies one incarnation. */
    const targets = new Map<string, ListedTarget>();
    /** Keys whose entry expired around an outage, and the monotonic time at which their targets count as removed. */
    const expired = new Map<string, number>();
    const departures = createDepartures();
    const log = createTargetListLog(eventLog);
    const removedListeners: ((targetId: string, removal: TargetRemoval) => void)[] = [];
    let views: TargetIndex = { ...indexTargets([]), versionText: undefined };
    const versionListeners: (() => void)[] = [];
    let isKnown = false;
    /** Latest monotonic time at which an outage may have lasted: the first answer after a failed call. */
    let lastOutageAt = -Infinity;
    let isAnswering = true;

    const index = () => {
        const previous = views.versionText;
        views = indexTargets(targets.values());
        if (views.versionText !== previous) {
            versionListeners.forEach(listener => listener());
        }
    };

    const remove = (key: string, storeFailedAt = lastOutageAt) => {
        log.recordReadable(key);
        const graceEnd = storeFailedAt + expiryGraceMilliseconds;
        if (graceEnd > clock.monotonicNow()) {
            expired.set(key, graceEnd);
            return;
        }
        forget(key, "entry removed", Departure.Removal);
    };

    /** @param departure what the loss of the entry shows of its target; undefined if nothing */
    const forget = (key: string, reason: string, departure?: Departure) => {
        expired.delete(key);
        const target = entries.get(key);
        if (target) {
            entries.delete(key);
            targets.delete(target.targetId);
            log.recordKeptClosed(target.targetId, undefined);
            if (departure) {
                departures.record(target.targetId, departure);
            }
            const isRestarted = departure === Departure.Restart;
            eventLog.record(EventKind.TargetGone, { target: target.targetId, reason });
            removedListeners.forEach(listener => listener(target.targetId, { target, isRestarted }));
        }
    };

    const put = (row: FeedRow, storeFailedAt?: number, isAfterRollback = false) => {
        if (row.text === undefined) {
            remove(row.key, storeFailedAt);
            return;
        }
        try {
            apply(row, options.decode(row.key, row.text), isAfterRollback);
        }
        catch (error) {
            reject(row.key, String(error));
        }
    };

    const apply = ({ key, version }: FeedRow, target: ListedTarget, isAfterRollback: boolean) => {
        log.recordReadable(key);
        const known = entries.get(key);
        if (known && (known.startedAt ?? 0) > (target.startedAt ?? 0)) {
            // A late entry of the previous incarnation must not restore a target that has ended.
            return;
        }
        if (known && known.targetId !== target.targetId) {
            forget(key, "restarted", Departure.Restart);
        }
        const { targetId } = target;
        const saysLeaving = target.isLeaving || target.leavesInMilliseconds !== undefined;
        if (saysLeaving) {
            departures.record(targetId, Departure.Row);
        }
        const departure = departures.checkRow(targetId, version, isAfterRollback);
        const updated = { ...target, isLeaving: departure !== undefined };
        expired.delete(key);
        entries.set(key, updated);
        targets.set(targetId, updated);
        log.recordChange(known, updated);
        log.recordKeptClosed(targetId, saysLeaving ? undefined : departure);
    };

    /** An entry that can't be decoded removes its target, whatever the entry contained before. */
    const reject = (key: string, reason: string) => {
        log.recordUnreadable(key, reason);
        forget(key, "entry can't be decoded");
    };

    /** Called on use, so that no timer is needed. */
    const forgetExpired = () => {
        if (expired.size === 0) {
            return;
        }
        const now = clock.monotonicNow();
        const due = [...expired].filter(([, removedAt]) => removedAt <= now);
        due.forEach(([key]) => forget(key, "entry was not listed again after the outage", Departure.Removal));
        if (due.length > 0) {
            index();
        }
    };

    return {
        open: service => {
            forgetExpired();
            return views.openByService.get(service) ?? [];
        },
        list: service => {
            forgetExpired();
            return views.listedByService.get(service) ?? [];
        },
        isOpen: targetId => {
            forgetExpired();
            return targets.get(targetId)?.isLeaving === false;
        },
        find: targetId => targets.get(targetId),
        findAt: address => {
            forgetExpired();
            return views.idsByAddress.get(address) ?? [];
        },
        listVersions: () => views.versionsByService,
        onVersionsChanged: listener => void versionListeners.push(listener),
        isKnown: () => isKnown,
        outageEndedAt: () => isAnswering ? lastOutageAt : Infinity,
        recordStoreCall: isAnswered => {
            if (!isAnswered || !isAnswering) {
                lastOutageAt = clock.monotonicNow();
            }
            isAnswering = isAnswered;
        },
        recordLeaving: targetId => {
            const target = targets.get(targetId);
            if (target || departures.has(targetId)) {
                departures.record(targetId, Departure.Answer);
            }
            if (!target || target.isLeaving) {
                return;
            }
            const leaving = { ...target, isLeaving: true };
            entries.set(target.name, leaving);
            targets.set(targetId, leaving);
            index();
            eventLog.record(EventKind.TargetLeaving, { target: targetId });
        },
        countKeptClosed: log.countKeptClosed,
        onRemoved: listener => removedListeners.push(listener),
        replace: (rows, isAfterRollback = false) => {
            isKnown = true;
            if (isAfterRollback) {
                departures.recordRollback();
            }
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

/** The listed targets by what they are looked up by. */
interface TargetIndex {
    readonly openByService: ReadonlyMap<string, readonly ListedTarget[]>;
    readonly listedByService: ReadonlyMap<string, readonly ListedTarget[]>;
    readonly idsByAddress: ReadonlyMap<string, readonly string[]>;
    readonly versionsByService: ReadonlyMap<string, ReadonlySet<string>>;
    /** The same for the same software versions of all services; undefined before the first list. */
    readonly versionText: string | undefined;
}

function indexTargets(targets: Iterable<ListedTarget>): TargetIndex {
    const listedByService = new Map<string, ListedTarget[]>();
    const idsByAddress = new Map<string, string[]>();
    const versionsByService = new Map<string, Set<string>>();
    for (const target of targets) {
        const { targetId, address, service, softwareVersion } = target;
        idsByAddress.set(address, [...idsByAddress.get(address) ?? [], targetId]);
        listedByService.set(service, listedByService.get(service) ?? []);
        listedByService.get(service)?.push(target);
        versionsByService.set(service, (versionsByService.get(service) ?? new Set()).add(softwareVersion));
    }
    const openByService = new Map(
        [...listedByService].map(([service, group]) => [service, group.filter(target => !target.isLeaving)]),
    );
    const versionTexts = [...versionsByService].map(([service, versions]) =>
        JSON.stringify([service, ...[...versions].sort()])
    );
    return {
        openByService,
        listedByService,
        idsByAddress,
        versionsByService,
        versionText: versionTexts.sort().join(),
    };
}
