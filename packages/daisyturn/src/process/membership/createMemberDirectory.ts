import type { Clock } from "daisyturn-utils";
import type { VmListing } from "../../ports/vmList.js";
import type { DialingPeerNetwork, ProcessIdentity } from "../peers/index.js";
import { createEndedIncarnations } from "./createEndedIncarnations.js";
import type { MemberRecord, MemberTable } from "./createMemberTable.js";
import type { SeedList } from "./createSeedList.js";
import { EndProof, type MemberEntry } from "./heartbeatMessage.js";

export interface MemberDirectoryOptions {
    readonly network: DialingPeerNetwork;
    readonly table: MemberTable;
    readonly seedList: SeedList;
    readonly clock: Clock;
    readonly listingMarginMilliseconds: number;
    /** Called for each incarnation that was not known before. */
    readonly onRegistered: (record: MemberRecord) => void;
}

/** Known incarnations of the processes of the cell, and the proofs of those that have ended. */
export interface MemberDirectory {
    /**
     * Registers an incarnation. Returns undefined if it has ended, if a newer one is known, or if it belongs to this
     * process.
     */
    register(identity: ProcessIdentity): MemberRecord | undefined;
    /** Registers an incarnation that a message was received from, and records the contact. */
    recordContact(identity: ProcessIdentity): MemberRecord | undefined;
    recordProof(identity: ProcessIdentity, proof: EndProof): void;
    /** Returns whether there is proof of an incarnation's end; if not, the VM list is watched for it from now on. */
    hasEnded(identity: ProcessIdentity): boolean;
    applyListing(listing: VmListing): void;
    /** Returns the latest proofs. */
    recentEnds(): readonly MemberEntry[];
}

export function createMemberDirectory(options: MemberDirectoryOptions): MemberDirectory {
    const { network, table, seedList, clock, onRegistered } = options;

    const endedIncarnations = createEndedIncarnations({
        ownVmId: network.self.vmId,
        clock,
        listingMarginMilliseconds: options.listingMarginMilliseconds,
        onProofRecorded: (identity, proof) => {
            const record = table.find(identity.processId);
            if (record?.identity.incarnation === identity.incarnation) {
                table.recordEnded(record, proof);
                disconnectUnlessUsed(identity.peerAddress);
            }
        },
    });

    /** The address may already belong to another member, because a replacement VM can reuse it. */
    const disconnectUnlessUsed = (address: string) => {
        if (!table.present().some(record => record.identity.peerAddress === address)) {
            network.disconnect(address);
        }
    };

    /**
     * An ended incarnation is replaced by any other, also by one that sorts before it: the wall clock may have been set
     * back before the restart.
     */
    const register = (identity: ProcessIdentity): MemberRecord | undefined => {
        const known = table.find(identity.processId);
        if (known?.identity.incarnation === identity.incarnation) {
            return known.endedAt === undefined ? known : undefined;
        }
        if (identity.processId === network.self.processId || endedIncarnations.hasEnded(identity)) {
            return undefined;
        }
        if (!known || known.endedAt !== undefined) {
            return add(identity);
        }
        if (known.identity.incarnation > identity.incarnation) {
            recordReplaced(identity, known.identity);
            return undefined;
        }
        recordReplaced(known.identity, identity);
        return add(identity);
    };

    /**
     * A newer incarnation at another address does not prove that the earlier one has ended: it may be partitioned or
     * paused.
     */
    const recordReplaced = (earlier: ProcessIdentity, later: ProcessIdentity) => {
        if (earlier.peerAddress === later.peerAddress) {
            endedIncarnations.recordProof(earlier, EndProof.Restarted);
        }
        else {
            endedIncarnations.watch(earlier);
        }
    };

    const add = (identity: ProcessIdentity): MemberRecord => {
        const record = table.add(identity);
        endedIncarnations.watch(identity);
        seedList.recordFound(identity.peerAddress);
        network.connect(identity.peerAddress);
        onRegistered(record);
        return record;
    };

    const hasEnded = (identity: ProcessIdentity): boolean => {
        const isOwnId = identity.processId === network.self.processId;
        const newest = isOwnId ? network.self : table.find(identity.processId)?.identity;
        if (newest && newest.incarnation > identity.incarnation) {
            recordReplaced(identity, newest);
        }
        else {
            endedIncarnations.watch(identity);
        }
        return endedIncarnations.hasEnded(identity);
    };

    return {
        register,
        recordContact: identity => {
            const record = register(identity);
            if (record) {
                endedIncarnations.recordContact(identity);
                table.recordContact(record);
            }
            return record;
        },
        recordProof: endedIncarnations.recordProof,
        hasEnded,
        applyListing: listing => {
            if (endedIncarnations.applyListing(listing)) {
                seedList.applyListing(listing);
            }
        },
        recentEnds: endedIncarnations.recent,
    };
}
