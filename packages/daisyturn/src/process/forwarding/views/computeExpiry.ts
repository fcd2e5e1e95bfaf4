/** A report of a peer is valid for this many report intervals, so that one report may be lost. */
const validIntervals = 2.2;

/**
 * Computes the monotonic time at which the report of a peer expires, since the peer has ended or can't be reached.
 * @param reportInterval milliseconds until the peer's next report
 * @param minMilliseconds milliseconds for which the report is valid in any case
 */
export function computeExpiry(now: number, reportInterval: number, minMilliseconds: number): number {
    return now + Math.max(minMilliseconds, reportInterval * validIntervals);
}
