import type { Clock } from "daisyturn-utils";

/** A target that is kept free of new work, and for how many milliseconds from now. */
export type Closing = readonly [targetId: string, milliseconds: number];

/** Engines that are about to change their stage: they refuse whatever has not started. */
export interface ClosedTargets {
    /** Keeps new work away until a moment on the monotonic clock. */
    close(targetId: string, until: number): void;
    reopen(targetId: string): void;
    isClosed(targetId: string): boolean;
    /** Those that this process has closed, for its peers. */
    listOwn(): readonly Closing[];
    /** Those that this process or a peer has closed. */
    listKnown(): readonly Closing[];
    notePeer(peerId: string, closings: readonly Closing[]): void;
    /** Called once another target is closed, by this process or a peer. */
    onClosed(listener: () => void): void;
}

/** Creates the view of one process. */
export function createClosedTargets(clock: Clock): ClosedTargets {
    const own = new Map<string, number>();
    const told = new Map<string, number>();
    const listeners: (() => void)[] = [];
    const isAhead = (until: number | undefined) => until !== undefined && until > clock.monotonicNow();

    const list = (closings: ReadonlyMap<string, number>): Closing[] =>
        [...closings].filter(([, until]) => isAhead(until)).map(([targetId, until]) => [
            targetId,
            Math.round(until - clock.monotonicNow()),
        ]);

    return {
        close: (targetId, until) => {
            own.set(targetId, until);
            listeners.forEach(listener => listener());
        },
        reopen: targetId => void own.delete(targetId),
        isClosed: targetId => isAhead(own.get(targetId)) || isAhead(told.get(targetId)),
        listOwn: () => list(own),
        listKnown: () => list(new Map([...told, ...own])),
        notePeer: (peerId, closings) => {
            const isNews = closings.some(([targetId]) => !isAhead(told.get(targetId)) && !isAhead(own.get(targetId)));
            closings.forEach(([targetId, milliseconds]) => told.set(targetId, clock.monotonicNow() + milliseconds));
            if (isNews) {
                listeners.forEach(listener => listener());
            }
        },
        onClosed: listener => void listeners.push(listener),
    };
}
