import type { Clock } from "daisyturn-utils";
import type { VmListing } from "../../ports/vmList.js";
import type { DialingPeerNetwork, ProcessIdentity } from "../peers/index.js";
import { createEndedRuns } from "./createEndedRuns.js";
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
    readonly onLearned: (record: MemberRecord) => void;
}

/** Which runs of which processes there are, which of them have ended, and by what proof. */
export interface MemberDirectory {
    /** Takes in that a run exists. Undefined if it has ended, if a newer one is known, or if it is of this process. */
    learn(identity: ProcessIdentity): MemberRecord | undefined;
    /** As `learn`, from the run itself. */
    noteHeard(identity: ProcessIdentity): MemberRecord | undefined;
    prove(identity: ProcessIdentity, proof: EndProof): void;
    /** Whether there is proof of a run's end; if not, proof is looked for from now on. */
    hasEnded(identity: ProcessIdentity): boolean;
    takeListing(listing: VmListing): void;
    /** The latest proofs. */
    recentEnds(): readonly MemberEntry[];
}

export function createMemberDirectory(options: MemberDirectoryOptions): MemberDirectory {
    const { network, table, seedList, clock, onLearned } = options;

    const endedRuns = createEndedRuns({
        ownVmId: network.self.vmId,
        clock,
        listingMarginMilliseconds: options.listingMarginMilliseconds,
        onProved: (identity, proof) => {
            const record = table.find(identity.processId);
            if (record?.identity.incarnation === identity.incarnation) {
                table.noteEnded(record, proof);
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
    const learn = (identity: ProcessIdentity): MemberRecord | undefined => {
        const known = table.find(identity.processId);
        if (known?.identity.incarnation === identity.incarnation) {
            return known.endedAt === undefined ? known : undefined;
        }
        if (identity.processId === network.self.processId || endedRuns.hasEnded(identity)) {
            return undefined;
        }
        if (!known || known.endedAt !== undefined) {
            return add(identity);
        }
        if (known.identity.incarnation > identity.incarnation) {
            noteReplaced(identity, known.identity);
            return undefined;
        }
        noteReplaced(known.identity, identity);
        return add(identity);
    };

    /** A newer run at another address does not prove that the earlier one has ended: it may be cut off or paused. */
    const noteReplaced = (earlier: ProcessIdentity, later: ProcessIdentity) => {
        if (earlier.peerAddress === later.peerAddress) {
            endedRuns.prove(earlier, EndProof.Restarted);
        }
        else {
            endedRuns.watch(earlier);
        }
    };

    const add = (identity: ProcessIdentity): MemberRecord => {
        const record = table.add(identity);
        endedRuns.watch(identity);
        seedList.noteFound(identity.peerAddress);
        network.connect(identity.peerAddress);
        onLearned(record);
        return record;
    };

    const hasEnded = (identity: ProcessIdentity): boolean => {
        const isOwnId = identity.processId === network.self.processId;
        const newest = isOwnId ? network.self : table.find(identity.processId)?.identity;
        if (newest && newest.incarnation > identity.incarnation) {
            noteReplaced(identity, newest);
        }
        else {
            endedRuns.watch(identity);
        }
        return endedRuns.hasEnded(identity);
    };

    return {
        learn,
        noteHeard: identity => {
            const record = learn(identity);
            if (record) {
                endedRuns.noteAlive(identity);
                table.noteHeard(record);
            }
            return record;
        },
        prove: endedRuns.prove,
        hasEnded,
        takeListing: listing => {
            if (endedRuns.takeListing(listing)) {
                seedList.takeListing(listing);
            }
        },
        recentEnds: endedRuns.recent,
    };
}
