import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { randomUUID } from "node:crypto";

/** A target that receives no new work, and for how many milliseconds from now. */
export type Closing = readonly [targetId: string, milliseconds: number];

/** The complete set of targets that one process has closed. */
export interface ClosingList {
    /** Identifies one incarnation of the process that closed the targets. */
    readonly closerId: string;
    /** Increases with each change; a list replaces those of the same closer with lower revisions. */
    readonly revision: number;
    readonly closings: readonly Closing[];
}

/** Engines that are about to change their stage and refuse calls that have not started. */
export interface ClosedTargets {
    /** Stops new work for a target until a time on the monotonic clock. */
    close(targetId: string, until: number): void;
    reopen(targetId: string): void;
    isClosed(targetId: string): boolean;
    /** Whether this process itself has closed a target. */
    hasOwnClosings(): boolean;
    /** The list of this process, or none once every closing it has announced has expired. */
    listOwn(): readonly ClosingList[];
    /** The unexpired lists of this process and those received from peers. */
    listKnown(): readonly ClosingList[];
    /** Applies lists received from a peer, either the peer's own or relayed ones. */
    applyRemote(lists: readonly ClosingList[]): void;
    /** Calls the listener whenever the list of this process or of a peer changes. */
    onChanged(listener: () => void): void;
}

interface KnownList {
    revision: number;
    /** Monotonic time at which each closing expires, by target id. */
    closings: ReadonlyMap<string, number>;
    /**
     * Monotonic time at which the closings of all revisions so far have expired. An empty list is sent until then, so
     * that it replaces earlier revisions at peers.
     */
    expiresAt: number;
}

/** Creates the view of one process. */
export function createClosedTargets(clock: Clock, eventLog: EventLog): ClosedTargets {
    const selfId = randomUUID();
    const lists = new Map<string, KnownList>();
    const listeners: (() => void)[] = [];

    const replace = (closerId: string, revision: number, closings: ReadonlyMap<string, number>) => {
        const known = lists.get(closerId);
        const expiresAt = Math.max(known?.expiresAt ?? 0, ...closings.values());
        lists.set(closerId, { revision, closings, expiresAt });
        for (const targetId of closings.keys()) {
            if (!known?.closings.has(targetId)) {
                eventLog.record(EventKind.TargetClosed, { target: targetId, closer: closerId });
            }
        }
        for (const targetId of known?.closings.keys() ?? []) {
            if (!closings.has(targetId)) {
                eventLog.record(EventKind.TargetReopened, { target: targetId, closer: closerId });
            }
        }
        listeners.forEach(listener => listener());
    };

    const updateOwn = (update: (closings: Map<string, number>) => void) => {
        const known = lists.get(selfId);
        const closings = new Map(known?.closings);
        update(closings);
        replace(selfId, (known?.revision ?? 0) + 1, closings);
    };

    const dropExpired = () => {
        const now = clock.monotonicNow();
        lists.forEach(({ expiresAt }, closerId) => closerId !== selfId && expiresAt <= now && lists.delete(closerId));
    };

    const describe = ([closerId, { revision, closings }]: readonly [string, KnownList]): ClosingList => {
        const now = clock.monotonicNow();
        const isUnexpiredClosing = ([, until]: readonly [string, number]) => until > now;
        const remaining = [...closings].filter(isUnexpiredClosing);
        return {
            closerId,
            revision,
            closings: remaining.map(([targetId, until]) => [targetId, Math.round(until - now)]),
        };
    };

    const isUnexpired = ([, { expiresAt }]: readonly [string, KnownList]) => expiresAt > clock.monotonicNow();

    const isClosedBy = ({ closings }: KnownList, targetId: string) =>
        (closings.get(targetId) ?? -Infinity) > clock.monotonicNow();

    return {
        close: (targetId, until) => updateOwn(closings => closings.set(targetId, until)),
        reopen: targetId => {
            if (lists.get(selfId)?.closings.has(targetId)) {
                updateOwn(closings => closings.delete(targetId));
            }
        },
        isClosed: targetId => {
            for (const list of lists.values()) {
                if (isClosedBy(list, targetId)) {
                    return true;
                }
            }
            return false;
        },
        hasOwnClosings: () => {
            const own = lists.get(selfId);
            return own !== undefined && [...own.closings.keys()].some(targetId => isClosedBy(own, targetId));
        },
        listOwn: () => [...lists].filter(([closerId]) => closerId === selfId).filter(isUnexpired).map(describe),
        listKnown: () => {
            dropExpired();
            return [...lists].filter(isUnexpired).map(describe);
        },
        applyRemote: received => {
            dropExpired();
            const now = clock.monotonicNow();
            for (const { closerId, revision, closings } of received) {
                if (closerId !== selfId && revision > (lists.get(closerId)?.revision ?? 0)) {
                    const deadlines = closings.map(([targetId, milliseconds]) =>
                        [targetId, now + milliseconds] as const
                    );
                    replace(closerId, revision, new Map(deadlines));
                }
            }
        },
        onChanged: listener => void listeners.push(listener),
    };
}
