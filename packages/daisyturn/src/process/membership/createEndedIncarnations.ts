import type { Clock } from "daisyturn-utils";
import type { VmListing } from "../../ports/vmList.js";
import type { ProcessIdentity } from "../peers/index.js";
import { EndProof, type MemberEntry } from "./heartbeatMessage.js";

export interface EndedIncarnationsOptions {
    /** VM of this process; a listing without it is ignored as unreliable. */
    readonly ownVmId: string;
    readonly clock: Clock;
    /** How much later than the last contact a listing must be; covers the difference between wall clocks. */
    readonly listingMarginMilliseconds: number;
    readonly onProofRecorded: (identity: ProcessIdentity, proof: EndProof) => void;
}

/** Incarnations that are proved to have ended, and those that are watched for their end in the VM list. */
export interface EndedIncarnations {
    hasEnded(identity: ProcessIdentity): boolean;
    recordProof(identity: ProcessIdentity, proof: EndProof): void;
    /** Records contact with an incarnation and watches for its end in the VM list. */
    recordContact(identity: ProcessIdentity): void;
    /** Watches for the incarnation's end in the VM list; does not change its recorded contact. */
    watch(identity: ProcessIdentity): void;
    /** Checks the watched incarnations; returns false if the listing is unreliable or was already applied. */
    applyListing(listing: VmListing): boolean;
    /** Returns the latest proofs, for sending to peers. */
    recent(): readonly MemberEntry[];
}

/** An incarnation whose end the VM list may show. */
interface WatchedIncarnation {
    readonly identity: ProcessIdentity;
    /** Wall-clock time of the last contact; without any, the time from which the incarnation is watched. */
    lastContactAt: number;
    /** Number of consecutive listings later than the last contact that did not show the VM. */
    absences: number;
}

/** A single listing may be temporarily wrong, so two in a row are required. */
const absencesRequiredAsProof = 2;
const maxEntries = 1_000;
const maxProofsPerMessage = 16;

export function createEndedIncarnations(options: EndedIncarnationsOptions): EndedIncarnations {
    const { ownVmId, clock, listingMarginMilliseconds, onProofRecorded } = options;
    const proofs = new Map<string, MemberEntry>();
    const watched = new Map<string, WatchedIncarnation>();
    let lastListingAsOf: number | undefined;

    const recordProof = (identity: ProcessIdentity, proof: EndProof) => {
        const key = formatIncarnationKey(identity);
        if (!proofs.has(key)) {
            proofs.set(key, { identity, ended: proof });
            watched.delete(key);
            evictOldest(proofs);
            onProofRecorded(identity, proof);
        }
    };

    const watch = (identity: ProcessIdentity): WatchedIncarnation => {
        const key = formatIncarnationKey(identity);
        const entry = watched.get(key) ?? { identity, lastContactAt: clock.wallNow(), absences: 0 };
        if (!proofs.has(key)) {
            watched.set(key, entry);
            evictOldest(watched);
        }
        return entry;
    };

    const evaluateListing = (entry: WatchedIncarnation, listing: VmListing, listedVms: ReadonlySet<string>) => {
        if (listedVms.has(entry.identity.vmId)) {
            entry.absences = 0;
        }
        else if (listing.asOf > entry.lastContactAt + listingMarginMilliseconds) {
            entry.absences += 1;
        }
        if (entry.absences >= absencesRequiredAsProof) {
            recordProof(entry.identity, EndProof.VmGone);
        }
    };

    const applyListing = (listing: VmListing): boolean => {
        const listedVms = new Set(listing.entries.map(entry => entry.vmId));
        if (!listedVms.has(ownVmId) || listing.asOf === lastListingAsOf) {
            return false;
        }
        lastListingAsOf = listing.asOf;
        [...watched.values()].forEach(entry => evaluateListing(entry, listing, listedVms));
        return true;
    };

    return {
        hasEnded: identity => proofs.has(formatIncarnationKey(identity)),
        recordProof,
        recordContact: identity => {
            const entry = watch(identity);
            entry.lastContactAt = clock.wallNow();
            entry.absences = 0;
        },
        watch: identity => void watch(identity),
        applyListing,
        recent: () => [...proofs.values()].slice(-maxProofsPerMessage),
    };
}

function formatIncarnationKey(identity: ProcessIdentity): string {
    return `${identity.processId}/${identity.incarnation}`;
}

function evictOldest(map: Map<string, unknown>): void {
    const oldest = map.keys().next();
    if (map.size > maxEntries && !oldest.done) {
        map.delete(oldest.value);
    }
}
