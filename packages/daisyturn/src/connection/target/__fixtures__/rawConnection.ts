import { type Failure, FailureReason, notRun, SystemClock } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { ConnectionBreak } from "../../../process/forwarding/index.js";
import { createReadTurns } from "../../bytes/createReadTurns.js";
import type { AnswerEnd } from "../answerEnd.js";
import { openSocket } from "../openSocket.js";
import { openTargetConnection, type TargetConnection } from "../openTargetConnection.js";

/** What came of one call. */
export interface Exchange {
    readonly result: Result<AnswerEnd, Failure>;
    readonly body: string;
    /** The statuses of all heads that were passed on. */
    readonly statuses: readonly number[];
}

/** Creates a connection to a raw target. */
export function openRawConnection(address: string, onBroken?: (how: ConnectionBreak) => void): TargetConnection {
    return openTargetConnection({
        address,
        connectionNumber: 1,
        now: () => performance.now(),
        turns: createReadTurns(),
        dial: async () => {
            const opened = await openSocket(address, { deadline: performance.now() + 400, clock: new SystemClock() });
            return opened
                .map(socket => ({ socket }))
                .mapErr(({ message }) => notRun(FailureReason.TargetFailed, `The connection failed: ${message}.`));
        },
        onBroken,
        onClosed: () => undefined,
    });
}

/** Sends a call and collects its answer. */
export async function exchange(
    connection: TargetConnection,
    signal: AbortSignal = new AbortController().signal,
    method = "GET",
): Promise<Exchange> {
    let body = "";
    const statuses: number[] = [];
    const result = await connection.send({
        head: { method, path: "/x", fields: ["Host", "target.example"] },
        body: undefined,
        signal,
        sink: {
            onHead: status => {
                statuses.push(status);
                return undefined;
            },
            onChunk: chunk => {
                body += chunk.toString("latin1");
            },
        },
    });
    return { result, body, statuses };
}
