import type { Clock } from "daisyturn-utils";
import type { UsageReceipt } from "./usageMessages.js";

/** What other processes have acknowledged. */
export interface UsageReceipts {
    /** Returns the largest total of an incarnation's window that a process has acknowledged; 0 if there is none. */
    find(peerId: string, source: string, window: number): number;
    /** Whether a process has not acknowledged anything recently. */
    isSilent(peerId: string): boolean;
    /** @returns whether the receiver has been silent or restarted, and needs the counts that it has not acknowledged */
    record(receipt: UsageReceipt): boolean;
    /** Removes the windows before this one. */
    prune(firstWindow: number): void;
}

interface ReceiverState {
    readonly incarnation: string | undefined;
    readonly totals: Map<string, Map<number, number>>;
    lastReceiptAt: number;
}

/** Longer than the interval of messages that only bring the clock. */
const silentMilliseconds = 12_000;

/** Creates the receipts of one process. Those of an earlier incarnation of a receiver count no longer. */
export function createUsageReceipts(clock: Clock): UsageReceipts {
    const receivers = new Map<string, ReceiverState>();

    const isSilent = (peerId: string) => {
        const lastReceiptAt = receivers.get(peerId)?.lastReceiptAt ?? -Infinity;
        return clock.monotonicNow() - lastReceiptAt > silentMilliseconds;
    };

    return {
        find: (peerId, source, window) => receivers.get(peerId)?.totals.get(source)?.get(window) ?? 0,
        isSilent,
        record: ({ from, receiver, source, window, total }) => {
            const wasSilent = isSilent(from);
            const previous = receivers.get(from);
            const isSame = previous !== undefined && previous.incarnation === receiver;
            const state = isSame ? previous : { incarnation: receiver, totals: new Map(), lastReceiptAt: 0 };
            receivers.set(from, state);
            state.lastReceiptAt = clock.monotonicNow();
            const totals = state.totals.get(source) ?? new Map<number, number>();
            state.totals.set(source, totals.set(window, Math.max(total, totals.get(window) ?? 0)));
            return wasSilent || !isSame;
        },
        prune: firstWindow =>
            receivers.forEach(({ totals }) =>
                totals.forEach((windows, source) => {
                    windows.forEach((total, window) => window < firstWindow && windows.delete(window));
                    if (windows.size === 0) {
                        totals.delete(source);
                    }
                })
            ),
    };
}
