import type { Clock } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import { encodePlacementAsk, type PlacementAnswer, type PlacementAsk } from "./messages/placementMessages.js";

/** Asks the coordinator for placements. */
export interface PlacementClient {
    /** Undefined where the coordinator does not answer in time. */
    ask(coordinator: RegisteredPeer, question: PlacementQuestion): Promise<PlacementAnswer | undefined>;
    noteAnswer(answer: PlacementAnswer): void;
    /** Number of the last placement that was taken from a coordinator; 0 if there was none. */
    lastTaken(peerId: string): number;
}

/** What is asked, but for who asks. */
export type PlacementQuestion = Omit<PlacementAsk, "from" | "askId">;

/** What {@link createPlacementClient} needs. */
export interface PlacementClientOptions {
    readonly selfId: string;
    readonly send: (peer: RegisteredPeer, datagram: Buffer) => void;
    readonly link: Pick<CoordinatorLink, "noteAnswer" | "noteTimeout">;
    readonly clock: Clock;
}

/** Far more than a question takes to another zone and back; with less known, a prompt is placed here then. */
const answerMilliseconds = 40;

/** Creates the client of one process. */
export function createPlacementClient({ selfId, send, link, clock }: PlacementClientOptions): PlacementClient {
    const waiting = new Map<number, (answer: PlacementAnswer) => void>();
    const taken = new Map<string, number>();
    let asks = 0;

    const ask = (coordinator: RegisteredPeer, question: PlacementQuestion) => {
        asks += 1;
        const askId = asks;
        const settled = new AbortController();
        const answered = new Promise<PlacementAnswer>(resolve => waiting.set(askId, resolve));
        const timedOut = clock.sleepUntil(clock.monotonicNow() + answerMilliseconds, settled.signal)
            .then(() => undefined);
        send(coordinator, encodePlacementAsk({ ...question, from: selfId, askId }));
        return Promise.race([answered, timedOut]).then(answer => {
            waiting.delete(askId);
            settled.abort();
            note(coordinator.peerId, answer);
            return answer;
        });
    };

    const note = (peerId: string, answer: PlacementAnswer | undefined) => {
        if (!answer) {
            link.noteTimeout(peerId);
            return;
        }
        link.noteAnswer(peerId);
        taken.set(peerId, Math.max(answer.number, taken.get(peerId) ?? 0));
    };

    return {
        ask,
        noteAnswer: answer => waiting.get(answer.askId)?.(answer),
        lastTaken: peerId => taken.get(peerId) ?? 0,
    };
}
