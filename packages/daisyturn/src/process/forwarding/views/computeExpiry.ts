/** How many pauses between two messages of a peer its last one counts for: one may be lost. */
const rememberedPauses = 2.2;

/**
 * Monotonic time after which what a peer told is forgotten: it has ended, or is cut off.
 * @param pause milliseconds until the peer tells it anew
 * @param least milliseconds for which it counts in any case
 */
export function computeExpiry(now: number, pause: number, least: number): number {
    return now + Math.max(least, pause * rememberedPauses);
}
