/**
 * Rendezvous (highest random weight) hashing: every process ranks the same engines in the same order for the same key
 * without coordination, and the removal of an engine moves only the keys of that engine.
 * Source: Thaler, Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM ToN 1998.
 */

/** Hashes a text to 32 bits (FNV-1a). */
export function hashTextTo32Bits(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return hash >>> 0;
}

/** Computes the weight of a member for a key from their hashes. The member with the highest weight ranks first. */
export function rendezvousWeight(keyHash: number, memberHash: number): number {
    let mixed = (keyHash ^ memberHash) >>> 0;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Computes the rendezvous weight for members of different weights. Each member ranks first for a share of the keys that
 * equals its share of the total weight.
 * Source: Schindelhauer, Schomaker, "Weighted distributed hash tables", SPAA 2005 (the logarithmic method).
 */
export function weightedRendezvous(keyHash: number, memberHash: number, weight: number): number {
    const uniform = (rendezvousWeight(keyHash, memberHash) + 0.5) / 2 ** 32;
    return weight / -Math.log(uniform);
}
