import { type Clock, createSignal } from "daisyturn-utils";
import type { ClosedTargets } from "../targets/createClosedTargets.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import type { Members } from "./createMembers.js";
import type { TableReader } from "./createTableReader.js";
import { encodeCoordinatorState, encodeRowsMessage } from "./messages/tableMessages.js";
import type { PeerAddress } from "./peerChannel.js";

/** What {@link createStatePublisher} needs. */
export interface StatePublisherOptions {
    readonly selfId: string;
    readonly members: Members;
    readonly link: Pick<CoordinatorLink, "isCandidate" | "listCandidates">;
    readonly reader: TableReader;
    readonly closed: ClosedTargets;
    /** Longest time for which a coordinator's word on a table holds, in milliseconds. */
    readonly maxStateAgeMilliseconds: () => number;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly clock: Clock;
}

/** Tells the processes that take this one for a coordinator that it is there, and what it reads in the store. */
export interface StatePublisher {
    /** Tells one process, at once. */
    tell(member: PeerAddress): void;
    /** Tells all that they had better ask another process. */
    stopAnswering(): void;
    run(signal: AbortSignal): Promise<void>;
}

/** Messages for each stretch of time for which a coordinator's word holds: some may be lost. */
const statesPerFreshTime = 6;
const longestPauseMilliseconds = 500;
/** Pause while an engine is kept closed, which all have to know before it is ordered. */
const closingMilliseconds = 100;
/** Larger changes are left to the store: a datagram in many pieces is lost with any of them. */
const mostRowsBytes = 16_384;

/** Creates the teller of one process. */
export function createStatePublisher(options: StatePublisherOptions): StatePublisher {
    const { selfId, members, link, reader, closed, send, clock } = options;
    const news = createSignal();
    let isStopping = false;
    closed.onChanged(news.raise);

    const describe = () =>
        encodeCoordinatorState({
            from: selfId,
            isAnswering: members.isComplete() && !isStopping,
            tables: link.isCandidate() ? reader.listStates() : [],
            closed: closed.listKnown(),
            candidates: link.listCandidates(),
        });

    const publishAll = () => {
        const present = members.list();
        if (present.length > 0) {
            const state = describe();
            present.forEach(member => send(member, state));
        }
    };

    const pause = () =>
        closed.hasOwnClosings()
            ? closingMilliseconds
            : Math.min(longestPauseMilliseconds, options.maxStateAgeMilliseconds() / statesPerFreshTime);

    reader.onRows(message => {
        const datagram = encodeRowsMessage({ ...message, from: selfId });
        if (datagram.length <= mostRowsBytes) {
            members.list().forEach(member => send(member, datagram));
        }
    });

    return {
        tell: member => send(member, describe()),
        stopAnswering: () => {
            isStopping = true;
            publishAll();
        },
        run: async signal => {
            while (!signal.aborted) {
                publishAll();
                await news.wait(clock, clock.monotonicNow() + pause(), signal);
            }
        },
    };
}
