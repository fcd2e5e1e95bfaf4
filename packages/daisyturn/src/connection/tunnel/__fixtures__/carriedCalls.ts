import { type Clock, SystemClock } from "daisyturn-utils";
import type { Socket } from "node:net";
import { createReadTurns } from "../../bytes/createReadTurns.js";
import { type RawTarget, startRawTarget } from "../../target/__fixtures__/rawTarget.js";
import { ConnectionPolicy, createTargetConnections } from "../../target/createTargetConnections.js";
import { type BenchRelay, createBenchDialer, LinkFault, startRelay } from "./createTunnelBench.js";

/** What was received of the answer to one call. */
export interface ReceivedAnswer {
    readonly isWhole: boolean;
    readonly statuses: readonly number[];
    readonly text: string;
}

/** A process that calls a target, and two peers that carry its calls where its link to the target is lost. */
export interface CarriedCalls {
    readonly relays: readonly BenchRelay[];
    readonly target: RawTarget;
    send(callId: string, body?: Buffer): Promise<ReceivedAnswer>;
}

const clock: Clock = new SystemClock();
/** Far longer than any call of these tests. */
const testLimitMilliseconds = 30_000;

/**
 * Runs a test with a target that answers as given.
 * @param fault how the link to the target fails; it works if absent
 */
export async function withCarriedCalls(
    answer: (socket: Socket) => unknown,
    run: (calls: CarriedCalls) => Promise<void>,
    fault: LinkFault | undefined = LinkFault.Refused,
): Promise<void> {
    const target = await startRawTarget(answer);
    const relays = [await startRelay("peer-0"), await startRelay("peer-1")];
    const { dialer, links, state } = createBenchDialer(relays);
    state.fault = fault;
    const barrier = { isPassed: () => true, nextRead: () => Promise.resolve() };
    const connections = createTargetConnections(clock, links, dialer, barrier, createReadTurns());

    const send = async (callId: string, body?: Buffer): Promise<ReceivedAnswer> => {
        let text = "";
        const statuses: number[] = [];
        const length = body ? ["Content-Length", String(body.length)] : [];
        const result = await connections.send(target.address, ConnectionPolicy.RecentlyVerified, {
            callId,
            head: { method: "POST", path: "/buy", fields: ["Host", "target.example", ...length] },
            body,
            signal: AbortSignal.timeout(testLimitMilliseconds),
            sink: {
                onHead: status => {
                    statuses.push(status);
                    return undefined;
                },
                onChunk: chunk => {
                    text += String(chunk);
                    return undefined;
                },
            },
        });
        return { isWhole: result.isOk, statuses, text };
    };
    try {
        await run({ relays, target, send });
    }
    finally {
        connections.close();
        relays.forEach(({ server }) => server.close());
        await target.close();
    }
}
