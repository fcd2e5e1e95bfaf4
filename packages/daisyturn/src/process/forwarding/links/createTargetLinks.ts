import { type Clock, EventKind, type EventLog } from "daisyturn-utils";

/** Ways by which a connection to a target is to be opened. */
export enum DialPlan {
    /** Directly, and by way of a peer only if that fails or takes long. */
    Direct = "direct",
    /** By way of a peer. */
    Relay = "relay",
    /** Both at once, to find out whether the lost link works again. */
    Both = "both",
    /** By none: all have failed just before, so that waiting for another attempt would only delay the caller. */
    None = "none",
}

/**
 * The links from this process to the targets, by address (host:port). A link is lost if connections over it fail while
 * a peer reaches the target.
 */
export interface TargetLinks {
    /** Plans how a connection is opened. After `Both`, the lost link is not tried again for a while. */
    planDial(address: string): DialPlan;
    /** Records that a connection was opened directly. */
    recordOpened(address: string): void;
    /** Records an answer over a direct connection. New connections may fail all the same, so a lost link stays lost. */
    recordAnswered(address: string): void;
    /** Records that a direct connection could not be opened. */
    recordFailure(address: string, failure: LinkFailure): void;
    /** Records that a peer reaches a target to which direct connections fail. */
    recordLost(address: string): void;
    /**
     * Records that neither this process nor a peer could open a connection. Unless the target refused it, others fail at
     * once for a while.
     */
    recordNoWay(address: string, isRefused: boolean): void;
    isLost(address: string): boolean;
    hasLost(): boolean;
    lostCount(): number;
    /** Whether the links to most of the targets that this process has recently connected to are lost. */
    isCutOff(): boolean;
    /** The last failure to open a direct connection, if it is recent and none has been opened since. */
    recentFailure(address: string): LinkFailure | undefined;
    /** Whether a connection to another target was opened directly since the last failure at an address. */
    hasOpenedSinceFailure(address: string): boolean;
    /** Lists other addresses whose links are not known to fail, the ones opened last first. */
    listOthers(address: string): readonly string[];
    /** Registers a listener that is called once a link is lost. */
    onLost(listener: (address: string) => void): void;
}

/** Why a direct connection could not be opened. */
export interface LinkFailure {
    /** Whether something answered that nothing listens at the address; else there was no answer or another error. */
    readonly isRefused: boolean;
    /** Error code, or a short text. */
    readonly message: string;
}

interface LinkState {
    /** Monotonic times. */
    openedAt: number;
    answeredAt: number;
    failedAt: number;
    lostUntil: number;
    /** Time at which a lost link is tried again. */
    retryAt: number;
    /** Until then, connections fail at once. */
    unansweredUntil: number;
    failure?: LinkFailure;
}

/** Older outcomes no longer show whether a link works. */
const memoryMilliseconds = 3_000;
/** After this time without an attempt, a lost link counts as working until the next one. */
const lostMilliseconds = 10_000;
/** Interval between two attempts on a lost link, while calls need it. */
const retryIntervalMilliseconds = 500;
/** Interval between attempts on all lost links, so that a process that has lost hundreds sends few. */
const retrySpacingMilliseconds = 50;
/** A target that nothing reaches is tried again after this time; its callers are refused until then. */
const unansweredMilliseconds = 500;
/** States beyond this number are removed once they are outdated. */
const maxStates = 4_096;

/** Creates the record of one process. */
export function createTargetLinks(clock: Clock, eventLog: EventLog): TargetLinks {
    const states = new Map<string, LinkState>();
    const lostListeners: ((address: string) => void)[] = [];
    let reportedLost = 0;
    let nextRetryAt = -Infinity;

    const removeOutdated = () => {
        const oldest = clock.monotonicNow() - lostMilliseconds;
        states.forEach(({ openedAt, answeredAt, failedAt, lostUntil }, address) => {
            if (Math.max(openedAt, answeredAt, failedAt) < oldest && lostUntil < clock.monotonicNow()) {
                states.delete(address);
            }
        });
    };

    const find = (address: string): LinkState => {
        let known = states.get(address);
        if (!known) {
            if (states.size >= maxStates) {
                removeOutdated();
            }
            known = {
                openedAt: -Infinity,
                answeredAt: -Infinity,
                failedAt: -Infinity,
                lostUntil: -Infinity,
                retryAt: -Infinity,
                unansweredUntil: -Infinity,
            };
            states.set(address, known);
        }
        return known;
    };

    const isStateLost = (state: LinkState | undefined) => state !== undefined && state.lostUntil > clock.monotonicNow();

    const lostCount = () => [...states.values()].filter(isStateLost).length;

    /** Cheap while no link is lost, since it is asked for each call. */
    const hasLost = () => reportedLost > 0 && lostCount() > 0;

    const countWorking = () => {
        const oldest = clock.monotonicNow() - memoryMilliseconds;
        const isWorking = (state: LinkState) =>
            !isStateLost(state) && Math.max(state.openedAt, state.answeredAt) > oldest;
        return [...states.values()].filter(isWorking).length;
    };

    /** Reports that the first link is lost and that the last one is back, not each link. */
    const reportChange = (reason?: string) => {
        const lost = lostCount();
        if ((lost > 0) !== (reportedLost > 0)) {
            const kind = lost > 0 ? EventKind.LinksLost : EventKind.LinksRestored;
            eventLog.record(kind, { lost, working: countWorking(), reason });
        }
        reportedLost = lost;
    };

    const planLostDial = (state: LinkState): DialPlan => {
        const now = clock.monotonicNow();
        if (state.retryAt > now || nextRetryAt > now) {
            return DialPlan.Relay;
        }
        state.retryAt = now + retryIntervalMilliseconds;
        nextRetryAt = now + retrySpacingMilliseconds;
        return DialPlan.Both;
    };

    return {
        planDial: address => {
            const state = states.get(address);
            if (!state) {
                return DialPlan.Direct;
            }
            if (state.unansweredUntil > clock.monotonicNow()) {
                return DialPlan.None;
            }
            if (state.unansweredUntil > -Infinity) {
                // One connection shows whether the target answers again; the others need not wait for that.
                state.unansweredUntil = clock.monotonicNow() + unansweredMilliseconds;
            }
            return isStateLost(state) ? planLostDial(state) : DialPlan.Direct;
        },
        recordOpened: address => {
            const state = find(address);
            const wasLost = isStateLost(state);
            state.openedAt = clock.monotonicNow();
            state.unansweredUntil = -Infinity;
            if (wasLost) {
                state.lostUntil = -Infinity;
                // The other links are probably back too, and each is tried by the next call that needs it.
                states.forEach(other => other.retryAt = -Infinity);
                nextRetryAt = -Infinity;
            }
            if (wasLost || reportedLost > 0) {
                reportChange();
            }
        },
        recordAnswered: address => {
            find(address).answeredAt = clock.monotonicNow();
        },
        recordFailure: (address, failure) => {
            const state = find(address);
            state.failedAt = clock.monotonicNow();
            state.failure = failure;
        },
        recordLost: address => {
            const state = find(address);
            const wasLost = isStateLost(state);
            state.lostUntil = clock.monotonicNow() + lostMilliseconds;
            state.unansweredUntil = -Infinity;
            if (!wasLost) {
                state.retryAt = clock.monotonicNow() + retryIntervalMilliseconds;
                lostListeners.forEach(listener => listener(address));
                reportChange(state.failure?.message);
            }
        },
        recordNoWay: (address, isRefused) => {
            find(address).unansweredUntil = isRefused ? -Infinity : clock.monotonicNow() + unansweredMilliseconds;
        },
        isLost: address => isStateLost(states.get(address)),
        hasLost,
        lostCount,
        isCutOff: () => hasLost() && lostCount() > countWorking(),
        recentFailure: address => {
            const state = states.get(address);
            const oldest = Math.max(state?.openedAt ?? -Infinity, clock.monotonicNow() - retryIntervalMilliseconds);
            return state && state.failedAt > oldest ? state.failure : undefined;
        },
        hasOpenedSinceFailure: address => {
            const failedAt = states.get(address)?.failedAt ?? Infinity;
            return [...states].some(([other, { openedAt }]) => other !== address && openedAt > failedAt);
        },
        listOthers: address =>
            [...states]
                .filter(([other, state]) => other !== address && state.openedAt > state.failedAt && !isStateLost(state))
                .sort(([, left], [, right]) => right.openedAt - left.openedAt)
                .map(([other]) => other),
        onLost: listener => lostListeners.push(listener),
    };
}
