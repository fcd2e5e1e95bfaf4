import { z } from "zod";

/** How the platform's services fail during an outage. */
export enum OutageKind {
    None = "none",
    /** The connection is closed after the request has been read; the request does not run. */
    Reset = "reset",
    /** No request runs and none is answered. */
    Hang = "hang",
    /** Each request is answered with status 503 and a body that does not state the outcome. */
    ErrorPage = "error_page",
}

/** The unit of the write rate. */
export enum WriteUnit {
    Transaction = "transaction",
    Row = "row",
}

/** Faults and rate limits of the platform's stand-in. */
export interface PlatformFaults {
    readonly down: OutageKind;
    /** Delay before each request runs. */
    readonly slowMilliseconds: number;
    /** Fraction of the transactions, from 0 to 1, that commit but whose connection is closed before the answer. */
    readonly loseAnswers: number;
    /** Fraction of the transactions, from 0 to 1, whose connection is closed at once and which commit later. */
    readonly commitLate: number;
    /** Delay of the commits that `commitLate` selects. */
    readonly commitLateMilliseconds: number;
    readonly writesPerSecond: number;
    readonly writeUnit: WriteUnit;
    readonly readsPerSecond: number;
    readonly weightGrantsPerSecond: number;
    /** Time until a change of the list of VMs becomes visible. */
    readonly vmLagMilliseconds: number;
}

/** No faults, and the rate limits and the lag that users of the platform state. */
export const defaultPlatformFaults: PlatformFaults = {
    down: OutageKind.None,
    slowMilliseconds: 0,
    loseAnswers: 0,
    commitLate: 0,
    commitLateMilliseconds: 0,
    writesPerSecond: 400,
    writeUnit: WriteUnit.Transaction,
    readsPerSecond: 2_000,
    weightGrantsPerSecond: 2,
    vmLagMilliseconds: 2_000,
};

const fraction = z.number().min(0).max(1);
const amount = z.number().nonnegative();

/** Schema of a change of the faults. Fields that are left out stay unchanged. */
export const platformFaultsSchema = z.strictObject({
    down: z.enum(OutageKind),
    slowMilliseconds: amount,
    loseAnswers: fraction,
    commitLate: fraction,
    commitLateMilliseconds: amount,
    writesPerSecond: amount,
    writeUnit: z.enum(WriteUnit),
    readsPerSecond: amount,
    weightGrantsPerSecond: amount,
    vmLagMilliseconds: amount,
}).partial();
