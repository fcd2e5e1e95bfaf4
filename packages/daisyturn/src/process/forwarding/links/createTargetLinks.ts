import { type Clock, EventKind, type EventLog } from "daisyturn-utils";

/** The links from this process to the targets, by address (host:port), as its own connections show them. */
export interface TargetLinks {
    /** Records that a connection was opened, or that a complete answer arrived over one. */
    recordContact(address: string): void;
    /** Records that a connection could not be opened. */
    recordFailure(address: string, reason: string): void;
    /** Whether connections fail to most of the targets that this process has recently connected to. */
    isCutOff(): boolean;
    forget(address: string): void;
}

interface LinkState {
    /** Monotonic times. */
    contactAt: number;
    failedAt: number;
}

/** Older outcomes no longer show whether a link works. */
const memoryMilliseconds = 3_000;
/** With fewer failing links, the targets may be at fault. */
const minFailingLinks = 2;

/** Creates the record of one process. */
export function createTargetLinks(clock: Clock, eventLog: EventLog): TargetLinks {
    const states = new Map<string, LinkState>();
    let wasCutOff = false;

    const find = (address: string): LinkState => {
        const known = states.get(address) ?? { contactAt: -Infinity, failedAt: -Infinity };
        states.set(address, known);
        return known;
    };

    const count = () => {
        const oldest = clock.monotonicNow() - memoryMilliseconds;
        const recent = [...states.values()].filter(({ contactAt, failedAt }) => Math.max(contactAt, failedAt) > oldest);
        const failing = recent.filter(({ contactAt, failedAt }) => failedAt > contactAt).length;
        return { failing, working: recent.length - failing };
    };

    const isCutOff = () => {
        const { failing, working } = count();
        return failing >= minFailingLinks && failing > working;
    };

    const reportChange = (reason?: string) => {
        if (isCutOff() !== wasCutOff) {
            wasCutOff = !wasCutOff;
            eventLog.record(wasCutOff ? EventKind.LinksLost : EventKind.LinksRestored, { ...count(), reason });
        }
    };

    return {
        recordContact: address => {
            find(address).contactAt = clock.monotonicNow();
            if (wasCutOff) {
                reportChange();
            }
        },
        recordFailure: (address, reason) => {
            find(address).failedAt = clock.monotonicNow();
            reportChange(reason);
        },
        isCutOff,
        forget: address => states.delete(address),
    };
}
