import type { Clock } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import { encodePlacementRequest, type PlacementAnswer, type PlacementRequest } from "./messages/placementMessages.js";

/** Asks the coordinator for placements. */
export interface PlacementClient {
    /** Undefined where the coordinator does not answer in time. */
    ask(coordinator: RegisteredPeer, question: PlacementQuery): Promise<PlacementAnswer | undefined>;
    receiveAnswer(answer: PlacementAnswer): void;
    /** Number of the last placement that was taken from a coordinator; 0 if there was none. */
    lastReceived(peerId: string): number;
}

/** What is asked, but for who asks. */
export type PlacementQuery = Omit<PlacementRequest, "from" | "askId">;

/** What {@link createPlacementClient} needs. */
export interface PlacementClientOptions {
    readonly selfId: string;
    readonly send: (peer: RegisteredPeer, datagram: Buffer) => void;
    readonly link: Pick<CoordinatorLink, "recordAnswer" | "recordTimeout">;
    readonly clock: Clock;
}

/** Far more than a question takes to another zone and back; with less known, a prompt is placed here then. */
const answerTimeoutMilliseconds = 40;

/** Creates the client of one process. */
export function createPlacementClient({ selfId, send, link, clock }: PlacementClientOptions): PlacementClient {
    const pending = new Map<number, (answer: PlacementAnswer) => void>();
    const received = new Map<string, number>();
    let lastRequestId = 0;

    const ask = (coordinator: RegisteredPeer, question: PlacementQuery) => {
        lastRequestId += 1;
        const askId = lastRequestId;
        const settled = new AbortController();
        const answered = new Promise<PlacementAnswer>(resolve => pending.set(askId, resolve));
        const timedOut = clock.sleepUntil(clock.monotonicNow() + answerTimeoutMilliseconds, settled.signal)
            .then(() => undefined);
        send(coordinator, encodePlacementRequest({ ...question, from: selfId, askId }));
        return Promise.race([answered, timedOut]).then(answer => {
            pending.delete(askId);
            settled.abort();
            record(coordinator.peerId, answer);
            return answer;
        });
    };

    const record = (peerId: string, answer: PlacementAnswer | undefined) => {
        if (!answer) {
            link.recordTimeout(peerId);
            return;
        }
        link.recordAnswer(peerId);
        received.set(peerId, Math.max(answer.number, received.get(peerId) ?? 0));
    };

    return {
        ask,
        receiveAnswer: answer => pending.get(answer.askId)?.(answer),
        lastReceived: peerId => received.get(peerId) ?? 0,
    };
}
