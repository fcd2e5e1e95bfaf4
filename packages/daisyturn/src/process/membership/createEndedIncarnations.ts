import type { Clock } from "daisyturn-utils";
import type { VmListing } from "../../ports/vmList.js";
import type { ProcessIdentity } from "../peers/index.js";
import { EndProof, type MemberEntry } from "./heartbeatMessage.js";

export interface EndedIncarnationsOptions {
    /** The VM that this process runs on: a listing without it is not believed. */
    readonly ownVmId: string;
    readonly clock: Clock;
    /** How much later than the last sign of life a listing must be; covers the difference of the wall clocks. */
    readonly listingMarginMilliseconds: number;
    readonly onProofRecorded: (identity: ProcessIdentity, proof: EndProof) => void;
}

/** Runs of processes that are proved to have ended, and those whose end is being looked for. */
export interface EndedIncarnations {
    hasEnded(identity: ProcessIdentity): boolean;
    recordProof(identity: ProcessIdentity, proof: EndProof): void;
    /** Notes a sign of life, and looks for the run's end in the VM list from now on. */
    recordAlive(identity: ProcessIdentity): void;
    /** Looks for the run's end in the VM list; keeps an earlier note. */
    watch(identity: ProcessIdentity): void;
    /** Looks for watched runs; false if the listing is not believed or was taken before. */
    applyListing(listing: VmListing): boolean;
    /** The latest proofs, for telling peers. */
    recent(): readonly MemberEntry[];
}

/** A run whose end the VM list may show. */
interface WatchedIncarnation {
    readonly identity: ProcessIdentity;
    /** Wall-clock time of the last sign of life. */
    aliveAt: number;
    /** Listings in a row, each later than the last sign of life, that did not show the VM. */
    absences: number;
}

/** One listing may be wrong for a moment; the platform's words are believed when said twice. */
const absencesUntilProved = 2;
const maxEntries = 1_000;
const maxProofsPerMessage = 16;

export function createEndedIncarnations(options: EndedIncarnationsOptions): EndedIncarnations {
    const { ownVmId, clock, listingMarginMilliseconds, onProofRecorded } = options;
    const proofs = new Map<string, MemberEntry>();
    const watched = new Map<string, WatchedIncarnation>();
    let lastAsOf: number | undefined;

    const recordProof = (identity: ProcessIdentity, proof: EndProof) => {
        const key = formatIncarnationKey(identity);
        if (!proofs.has(key)) {
            proofs.set(key, { identity, ended: proof });
            watched.delete(key);
            dropOldest(proofs);
            onProofRecorded(identity, proof);
        }
    };

    const watch = (identity: ProcessIdentity): WatchedIncarnation => {
        const key = formatIncarnationKey(identity);
        const run = watched.get(key) ?? { identity, aliveAt: clock.wallNow(), absences: 0 };
        if (!proofs.has(key)) {
            watched.set(key, run);
            dropOldest(watched);
        }
        return run;
    };

    const evaluateListing = (run: WatchedIncarnation, listing: VmListing, listedVms: ReadonlySet<string>) => {
        if (listedVms.has(run.identity.vmId)) {
            run.absences = 0;
        }
        else if (listing.asOf > run.aliveAt + listingMarginMilliseconds) {
            run.absences += 1;
        }
        if (run.absences >= absencesUntilProved) {
            recordProof(run.identity, EndProof.VmGone);
        }
    };

    const applyListing = (listing: VmListing): boolean => {
        const listedVms = new Set(listing.entries.map(entry => entry.vmId));
        if (!listedVms.has(ownVmId) || listing.asOf === lastAsOf) {
            return false;
        }
        lastAsOf = listing.asOf;
        [...watched.values()].forEach(run => evaluateListing(run, listing, listedVms));
        return true;
    };

    return {
        hasEnded: identity => proofs.has(formatIncarnationKey(identity)),
        recordProof,
        recordAlive: identity => {
            const run = watch(identity);
            run.aliveAt = clock.wallNow();
            run.absences = 0;
        },
        watch: identity => void watch(identity),
        applyListing,
        recent: () => [...proofs.values()].slice(-maxProofsPerMessage),
    };
}

function formatIncarnationKey(identity: ProcessIdentity): string {
    return `${identity.processId}/${identity.incarnation}`;
}

function dropOldest(map: Map<string, unknown>): void {
    const oldest = map.keys().next();
    if (map.size > maxEntries && !oldest.done) {
        map.delete(oldest.value);
    }
}
