import type { Clock } from "daisyturn-utils";
import type { Lease } from "./lease.js";

/** Monotonic and wall-clock time of this process, read together. */
export interface ClockReading {
    readonly monotonic: number;
    readonly wall: number;
}

export function readClocks(clock: Clock): ClockReading {
    return { monotonic: clock.monotonicNow(), wall: clock.wallNow() };
}

/** One uninterrupted period of holding a lease. Reacquiring the lease creates a new tenure. */
export interface LeaseTenure {
    readonly lease: Lease;
    /** Extends the deadline after a renewal that was sent at `sentAt` has been committed. */
    extend(sentAt: ClockReading): void;
    end(): void;
    hasEnded(): boolean;
}

/** Dependencies and settings of a lease tenure. */
export interface LeaseTenureOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly fencingNumber: number;
    readonly fencingRow: Lease["fencingRow"];
    readonly takeoverSentAt: ClockReading;
    /** Length of the lease less the margin. */
    readonly usableMilliseconds: number;
    /** Returns whether the latest known era of the store is the one in which the lease was acquired. */
    readonly isEraCurrent: () => boolean;
}

/** Starts a tenure with the deadline that follows from its takeover. */
export function createLeaseTenure(options: LeaseTenureOptions): LeaseTenure {
    const { clock, usableMilliseconds } = options;
    let renewal = options.takeoverSentAt;
    let ended = false;

    const deadline = () => renewal.monotonic + usableMilliseconds;

    // The monotonic clock of a suspended VM may stop while the lease expires for other processes; the wall clock jumps
    // when the VM resumes. The lease therefore ends when either clock reaches the deadline. Setting the wall clock
    // forward costs one takeover.
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
