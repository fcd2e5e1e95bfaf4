import { type Clock, createInterruption } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import type { StreamOrigin, StreamOrigins, VersionHistory } from "../../../origins/index.js";
import type { Notification } from "../messages/notification.js";
import {
    encodeOriginQuery,
    encodeOrigins,
    encodeUnknownOrigin,
    type OriginQuery,
    readOriginQuery,
    readOrigins,
    readUnknownOrigin,
    type UnknownOriginMessage,
} from "../messages/originMessages.js";
import type { PeerAddress } from "../peerChannel.js";
import { selectReplicas } from "./selectReplicas.js";

/** What {@link createOriginPublisher} needs. */
export interface OriginPublisherOptions {
    readonly self: RegisteredPeer;
    readonly origins: StreamOrigins;
    readonly versions: VersionHistory;
    /** Lists all known processes, including this one. */
    readonly listPeers: () => readonly RegisteredPeer[];
    /** Requests that the list of processes be read again. */
    readonly refreshPeers: () => void;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly clock: Clock;
}

/** Which targets may continue a stream. */
export interface FoundOrigin extends Pick<StreamOrigin, "service" | "softwareVersion" | "account"> {
    /** The process that has the record; absent if no process has it, but the service has had only one version. */
    readonly knownBy?: string;
}

/**
 * Keeps the origins of this process's streams at replicas, so that they outlast it, and finds those of others. While all
 * targets of a service have one software version, nothing is sent.
 */
export interface OriginPublisher {
    /** Finds the origin of a stream that is to be continued at a service; undefined if no process knows it. */
    find(streamId: string, service: string): Promise<FoundOrigin | undefined>;
    receive(notification: Notification, from: PeerAddress): void;
    /** Sends all origins to their replicas, because this process ends. */
    handOver(): void;
}

/**
 * Time for the answers to a query, also from processes that are busy for a moment. The processes that have not answered
 * by then, because a datagram was lost or they are gone, are asked once more.
 */
const answerTimeoutMilliseconds = 75;
/** In small fleets, all processes are asked at once. */
const maxFirstQueries = 16;
/** Bounds the datagrams of one lookup. */
const maxQueries = 256;
/** Bounds the memory for origins that have not been sent; a few seconds' worth. */
const maxUnsent = 1_024;

interface Lookup {
    /** Processes that have not answered yet. */
    readonly pending: Set<string>;
    /** What the processes that do not know the stream know of the service's software versions. */
    readonly unknown: UnknownOriginMessage[];
    /** The process that has answered with the origin. */
    source?: string;
    /** Called once an answer has arrived or none is pending. */
    settle: () => void;
}

/** Creates the publisher of one process. */
export function createOriginPublisher(options: OriginPublisherOptions): OriginPublisher {
    const { self, origins, versions, send, clock } = options;
    const lookups = new Map<string, Set<Lookup>>();
    let unsent: StreamOrigin[] = [];

    const listOthers = () => options.listPeers().filter(({ peerId }) => peerId !== self.peerId);

    const describe = (origin: StreamOrigin) => ({ ...origin, remaining: origin.deadline - clock.monotonicNow() });

    const sendTo = (peer: PeerAddress, sent: readonly StreamOrigin[]) =>
        encodeOrigins({ from: self.peerId, origins: sent.map(describe) }).forEach(datagram => send(peer, datagram));

    const publish = (published: readonly StreamOrigin[], peers: readonly RegisteredPeer[]) => {
        const byReplica = new Map<RegisteredPeer, StreamOrigin[]>();
        for (const origin of published.filter(({ deadline }) => deadline > clock.monotonicNow())) {
            for (const replica of selectReplicas(origin.streamId, peers)) {
                const sent = byReplica.get(replica);
                if (sent) {
                    sent.push(origin);
                }
                else {
                    byReplica.set(replica, [origin]);
                }
            }
        }
        byReplica.forEach((sent, replica) => replica.peerId !== self.peerId && sendTo(replica, sent));
    };

    /**
     * Returns the software version of all targets that may have begun a stream of a service; undefined if this process
     * or one that has answered knows several, or does not know the targets of long enough ago.
     */
    const findSole = (service: string, answers: readonly UnknownOriginMessage[]): string | undefined => {
        const known = new Set([...versions.list(service), ...answers.flatMap(answer => answer.versions)]);
        const [sole] = known;
        return versions.isComplete() && known.size === 1 ? sole : undefined;
    };

    /**
     * The same, if it holds now: this process may have been out of touch while targets of another version began streams.
     * The store knows of all versions; while it does not answer, most processes must agree.
     */
    const confirmSole = async (
        service: string,
        answers: readonly UnknownOriginMessage[],
    ): Promise<string | undefined> => {
        const agreeing = 1 + new Set(answers.filter(({ isComplete }) => isComplete).map(({ from }) => from)).size;
        const isAgreed = findSole(service, answers) !== undefined
            && (await versions.confirm() || 2 * agreeing > listOthers().length + 1);
        return isAgreed ? findSole(service, answers) : undefined;
    };

    origins.onRecorded(origin => {
        unsent.push(origin);
        if (findSole(origin.service, []) === undefined) {
            publish(unsent, options.listPeers());
            unsent = [];
        }
        else if (unsent.length > maxUnsent) {
            unsent = unsent.slice(-maxUnsent / 2);
        }
    });

    const ask = async (peers: readonly RegisteredPeer[], streamId: string, service: string): Promise<Lookup> => {
        const settled = createInterruption();
        const lookup: Lookup = {
            pending: new Set(peers.map(({ peerId }) => peerId)),
            unknown: [],
            settle: settled.interrupt,
        };
        const group = lookups.get(streamId) ?? new Set();
        lookups.set(streamId, group.add(lookup));
        const query = encodeOriginQuery({ from: self.peerId, streamId, service });
        peers.forEach(peer => send(peer, query));
        if (peers.length > 0) {
            await clock.sleepUntil(clock.monotonicNow() + answerTimeoutMilliseconds, settled.signal);
        }
        group.delete(lookup);
        if (group.size === 0) {
            lookups.delete(streamId);
        }
        return lookup;
    };

    const describeFound = (streamId: string, knownBy: string): FoundOrigin | undefined => {
        const origin = origins.find(streamId);
        if (!origin) {
            return undefined;
        }
        const { service, softwareVersion, account } = origin;
        return { service, softwareVersion, knownBy, ...(account === undefined ? {} : { account }) };
    };

    const find = async (streamId: string, service: string): Promise<FoundOrigin | undefined> => {
        const own = describeFound(streamId, self.peerId);
        if (own) {
            return own;
        }
        const others = listOthers();
        const first = others.length <= maxFirstQueries ? others : selectReplicas(streamId, others);
        const answers: UnknownOriginMessage[] = [];
        let answered: ReadonlySet<string> = new Set();
        for (const peers of [first, others.slice(0, maxQueries)]) {
            const asked = peers.filter(({ peerId }) => !answered.has(peerId));
            const { pending, unknown, source } = await ask(asked, streamId, service);
            const found = describeFound(streamId, source ?? self.peerId);
            if (found) {
                return found;
            }
            answers.push(...unknown);
            answered = new Set(peers.map(({ peerId }) => peerId).filter(peerId => !pending.has(peerId)));
        }
        options.refreshPeers();
        const softwareVersion = await confirmSole(service, answers);
        return softwareVersion === undefined ? undefined : { service, softwareVersion };
    };

    const answer = ({ streamId, service }: OriginQuery, from: PeerAddress) => {
        const origin = origins.find(streamId);
        if (origin) {
            sendTo(from, [origin]);
            return;
        }
        const known = { versions: versions.list(service), isComplete: versions.isComplete() };
        send(from, encodeUnknownOrigin({ from: self.peerId, streamId, ...known }));
    };

    const recordUnknown = (message: UnknownOriginMessage) =>
        lookups.get(message.streamId)?.forEach(lookup => {
            lookup.pending.delete(message.from);
            lookup.unknown.push(message);
            if (lookup.pending.size === 0) {
                lookup.settle();
            }
        });

    /** Messages of processes that are not in the registry are not accepted. */
    const isRegistered = (peerId: string, { host }: PeerAddress) => {
        const isKnown = options.listPeers().some(peer => peer.peerId === peerId && peer.host === host);
        if (!isKnown) {
            options.refreshPeers();
        }
        return isKnown;
    };

    return {
        find,
        receive: (notification, from) => {
            const received = readOrigins(notification);
            const query = readOriginQuery(notification);
            const unknown = readUnknownOrigin(notification);
            if (query && isRegistered(query.from, from)) {
                answer(query, from);
            }
            if (unknown && isRegistered(unknown.from, from)) {
                recordUnknown(unknown);
            }
            if (received && isRegistered(received.from, from)) {
                const now = clock.monotonicNow();
                received.origins.forEach(({ remaining, ...origin }) => {
                    origins.recordRemote({ ...origin, deadline: now + remaining });
                    lookups.get(origin.streamId)?.forEach(lookup => {
                        lookup.source = received.from;
                        lookup.settle();
                    });
                });
            }
        },
        handOver: () => publish(origins.list(), listOthers()),
    };
}
