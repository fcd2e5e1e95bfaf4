import { type Clock, createSignal } from "daisyturn-utils";
import type { CrashEvidence } from "../../crashes/index.js";
import type { TargetLinks } from "../links/createTargetLinks.js";
import type { TargetSpeeds } from "../speeds/createTargetSpeeds.js";
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
    readonly link: Pick<CoordinatorLink, "isCandidate" | "listCandidates" | "countListed">;
    readonly reader: TableReader;
    readonly closed: ClosedTargets;
    readonly evidence: Pick<CrashEvidence, "digest">;
    readonly speeds: Pick<TargetSpeeds, "listEstimates">;
    readonly links: Pick<TargetLinks, "isCutOff">;
    /** Members use a state report of a table for up to this time after the store last answered. */
    readonly maxStateAgeMilliseconds: () => number;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly clock: Clock;
}

/** Sends the state of this process, and the rows that it reads from the store, to the processes that report to it. */
export interface StatePublisher {
    /** Sends the state to one process immediately. */
    publishTo(member: PeerAddress): void;
    /** Informs all members that this process no longer accepts placement requests. */
    stopAnswering(): void;
    run(signal: AbortSignal): Promise<void>;
}

/** Number of state messages within the maximum age of a state, because some may be lost. */
const statesPerMaxAge = 6;
const maxIntervalMilliseconds = 500;
/** Interval while an engine is closed, because all processes must know of it before the engine is ordered to change. */
const closingIntervalMilliseconds = 100;
/**
 * Members read larger changes from the store: a large datagram is sent in fragments, and the loss of any fragment loses
 * the whole datagram.
 */
const maxRowsBytes = 16_384;

export function createStatePublisher(options: StatePublisherOptions): StatePublisher {
    const { selfId, members, link, reader, closed, evidence, links, speeds, send, clock } = options;
    const changed = createSignal();
    let isStopping = false;
    closed.onChanged(changed.raise);

    const encodeState = () =>
        encodeCoordinatorState({
            from: selfId,
            isAnswering: members.isComplete() && !isStopping,
            isCutOff: links.isCutOff(),
            tables: link.isCandidate() ? reader.listStates() : [],
            closed: closed.listKnown(),
            candidates: link.listCandidates(),
            evidence: evidence.digest(),
            speeds: speeds.listEstimates(),
            processes: link.countListed(),
        });

    const publishAll = () => {
        const present = members.list();
        if (present.length > 0) {
            const state = encodeState();
            present.forEach(member => send(member, state));
        }
    };

    const interval = () =>
        closed.hasOwnClosings()
            ? closingIntervalMilliseconds
            : Math.min(maxIntervalMilliseconds, options.maxStateAgeMilliseconds() / statesPerMaxAge);

    reader.onRows(message => {
        const datagram = encodeRowsMessage({ ...message, from: selfId });
        if (datagram.length <= maxRowsBytes) {
            members.list().forEach(member => send(member, datagram));
        }
    });

    // The members' last reports of the coordinator are about to become too old.
    reader.onResumed(() => link.isCandidate() && publishAll());

    return {
        publishTo: member => send(member, encodeState()),
        stopAnswering: () => {
            isStopping = true;
            publishAll();
        },
        run: async signal => {
            while (!signal.aborted) {
                publishAll();
                await changed.wait(clock, clock.monotonicNow() + interval(), signal);
            }
        },
    };
}
