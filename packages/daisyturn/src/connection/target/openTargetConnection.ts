import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import type { Socket } from "node:net";
import { err, ok, type Result } from "true-myth/result";
import type { Dispatcher } from "undici";
import type { HeaderFields, IncomingFields, OutgoingHead } from "../../ports/forwardedCall.js";
import { ConnectionBreak } from "../../process/forwarding/index.js";
import { type AnswerReads, boundAnswerReads } from "../bytes/boundAnswerReads.js";
import { createChunkBatch } from "../bytes/createChunkBatch.js";
import type { ReadTurns } from "../bytes/createReadTurns.js";
import { AnswerEnd, determineEnd } from "./answerEnd.js";
import { createTargetClient } from "./createTargetClient.js";
import type { DialedConnection } from "./createTargetDialer.js";
import { createInterimAnswers, isFinal } from "./interimAnswers.js";
import { isReset } from "./isReset.js";
import { readPastContinue } from "./readPastContinue.js";
import { resetConnection } from "./resetConnection.js";

/** Receives an answer as it arrives. */
export interface AnswerSink {
    /**
     * Called with the head of the final answer; interim ones are read past.
     * @returns a failure if the answer is not acceptable; the connection is then closed and the send fails with it
     */
    onHead(status: number, fields: IncomingFields): Failure | undefined;
    /** @returns a failure if no more of the answer is acceptable; the connection is then closed and the send fails with it */
    onChunk(chunk: Buffer): Failure | undefined;
    /** Whether more of the answer may be read; any may if absent. If not, `resume` is called when it may. */
    mayRead?(resume: () => void): boolean;
}

/** How much of a request a process had sent when it gave up the send. */
export enum AbandonedSend {
    NotSent = "not_sent",
    /** The process still held bytes of the request. */
    PartlySent = "partly_sent",
    /** The kernel had taken all bytes of the request. */
    Sent = "sent",
}

/** The connection by which a call is sent. */
export interface StartedSend {
    /** The peer that carries the connection; undefined for a direct one. */
    readonly relayId: string | undefined;
    /** Monotonic time since which the connection has been open. */
    readonly openedAt: number;
    /** Identifies the connection in the logs of its process. */
    readonly connectionNumber: number;
}

/** One send over one connection. */
export interface TargetSend {
    /** Identifier that the answer bears; undefined if it bears none. */
    readonly callId?: string;
    readonly head: OutgoingHead;
    readonly body: Buffer | undefined;
    readonly sink: AnswerSink;
    /** Aborted with a `Failure` as its reason. */
    readonly signal: AbortSignal;
    /** Called right before the call is sent, perhaps after a connection was opened. A failure prevents the send. */
    readonly checkStart?: () => Failure | undefined;
    /** Called when the call is sent. */
    readonly onStarted?: (started: StartedSend) => void;
    /** Called when the send is abandoned, with the number of bytes that the process still held. */
    readonly onAbandoned?: (progress: AbandonedSend, heldBytes: number) => void;
}

/** A connection to a target. It carries one call at a time. */
export interface TargetConnection {
    readonly openedAt: number;
    /** Monotonic time at which the last answer was complete; undefined before the first one. */
    lastAnsweredAt(): number | undefined;
    isAlive(): boolean;
    /** The peer that carries the connection; undefined for a direct one, and before it is open. */
    relayId(): string | undefined;
    /** Resolves once the answer is complete, or with a failure whose verdict says whether the call may have run. */
    send(send: TargetSend): Promise<Result<AnswerEnd, Failure>>;
    close(): void;
}

/** Options of {@link openTargetConnection}. */
export interface TargetConnectionOptions {
    /** IP number and port. */
    readonly address: string;
    /** Identifies the connection in the logs of its process. */
    readonly connectionNumber: number;
    readonly now: () => number;
    readonly dial: () => Promise<Result<DialedConnection, Failure>>;
    /** The turns that all connections of the process share. */
    readonly turns: ReadTurns;
    /** Called when the target breaks the open connection off, within an answer or while it is idle. */
    readonly onBroken?: (how: ConnectionBreak) => void;
    /** Called once the connection can carry no further call. */
    readonly onClosed: () => void;
}

/** Opens a connection. Calls that are sent before it is established wait for it. */
export function openTargetConnection(options: TargetConnectionOptions): TargetConnection {
    const { now, connectionNumber } = options;
    let socket: Socket | undefined;
    let relayId: string | undefined;
    let openedAt = Infinity;
    let isAlive = true;
    let isEnded = false;
    let isSending = false;
    let lastAnsweredAt: number | undefined;
    let reads: AnswerReads | undefined;
    /** Delivers what was read of the running answer; false if no more of it may be read now. */
    let prepareRead: () => boolean = () => true;

    const connectSocket = (unused: unknown, done: (error: Error | null, socket: Socket | null) => void) =>
        void options.dial().then(dialed => {
            if (dialed.isErr) {
                done(new DialError(dialed.error), noSocket);
                return;
            }
            ({ socket, relayId } = dialed.value);
            // undici takes any close, also a reset, for the end of an answer without a length.
            const opened = socket;
            openedAt = now();
            readPastContinue(opened);
            reads = boundAnswerReads(opened, options.turns, () => prepareRead());
            opened.once("end", () => {
                isEnded = !isReset(opened);
            });
            if (!isAlive) {
                socket.destroy();
            }
            done(noError, socket);
        });

    const client = createTargetClient(options.address, connectSocket as never);

    const close = () => {
        if (isAlive) {
            isAlive = false;
            options.onClosed();
        }
        // Without this, undici would reconnect for the next call. The running call reports its own error.
        void client.destroy().catch(() => undefined);
    };
    client.on("disconnect", (origin, targets, error: Error & { code?: string; }) => {
        // Otherwise this process has closed the connection, as it was idle for long or its answer said that it is the last.
        if (isAlive && !isSending && error.code !== "UND_ERR_INFO") {
            options.onBroken?.(ConnectionBreak.Idle);
        }
        close();
    });
    client.on("connectionError", close);

    const send = ({ head, body, sink, signal, checkStart, onStarted, onAbandoned }: TargetSend) =>
        new Promise<Result<AnswerEnd, Failure>>(resolve => {
            let isStarted = false;
            let answerEnd = AnswerEnd.Framed;
            let fault: Failure | undefined;
            let isSettled = false;
            let controller: Dispatcher.DispatchController | undefined;
            const interimAnswers = createInterimAnswers();
            const batch = createChunkBatch();

            const settle = (result: Result<AnswerEnd, Failure>) => {
                isSettled = true;
                isSending = false;
                signal.removeEventListener("abort", abandon);
                resolve(result);
            };
            const fail = (error: Error) => {
                if (error instanceof DialError) {
                    settle(err(fault ?? error.failure));
                    return;
                }
                const build = isStarted ? mayHaveRun : notRun;
                const message = `The connection failed: ${describe(error)}.`;
                settle(fault ? err(fault) : breakOff(options, build(FailureReason.TargetFailed, message)));
            };
            const abandon = () => {
                const build = isStarted ? mayHaveRun : notRun;
                const { reason, message } = signal.reason as Failure;
                fault ??= build(reason, message);
                const heldBytes = isStarted ? socket?.writableLength ?? 0 : 0;
                onAbandoned?.(isStarted ? describeSent(heldBytes) : AbandonedSend.NotSent, heldBytes);
                settle(err(fault));
                if (socket) {
                    resetConnection(socket);
                }
                close();
            };
            const reject = (controller: Dispatcher.DispatchController, failure: Failure | undefined) => {
                if (failure) {
                    fault ??= failure;
                    controller.abort(new Error(failure.message));
                }
                return failure !== undefined;
            };
            const deliverBatch = () => {
                const chunk = isSettled ? undefined : batch.take();
                return chunk === undefined || controller === undefined || !reject(controller, sink.onChunk(chunk));
            };
            const mayReadMore = () => sink.mayRead?.(() => reads?.resume()) ?? true;
            const handler: Dispatcher.DispatchHandler = {
                onRequestStart: started => {
                    if (reject(started, checkStart?.())) {
                        return;
                    }
                    isStarted = true;
                    reads?.recordDelivered();
                    controller = started;
                    prepareRead = () => deliverBatch() && (isSettled || mayReadMore());
                    reads?.renew();
                    onStarted?.({ relayId, openedAt, connectionNumber });
                },
                onResponseStart: (started, status, fields) => {
                    if (!isFinal(status)) {
                        reject(started, interimAnswers.record(status));
                        return;
                    }
                    answerEnd = determineEnd(head.method, status, fields as IncomingFields);
                    reads?.recordDelivered();
                    reject(started, sink.onHead(status, fields as IncomingFields));
                },
                onResponseData: (unused, chunk) => {
                    reads?.recordDelivered();
                    batch.add(chunk);
                },
                onResponseEnd: () => {
                    if (!deliverBatch() && fault) {
                        settle(err(fault));
                        return;
                    }
                    if (answerEnd === AnswerEnd.Framed) {
                        lastAnsweredAt = now();
                        settle(ok(answerEnd));
                        return;
                    }
                    settle(isEnded ? ok(answerEnd) : breakOff(options, resetFailure));
                    close();
                },
                onResponseError: (unused, error) => fail(error),
            };

            if (signal.aborted) {
                abandon();
                return;
            }
            isSending = true;
            signal.addEventListener("abort", abandon, { once: true });
            try {
                client.dispatch({
                    method: head.method as Dispatcher.HttpMethod,
                    path: head.path,
                    headers: head.fields as HeaderFields as string[],
                    body,
                }, handler);
            }
            catch (error) {
                fail(error as Error);
            }
        });

    return {
        openedAt: now(),
        lastAnsweredAt: () => lastAnsweredAt,
        isAlive: () => isAlive,
        relayId: () => relayId,
        send,
        close,
    };
}

function describeSent(heldBytes: number): AbandonedSend {
    return heldBytes > 0 ? AbandonedSend.PartlySent : AbandonedSend.Sent;
}

/** Passes the failure of a connection that could not be opened through undici. */
class DialError extends Error {
    constructor(readonly failure: Failure) {
        super(failure.message);
    }
}

/** undici's connector requires null where there is no value. */
// eslint-disable-next-line no-restricted-syntax
const noError = null;
// eslint-disable-next-line no-restricted-syntax
const noSocket = null;

const resetFailure = mayHaveRun(
    FailureReason.TargetFailed,
    "The connection was reset within an answer without a length.",
);

function breakOff({ onBroken }: TargetConnectionOptions, failure: Failure): Result<never, Failure> {
    onBroken?.(ConnectionBreak.Answering);
    return err(failure);
}

/** Prefers the error code, because a message may contain text that a caller wrote. */
function describe(error: Error & { code?: string; }): string {
    return error.code ?? error.message.slice(0, 60);
}
