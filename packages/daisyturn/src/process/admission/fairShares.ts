/** A claim on a shared capacity. */
export interface ShareClaim {
    readonly weight: number;
    /** Upper limit of what the claimant can use; Infinity if it has work waiting. */
    readonly demand: number;
}

/**
 * Computes weighted max-min fair shares: no claim gets more than its demand, and the remaining capacity is divided
 * among the other claims by weight. Returns one share for each claim, in the order of the claims.
 * Source: Bertsekas, Gallager, "Data Networks", 1992, section 6.5.2 (progressive filling).
 */
export function computeFairShares(capacity: number, claims: readonly ShareClaim[]): number[] {
    const shares = claims.map(() => 0);
    const byNeed = [...claims.keys()].sort((one, other) => needOf(claims[one]!) - needOf(claims[other]!));
    let left = capacity;
    let weightLeft = claims.reduce((sum, claim) => sum + claim.weight, 0);
    // In order of demand per weight, claims are met in full until one is not; it and all later ones divide the rest.
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
