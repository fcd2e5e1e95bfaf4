import { EventKind, type EventLog } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { Departure } from "./createDepartures.js";

/** Logs what the rows of the platform's target table say, each state once. */
export interface TargetListLog {
    /** @param known the entry before; undefined if the target is listed anew */
    recordChange(known: ListedTarget | undefined, target: ListedTarget): void;
    /** Records that a row can't be decoded. */
    recordUnreadable(key: string, reason: string): void;
    /** Records that the row of a key is readable or gone. */
    recordReadable(key: string): void;
    /** @param departure why a target that its row lists as open gets no work; undefined if it does, or is not listed */
    recordKeptClosed(targetId: string, departure: Departure | undefined): void;
    /** Number of listed targets that get no work although their rows list them as open. */
    countKeptClosed(): number;
}

/** Maximum number of unreadable keys that are logged, so that a table full of them does not fill the log. */
const maxLoggedUnreadable = 64;
const maxLoggedKeyLength = 80;

/** Creates the log of one list. */
export function createTargetListLog(eventLog: EventLog): TargetListLog {
    /** Keys whose entry can't be decoded; each is logged once, not at each heartbeat. */
    const unreadable = new Set<string>();
    const keptClosed = new Set<string>();

    return {
        recordChange: (known, target) => {
            const isNew = known?.targetId !== target.targetId;
            if (isNew || known.isLeaving !== target.isLeaving || known.stage !== target.stage) {
                eventLog.record(EventKind.TargetListed, {
                    target: target.targetId,
                    service: target.service,
                    address: target.address,
                    leaving: target.isLeaving,
                    softwareVersion: target.softwareVersion,
                    stage: target.stage,
                });
            }
        },
        recordUnreadable: (key, reason) => {
            if (!unreadable.has(key) && unreadable.size < maxLoggedUnreadable) {
                unreadable.add(key);
                const target = key.slice(0, maxLoggedKeyLength);
                eventLog.record(EventKind.Fault, { target, reason: `unreadable entry: ${reason}` });
            }
        },
        recordReadable: key => void unreadable.delete(key),
        recordKeptClosed: (targetId, departure) => {
            if (departure === undefined) {
                keptClosed.delete(targetId);
            }
            else if (!keptClosed.has(targetId)) {
                keptClosed.add(targetId);
                eventLog.record(EventKind.TargetKeptClosed, { target: targetId, departure });
            }
        },
        countKeptClosed: () => keptClosed.size,
    };
}
