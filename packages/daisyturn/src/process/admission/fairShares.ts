/** One party's claim on a capacity that is shared. */
export interface ShareClaim {
    readonly weight: number;
    /** As much as it could use; Infinity if it has work waiting. */
    readonly demand: number;
}

/**
 * Weighted max-min fair shares: nobody gets more than it demands, and what is left over goes to the others by their
 * weights. Returns one share for each claim.
 * Source: Bertsekas, Gallager, "Data Networks", 1992, section 6.5.2 (progressive filling).
 */
export function computeFairShares(capacity: number, claims: readonly ShareClaim[]): number[] {
    const shares = claims.map(() => 0);
    const byNeed = [...claims.keys()].sort((one, other) => needOf(claims[one]!) - needOf(claims[other]!));
    let left = capacity;
    let weightLeft = claims.reduce((sum, claim) => sum + claim.weight, 0);
    // In the order of demand by weight, a claim is either met whole or gets its part of the rest, as do all after it.
    for (const index of byNeed) {
        const { weight, demand } = claims[index]!;
        const part = weightLeft > 0 ? left * weight / weightLeft : 0;
        shares[index] = Math.min(demand, part);
        left -= shares[index];
        weightLeft -= weight;
    }
    return shares;
}

function needOf(claim: ShareClaim): number {
    return claim.demand / claim.weight;
}
