import { type Clock, createSignal } from "daisyturn-utils";
import type { CrashEvidence, CrashRecord } from "../../crashes/index.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import type { Members } from "./createMembers.js";
import { encodeEvidence, type EvidenceMessage } from "./messages/evidenceMessage.js";
import type { PeerAddress } from "./peerChannel.js";

/** What {@link createEvidencePublisher} needs. */
export interface EvidencePublisherOptions {
    readonly selfId: string;
    readonly evidence: CrashEvidence;
    readonly members: Pick<Members, "list">;
    readonly link: Pick<CoordinatorLink, "isCandidate" | "listReportReceivers" | "listOtherCandidates">;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly clock: Clock;
}

/**
 * Spreads evidence to all processes: new records at once, by way of the coordinators of all groups, and all records to
 * a process whose digest differs. That process answers with its own digest and records, if it still differs then.
 */
export interface EvidencePublisher {
    receive(message: EvidenceMessage, from: PeerAddress): void;
    /**
     * Compares the digest of another process, which is undefined if its version sends none, and sends it this one's and
     * all records once the digests have differed for a while.
     */
    compareDigest(peerId: string, address: PeerAddress, digest: number | undefined): void;
    run(signal: AbortSignal): Promise<void>;
}

/** Collects the records of a crash, whose connections break one after the other. */
const collectMilliseconds = 10;
/** New records reach all processes within this time, unless a datagram is lost. */
const spreadMilliseconds = 300;
/** Minimum interval between two answers with all records to the same process. */
const answerMilliseconds = 100;
/** Added to both for each record to send. */
const millisecondsPerRecord = 1;
const idleMilliseconds = 60_000;
/** More processes than a fleet has; anyone who reaches the port can make up names. */
const maxKnownPeers = 4_096;

interface NewRecord {
    readonly record: CrashRecord;
    /** Monotonic time to which the record's age refers. */
    readonly at: number;
    /** Process that has sent the record; undefined if it is this process's own. */
    readonly source: string | undefined;
}

/** Creates the publisher of one process. */
export function createEvidencePublisher(options: EvidencePublisherOptions): EvidencePublisher {
    const { selfId, evidence, members, link, send, clock } = options;
    const changed = createSignal();
    /** Monotonic time at which the digest of a process was found to differ, or was last answered, by its name. */
    const differences = new Map<string, number>();
    const answeredAt = new Map<string, number>();
    let unsent: NewRecord[] = [];

    evidence.onChanged((records, source) => {
        const at = clock.monotonicNow();
        records.forEach(record => unsent.push({ record, at, source }));
        changed.raise();
    });

    const sendNew = (to: PeerAddress, records: readonly CrashRecord[]) =>
        encodeEvidence({ from: selfId, records }).forEach(datagram => send(to, datagram));

    const sendAll = (to: PeerAddress) => {
        const message = { from: selfId, digest: evidence.digest(), records: evidence.list() };
        encodeEvidence(message).forEach(datagram => send(to, datagram));
    };

    const addWaitingTime = ({ record, at }: NewRecord): CrashRecord => ({
        ...record,
        age: record.age + Math.round(clock.monotonicNow() - at),
    });

    /** Only processes that others report to relay what they receive; the others have no further receivers. */
    const publish = () => {
        const found = unsent;
        unsent = [];
        const membersNow = members.list();
        const relayed = membersNow.length > 0 ? found : found.filter(({ source }) => source === undefined);
        if (relayed.length === 0) {
            return;
        }
        const candidates = link.isCandidate() ? link.listOtherCandidates() : [];
        const receivers = new Map(
            [...membersNow, ...link.listReportReceivers(), ...candidates].map(peer => [describeAddress(peer), peer]),
        );
        for (const [address, receiver] of receivers) {
            const records = relayed.filter(({ source }) => source !== address).map(addWaitingTime);
            if (records.length > 0) {
                sendNew(receiver, records);
            }
        }
    };

    /** Bounds the traffic between processes whose records differ for longer, for example by what they have dropped. */
    const repeatDelay = () => evidence.list().length * millisecondsPerRecord;

    const hasSameRecords = (peerId: string, digest: number) => {
        const isSame = digest === evidence.digest();
        if (isSame) {
            differences.delete(peerId);
        }
        return isSame;
    };

    const compareDigest = (peerId: string, address: PeerAddress, digest: number | undefined) => {
        if (digest === undefined || hasSameRecords(peerId, digest)) {
            return;
        }
        const now = clock.monotonicNow();
        // A process without any records has just started. Others may be about to receive what is on its way.
        const noticedAt = differences.get(peerId) ?? (digest === 0 ? -Infinity : now);
        const isDue = now - noticedAt >= spreadMilliseconds + repeatDelay();
        if (differences.size >= maxKnownPeers) {
            differences.clear();
        }
        differences.set(peerId, isDue ? now : noticedAt);
        if (isDue) {
            sendAll(address);
        }
    };

    /** Answers a process that has sent all its records and lacks some of this one's. */
    const answer = (peerId: string, address: PeerAddress, digest: number) => {
        const now = clock.monotonicNow();
        if (
            !hasSameRecords(peerId, digest)
            && now - (answeredAt.get(peerId) ?? -Infinity) >= answerMilliseconds + repeatDelay()
        ) {
            answeredAt.set(peerId, now);
            sendAll(address);
        }
    };

    return {
        receive: ({ from: peerId, digest, records }, address) => {
            evidence.recordRemote(records, describeAddress(address));
            if (digest !== undefined) {
                answer(peerId, address, digest);
            }
        },
        compareDigest,
        run: async signal => {
            while (!signal.aborted) {
                if (unsent.length === 0) {
                    await changed.wait(clock, clock.monotonicNow() + idleMilliseconds, signal);
                }
                await clock.sleepUntil(clock.monotonicNow() + collectMilliseconds, signal);
                publish();
            }
        },
    };
}

function describeAddress({ host, port }: PeerAddress): string {
    return `${host}:${port}`;
}
