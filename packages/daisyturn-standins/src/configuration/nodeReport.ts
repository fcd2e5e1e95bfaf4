/** Partners that publish changes in measurements. */
export const measuredPartners = ["north", "south"] as const;

/** Returns the key of a partner's operator in measurements. */
export function operatorKeyOf(partner: string): string {
    return `operator-key-of-${partner}`;
}

/** Figures that a measured process reports. Times are milliseconds of the machine's monotonic clock. */
export interface NodeReport {
    /** Time of acceptance by generation, for the generations that this process published. */
    readonly acceptedAt: Readonly<Record<number, number>>;
    /** Time of activation by generation. */
    readonly inForceAt: Readonly<Record<number, number>>;
    readonly adoptionMilliseconds: number;
    readonly items: number;
    readonly livePeers: number;
    readonly cpuMilliseconds: number;
    readonly messagesSent: number;
    readonly bytesSent: number;
    readonly heapBytes: number;
    readonly residentBytes: number;
}
