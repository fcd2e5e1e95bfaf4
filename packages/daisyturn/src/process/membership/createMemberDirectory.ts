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
    /** Called for each run that was not known before. */
    readonly onRegistered: (record: MemberRecord) => void;
}

/** Which runs of which processes there are, which of them have ended, and by what proof. */
export interface MemberDirectory {
    /** Takes in that a run exists. Undefined if it has ended, if a newer one is known, or if it is of this process. */
    register(identity: ProcessIdentity): MemberRecord | undefined;
    /** As `register`, from the run itself. */
    recordContact(identity: ProcessIdentity): MemberRecord | undefined;
    recordProof(identity: ProcessIdentity, proof: EndProof): void;
    /** Whether there is proof of a run's end; if not, proof is looked for from now on. */
    hasEnded(identity: ProcessIdentity): boolean;
    applyListing(listing: VmListing): void;
    /** The latest proofs. */
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

    /** A replaced VM may have got the address of the one that is gone. */
    const disconnectUnlessUsed = (address: string) => {
        if (!table.present().some(record => record.identity.peerAddress === address)) {
            network.disconnect(address);
        }
    };

    /** An ended run hinders nobody: a restart whose wall clock was set back sorts before it and is taken all the same. */
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

    /** A newer run at another address does not recordProof that the earlier one has ended: it may be cut off or paused. */
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
                endedIncarnations.recordAlive(identity);
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
