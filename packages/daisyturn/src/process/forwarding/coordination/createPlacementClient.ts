import { type Clock, createInterruption } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import { encodePlacementRequest, type PlacementAnswer, type PlacementRequest } from "./messages/placementMessages.js";

/** Requests placements from the coordinator. */
export interface PlacementClient {
    /** Resolves with undefined if the coordinator does not answer in time. */
    request(coordinator: RegisteredPeer, query: PlacementQuery): Promise<PlacementAnswer | undefined>;
    receiveAnswer(answer: PlacementAnswer): void;
    /** Returns the number of the last placement received from a coordinator, or 0 if there was none. */
    lastReceived(peerId: string): number;
}

/** A placement request without the fields that identify it. */
export type PlacementQuery = Omit<PlacementRequest, "from" | "askId">;

/** What {@link createPlacementClient} needs. */
export interface PlacementClientOptions {
    readonly selfId: string;
    readonly send: (peer: RegisteredPeer, datagram: Buffer) => void;
    readonly link: Pick<CoordinatorLink, "recordAnswer" | "recordTimeout">;
    readonly clock: Clock;
}

/** Far longer than a request to another zone takes. After it, the prompt is placed locally, with less information. */
const answerTimeoutMilliseconds = 40;

export function createPlacementClient({ selfId, send, link, clock }: PlacementClientOptions): PlacementClient {
    const pending = new Map<number, (answer: PlacementAnswer) => void>();
    const received = new Map<string, number>();
    let lastRequestId = 0;

    const request = (coordinator: RegisteredPeer, query: PlacementQuery) => {
        lastRequestId += 1;
        const askId = lastRequestId;
        const settled = createInterruption();
        const answered = new Promise<PlacementAnswer>(resolve => pending.set(askId, resolve));
        const timedOut = clock.sleepUntil(clock.monotonicNow() + answerTimeoutMilliseconds, settled.signal)
            .then(() => undefined);
        send(coordinator, encodePlacementRequest({ ...query, from: selfId, askId }));
        return Promise.race([answered, timedOut]).then(answer => {
            pending.delete(askId);
            settled.interrupt();
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
        request,
        receiveAnswer: answer => pending.get(answer.askId)?.(answer),
        lastReceived: peerId => received.get(peerId) ?? 0,
    };
}
