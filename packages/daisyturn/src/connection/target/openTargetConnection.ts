import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { connect, type Socket } from "node:net";
import { err, ok, type Result } from "true-myth/result";
import { Client, type Dispatcher } from "undici";
import type { HeaderFields, IncomingFields, OutgoingHead } from "../../ports/forwardedCall.js";
import { splitAddress } from "./splitAddress.js";

/** Receives an answer as it arrives. */
export interface AnswerSink {
    /** @returns a failure if the answer is not acceptable; the connection is then closed and the send fails with it */
    onHead(status: number, fields: IncomingFields): Failure | undefined;
    onChunk(chunk: Buffer): void;
}

/** One send over one connection. */
export interface TargetSend {
    readonly head: OutgoingHead;
    readonly body: Buffer | undefined;
    readonly sink: AnswerSink;
    /** Aborted with a `Failure` as its reason. */
    readonly signal: AbortSignal;
}

/** A connection to a target. It carries one call at a time. */
export interface TargetConnection {
    readonly openedAt: number;
    /** Monotonic time at which the last answer was complete; undefined before the first one. */
    lastAnsweredAt(): number | undefined;
    isAlive(): boolean;
    /** Resolves once the answer is complete, or with a failure whose verdict says whether the call may have run. */
    send(send: TargetSend): Promise<Result<void, Failure>>;
    close(): void;
}

/** Options of {@link openTargetConnection}. */
export interface TargetConnectionOptions {
    /** IP number and port. */
    readonly address: string;
    readonly now: () => number;
    /** Called once the connection could not be opened, with the reason. */
    readonly onUnreachable: (reason: string) => void;
    /** Called once the connection can carry no further call. */
    readonly onClosed: () => void;
}

/**
 * Round trips take a few milliseconds. A lost first packet is retransmitted only after a second, and by then another
 * target would have answered.
 */
const connectTimeoutMilliseconds = 400;
/**
 * Used where a target states no idle timeout. Targets state it in whole seconds, so one that states none may close an
 * idle connection within a second.
 */
const defaultIdleMilliseconds = 400;
const maxIdleMilliseconds = 20_000;
/** Subtracted from the stated idle timeout, so that no call is sent while the target closes the connection. */
const idleMarginMilliseconds = 300;

/** Opens a connection. Calls that are sent before it is established wait for it. */
export function openTargetConnection(options: TargetConnectionOptions): TargetConnection {
    const { now } = options;
    let socket: Socket | undefined;
    let isAlive = true;
    let lastAnsweredAt: number | undefined;

    const connectSocket = (unused: unknown, done: (error: Error | null, socket: Socket | null) => void) => {
        const [host, port] = splitAddress(options.address);
        const opening = connect({ host, port, noDelay: true });
        socket = opening;
        const timer = setTimeout(() => opening.destroy(new Error("connect timeout")), connectTimeoutMilliseconds);
        const fail = (error: Error) => {
            clearTimeout(timer);
            options.onUnreachable(describe(error));
            done(error, noSocket);
        };
        opening.once("error", fail);
        opening.once("connect", () => {
            clearTimeout(timer);
            opening.off("error", fail);
            done(noError, opening);
        });
    };

    const client = new Client(`http://${options.address}`, {
        connect: connectSocket as never,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: defaultIdleMilliseconds,
        keepAliveMaxTimeout: maxIdleMilliseconds,
        keepAliveTimeoutThreshold: idleMarginMilliseconds,
    });

    const close = () => {
        if (isAlive) {
            isAlive = false;
            options.onClosed();
        }
        // Without this, undici would reconnect for the next call. The running call reports its own error.
        void client.destroy().catch(() => undefined);
    };
    client.on("disconnect", close);
    client.on("connectionError", close);

    const send = ({ head, body, sink, signal }: TargetSend) =>
        new Promise<Result<void, Failure>>(resolve => {
            let isStarted = false;
            let fault: Failure | undefined;

            const settle = (result: Result<void, Failure>) => {
                signal.removeEventListener("abort", abandon);
                resolve(result);
            };
            const fail = (error: Error) => {
                const build = isStarted ? mayHaveRun : notRun;
                settle(err(fault ?? build(FailureReason.TargetFailed, `The connection failed: ${describe(error)}.`)));
            };
            const abandon = () => {
                const build = isStarted ? mayHaveRun : notRun;
                const { reason, message } = signal.reason as Failure;
                fault ??= build(reason, message);
                settle(err(fault));
                socket?.destroy();
                close();
            };
            const handler: Dispatcher.DispatchHandler = {
                onRequestStart: () => {
                    isStarted = true;
                },
                onResponseStart: (controller, status, fields) => {
                    fault = sink.onHead(status, fields as IncomingFields)
                        ?? checkLength(status, fields as IncomingFields);
                    if (fault) {
                        controller.abort(new Error(fault.message));
                    }
                },
                onResponseData: (controller, chunk) => sink.onChunk(chunk),
                onResponseEnd: () => {
                    lastAnsweredAt = now();
                    settle(ok(undefined));
                },
                onResponseError: (controller, error) => fail(error),
            };

            if (signal.aborted) {
                abandon();
                return;
            }
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

    return { openedAt: now(), lastAnsweredAt: () => lastAnsweredAt, isAlive: () => isAlive, send, close };
}

const firstBodyStatus = 200;

/** undici's connector requires null where there is no value. */
// eslint-disable-next-line no-restricted-syntax
const noError = null;
// eslint-disable-next-line no-restricted-syntax
const noSocket = null;

/**
 * Rejects a body that is delimited only by the close of the connection. Its truncation can't be detected, since a
 * target that crashes closes its connection like one that has finished.
 */
function checkLength(status: number, fields: IncomingFields): Failure | undefined {
    const isBodyless = status < firstBodyStatus || status === 204 || status === 304;
    const isChunked = String(fields["transfer-encoding"] ?? "").toLowerCase().includes("chunked");
    return isBodyless || isChunked || fields["content-length"] !== undefined
        ? undefined
        : mayHaveRun(FailureReason.TargetFailed, "The answer's length is not given.");
}

/** Prefers the error code, because a message may contain text that a caller wrote. */
function describe(error: Error & { code?: string; }): string {
    return error.code ?? error.message.slice(0, 60);
}
