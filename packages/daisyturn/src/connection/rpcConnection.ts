import {
    type Clock,
    type Failure,
    FailureReason,
    type HybridLogicalClock,
    type JsonObject,
    mayHaveRun,
    notRun,
} from "daisyturn-utils";
import {
    createJSONRPCErrorResponse,
    createJSONRPCRequest,
    JSONRPCClient,
    JSONRPCErrorCode,
    JSONRPCErrorException,
    type JSONRPCRequest,
    type JSONRPCResponse,
    JSONRPCServer,
    JSONRPCServerAndClient,
} from "json-rpc-2.0";
import type { Socket } from "node:net";
import { err, ok, type Result } from "true-myth/result";
import { ByteSource } from "../process/forwarding/index.js";
import { boundReads } from "./bytes/boundReads.js";
import type { ReadTurns } from "./bytes/createReadTurns.js";
import { createLineReader } from "./lineReader.js";
import type { PeerNetworkSettings } from "./peerNetworkSettings.js";

/** Code of an error answer to a call that was refused before it started. */
const refusedCode = -32_000;
const noAnswerCode = -32_001;

/** Maximum length of a line before the other side has proved its identity. */
const maxUnauthenticatedLineBytes = 4_096;

/** Time for flushing buffered bytes when a connection is closed gracefully. */
const closeLimitMilliseconds = 500;

/** Traffic of connections, without the headers of lower layers. */
export interface TrafficCounters {
    messagesSent: number;
    bytesSent: number;
    messagesReceived: number;
    bytesReceived: number;
    notificationsDropped: number;
}

export function createTrafficCounters(): TrafficCounters {
    return { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0, notificationsDropped: 0 };
}

/** Handles incoming calls. Throws {@link createRefusal} for a call that was refused before it started. */
export type RpcHandler = (method: string, parameters: JsonObject) => Promise<JsonObject>;

export interface RpcConnectionOptions {
    readonly socket: Socket;
    readonly clock: Clock;
    readonly hybridClock: HybridLogicalClock;
    readonly settings: PeerNetworkSettings;
    readonly methods: readonly string[];
    readonly answer: RpcHandler;
    readonly counters: TrafficCounters;
    /** The turns that all connections of peers share. */
    readonly turns: ReadTurns;
}

/** Bidirectional JSON-RPC over one socket, with one message per line. */
export interface RpcConnection {
    /** Fails with PeerUnavailable: NotRun if nothing was written or the peer refused the call, else MayHaveRun. */
    request(method: string, parameters: JsonObject, deadline: number): Promise<Result<JsonObject, Failure>>;
    notify(method: string, parameters: JsonObject): void;
    /** From now on accepts long lines and applies the peer's clock stamps. Called once the peer is authenticated. */
    trust(): void;
    isOpen(): boolean;
    /** Monotonic time at which the last bytes were received. */
    lastReceivedAt(): number;
    /** Flushes written bytes, then closes. */
    close(): void;
    /** Closes at once. */
    destroy(reason: string): void;
    /** Resolves with the reason once the socket is closed. */
    readonly closed: Promise<string>;
}

/** Creates the error that reports to the requesting side that its call did not start. */
export function createRefusal(message: string): Error {
    return new JSONRPCErrorException(message, refusedCode);
}

/** Passed to the sending function with each message. The function sets `isWritten`. */
interface MessageStatus {
    readonly isNotification: boolean;
    isWritten: boolean;
}

/** Wraps a connected socket. */
export function createRpcConnection(options: RpcConnectionOptions): RpcConnection {
    const { socket, clock, hybridClock, settings, counters } = options;
    const reader = createLineReader(maxUnauthenticatedLineBytes);
    let nextId = 0;
    let runningCalls = 0;
    let lastReceivedAt = clock.monotonicNow();
    let closeReason: string | undefined;
    let isAuthenticated = false;
    const closing = new AbortController();

    const destroy = (reason: string) => {
        closeReason ??= reason;
        socket.destroy();
    };

    const isOpen = () => !socket.destroyed && socket.writable && closeReason === undefined;

    const write = (message: object, status: MessageStatus) => {
        const limit = status.isNotification ? settings.maximumOutgoingBytes / 2 : settings.maximumOutgoingBytes;
        if (!isOpen() || socket.writableLength > limit) {
            counters.notificationsDropped += status.isNotification ? 1 : 0;
            throw new Error(isOpen() ? "too many bytes wait for the peer" : "the connection is closed");
        }
        const line = `${JSON.stringify({ ...message, stamp: hybridClock.stamp() })}\n`;
        status.isWritten = true;
        counters.messagesSent += 1;
        counters.bytesSent += Buffer.byteLength(line);
        socket.write(line);
    };

    /** Closes the connection if an answer can't be sent, so that the requesting side detects the lost answer. */
    const writeAnswer = (message: object) => {
        try {
            write(message, { isNotification: false, isWritten: false });
        }
        catch (error) {
            destroy(describe(error));
        }
    };

    const rpc = new JSONRPCServerAndClient<void, MessageStatus | undefined>(
        new JSONRPCServer({ errorListener: () => undefined }),
        new JSONRPCClient((message: object, status: MessageStatus | undefined) => {
            if (status) {
                write(message, status);
            }
            else {
                writeAnswer(message);
            }
        }),
        { errorListener: () => undefined },
    );

    const runCall = async (method: string, parameters: unknown): Promise<JsonObject> => {
        if (runningCalls >= settings.maximumRunningCalls) {
            throw createRefusal("too many calls of this peer are running");
        }
        runningCalls += 1;
        try {
            return await options.answer(method, isJsonObject(parameters) ? parameters : {});
        }
        finally {
            runningCalls -= 1;
        }
    };
    options.methods.forEach(method => rpc.addMethod(method, parameters => runCall(method, parameters)));

    const receiveLine = (line: string) => {
        const message = JSON.parse(line) as JSONRPCRequest & JSONRPCResponse & { stamp?: unknown; };
        if (isAuthenticated && typeof message.stamp === "string") {
            hybridClock.observe(message.stamp);
        }
        counters.messagesReceived += 1;
        rpc.receiveAndSend(message, undefined, undefined).catch((error: unknown) => destroy(describe(error)));
    };

    boundReads(socket, options.turns, ByteSource.Peer);
    const receive = (chunk: Buffer) => {
        lastReceivedAt = clock.monotonicNow();
        counters.bytesReceived += chunk.length;
        const lines = reader.push(chunk);
        if (lines.isErr) {
            destroy(`line ${lines.error}`);
            return;
        }
        try {
            lines.value.forEach(receiveLine);
        }
        catch (error) {
            destroy(describe(error));
        }
    };
    socket.on("readable", () => {
        for (let chunk = readSocket(socket); chunk; chunk = readSocket(socket)) {
            receive(chunk);
        }
    });
    socket.on("error", error => destroy(error.message));
    socket.on("end", () => destroy("closed by the peer"));
    socket.setNoDelay(true);
    const closed = new Promise<string>(resolve => {
        socket.on("close", () => {
            closeReason ??= "closed";
            closing.abort();
            rpc.rejectAllPendingRequests(closeReason);
            resolve(closeReason);
        });
    });

    const request = async (
        method: string,
        parameters: JsonObject,
        deadline: number,
    ): Promise<Result<JsonObject, Failure>> => {
        if (clock.monotonicNow() >= deadline) {
            return err(notRun(FailureReason.PeerUnavailable, "the deadline had passed before the call"));
        }
        nextId += 1;
        const id = nextId;
        const status: MessageStatus = { isNotification: false, isWritten: false };
        const answered = new AbortController();
        void clock.sleepUntil(deadline, answered.signal).then(() =>
            rpc.client.receive(createJSONRPCErrorResponse(id, noAnswerCode, "no answer before the deadline"))
        );
        const response = await rpc.requestAdvanced(createJSONRPCRequest(id, method, parameters), status);
        answered.abort();
        return readAnswer(response, status);
    };

    /**
     * Closes the connection if nothing has been received for too long. If this process was stalled, the timer fires
     * before the bytes that arrived meanwhile are read, hence the second check.
     */
    const watchSilence = async () => {
        while (!closing.signal.aborted) {
            await clock.sleepUntil(lastReceivedAt + settings.silenceLimitMilliseconds, closing.signal);
            await clock.sleepUntil(clock.monotonicNow() + settings.silenceLimitMilliseconds / 10, closing.signal);
            if (clock.monotonicNow() >= lastReceivedAt + settings.silenceLimitMilliseconds) {
                destroy("nothing received for too long");
                return;
            }
        }
    };
    void watchSilence();

    return {
        request,
        notify: (method, parameters) =>
            rpc.client.notify(method, parameters, { isNotification: true, isWritten: false }),
        trust: () => {
            isAuthenticated = true;
            reader.setMaxBytes(settings.maximumLineBytes);
        },
        isOpen,
        lastReceivedAt: () => lastReceivedAt,
        close: () => {
            closeReason ??= "closed by this process";
            socket.end();
            void clock.sleepUntil(clock.monotonicNow() + closeLimitMilliseconds, closing.signal).then(() =>
                socket.destroy()
            );
        },
        destroy,
        closed,
    };
}

function readSocket(socket: Socket): Buffer | undefined {
    return (socket.read() as Buffer | null) ?? undefined;
}

function readAnswer(response: JSONRPCResponse, status: MessageStatus): Result<JsonObject, Failure> {
    const { error, result } = response;
    if (!error) {
        return ok(isJsonObject(result) ? result : {});
    }
    const isRefused = error.code === refusedCode || error.code === JSONRPCErrorCode.MethodNotFound;
    const fail = !status.isWritten || isRefused ? notRun : mayHaveRun;
    return err(fail(FailureReason.PeerUnavailable, error.message));
}

function isJsonObject(value: unknown): value is JsonObject {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

function describe(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
