import type { Clock } from "daisyturn-utils";
import type { Lease } from "./lease.js";

/** A moment on both clocks of this process. */
export interface ClockReading {
    readonly monotonic: number;
    readonly wall: number;
}

/** Reads both clocks. */
export function readClocks(clock: Clock): ClockReading {
    return { monotonic: clock.monotonicNow(), wall: clock.wallNow() };
}

/** One uninterrupted holding of a lease. Once over, it is over for good: taking the lease again makes a new one. */
export interface LeaseTenure {
    readonly lease: Lease;
    /** Moves the deadline on after a renewal that was sent at `sentAt` has been committed. */
    extend(sentAt: ClockReading): void;
    end(): void;
    hasEnded(): boolean;
}

/** What a tenure is made of. */
export interface LeaseTenureOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly fencingNumber: number;
    readonly fencingRow: Lease["fencingRow"];
    /** When the takeover was sent. */
    readonly takeoverSentAt: ClockReading;
    /** Length of the lease less the margin. */
    readonly usableMilliseconds: number;
    /** Whether the latest known era of the store is the one in which the lease was taken. */
    readonly isEraCurrent: () => boolean;
}

/** Creates the holder's view of its lease. */
export function createLeaseTenure(options: LeaseTenureOptions): LeaseTenure {
    const { clock, usableMilliseconds } = options;
    let renewal = options.takeoverSentAt;
    let ended = false;

    const deadline = () => renewal.monotonic + usableMilliseconds;

    // The monotonic clock of a suspended VM may stand still while the lease runs out elsewhere; the wall clock then
    // jumps on waking. So the lease is over when either clock says so. A wall clock set forward costs one takeover.
    const isWithinDeadline = () =>
        clock.monotonicNow() < deadline() && clock.wallNow() - renewal.wall < usableMilliseconds;

    const isHeld = () => {
        if (!ended && !(isWithinDeadline() && options.isEraCurrent())) {
            ended = true;
        }
        return !ended;
    };

    return {
        lease: {
            name: options.name,
            fencingNumber: options.fencingNumber,
            fencingRow: options.fencingRow,
            deadline,
            isHeld,
        },
        extend: sentAt => {
            if (isHeld()) {
                renewal = sentAt;
            }
        },
        end: () => {
            ended = true;
        },
        hasEnded: () => !isHeld(),
    };
}
