import {
    type Clock,
    equalInConstantTime,
    EventKind,
    type EventLog,
    type Failure,
    FailureReason,
    hashText,
    mayHaveRun,
    notRun,
} from "daisyturn-utils";
import { createServer as createPlainServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { err, type Result } from "true-myth/result";
import { ByteSource } from "../../process/forwarding/index.js";
import { createReadTurns } from "../bytes/createReadTurns.js";
import { paceServer } from "../caller/reads/paceServer.js";
import { listenWhenFree } from "../listenWhenFree.js";
import {
    matchRoute,
    type OperatorAnswer,
    type OperatorIdentity,
    type OperatorKey,
    type OperatorRoutes,
} from "./operatorRoutes.js";
import { readOperatorBody } from "./readOperatorBody.js";
import { statusOf } from "./statusOf.js";

const headersMilliseconds = 10_000;
const requestMilliseconds = 30_000;
const millisecondsPerSecond = 1_000;

/** Options of {@link createOperatorServer}. */
export interface OperatorServerOptions {
    readonly listen: { readonly host: string; readonly port: number; };
    /** PEM texts. Without them the server uses plain HTTP. */
    readonly tls?: { readonly key: string; readonly certificate: string; readonly authority?: string; };
    readonly operators: readonly OperatorKey[];
    /** Routes of all modules. The first match applies. */
    readonly routes: OperatorRoutes;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Ends the wait for an address that is in use. */
    readonly signal?: AbortSignal;
}

/** The running server. */
export interface OperatorServer {
    readonly port: number;
    /** Accepts no more requests, and resolves once the running ones are answered. */
    close(): Promise<void>;
}

/**
 * Starts the HTTP server for operators once its address is free. Rejects if the signal is aborted before, or the address
 * is not available by waiting.
 */
export async function createOperatorServer(options: OperatorServerOptions): Promise<OperatorServer> {
    let isClosing = false;
    const server = createHttpServer(options, (request, response) => {
        // Otherwise a client that keeps its connection open would hold up the close.
        response.on("close", () => isClosing && connections.closeIdle());
        if (isClosing) {
            const failure = notRun(FailureReason.OutOfService, "this process is stopping");
            writeAnswer(response, err(failure), options.clock.wallNow());
            return;
        }
        void serveRequest(options, request, response);
    });
    const connections = paceServer(server, createReadTurns(), ByteSource.Operator, options.tls && "secureConnection");
    const { signal = new AbortController().signal, clock, eventLog } = options;
    const listen = { address: options.listen.host, port: options.listen.port };
    await listenWhenFree(server, listen, { listener: "operators", signal, clock, eventLog });
    signal.throwIfAborted();
    const close = () =>
        new Promise<void>(resolve => {
            isClosing = true;
            server.close(() => resolve());
            connections.closeIdle();
        });
    return { port: (server.address() as AddressInfo).port, close };
}

function createHttpServer(
    { tls }: OperatorServerOptions,
    listener: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
    const limits = { headersTimeout: headersMilliseconds, requestTimeout: requestMilliseconds };
    if (!tls) {
        return createPlainServer(limits, listener);
    }
    const requiresCertificate = tls.authority !== undefined;
    return createTlsServer({
        ...limits,
        key: tls.key,
        cert: tls.certificate,
        ca: tls.authority,
        requestCert: requiresCertificate,
        rejectUnauthorized: requiresCertificate,
    }, listener);
}

async function serveRequest(
    options: OperatorServerOptions,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    let answer: OperatorAnswer;
    try {
        answer = await handleRequest(options, request);
    }
    catch (error) {
        options.eventLog.record(EventKind.Fault, { reason: error instanceof Error ? error.stack : String(error) });
        answer = err(mayHaveRun(FailureReason.Internal, "the call failed inside daisyturn"));
    }
    writeAnswer(response, answer, options.clock.wallNow());
}

function writeAnswer(response: ServerResponse, answer: OperatorAnswer, wallNow: number): void {
    const body = JSON.stringify(answer.isOk ? answer.value : { error: answer.error });
    const retryAt = answer.isErr ? answer.error.retryAt : undefined;
    if (retryAt !== undefined) {
        response.setHeader("retry-after", Math.max(1, Math.ceil((retryAt - wallNow) / millisecondsPerSecond)));
    }
    response.writeHead(answer.isOk ? 200 : statusOf(answer.error), {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    });
    response.end(body);
}

async function handleRequest(options: OperatorServerOptions, request: IncomingMessage): Promise<OperatorAnswer> {
    const operator = authenticate(options.operators, request.headers.authorization);
    if (!operator) {
        return err(notRun(FailureReason.Unauthenticated, "a known key is needed: Authorization: Bearer KEY"));
    }
    const url = readUrl(request.url ?? "/");
    const matched = url && matchRoute(options.routes, request.method ?? "GET", url.pathname);
    if (!url || !matched) {
        return err(notRun(FailureReason.NotFound, "there is no such call"));
    }
    const body: Result<unknown, Failure> = await readOperatorBody(request);
    if (body.isErr) {
        return err(body.error);
    }
    const { route, parameters } = matched;
    return await route.handle({ operator, parameters, query: url.searchParams, body: body.value });
}

function readUrl(target: string): URL | undefined {
    return URL.canParse(target, "http://operator") ? new URL(target, "http://operator") : undefined;
}

/** Compares with every key in constant time, so that the duration reveals nothing about the keys. */
function authenticate(operators: readonly OperatorKey[], header: string | undefined): OperatorIdentity | undefined {
    const key = header?.match(/^Bearer +(\S+)$/i)?.[1];
    if (key === undefined) {
        return undefined;
    }
    const keyHash = hashText(key);
    const [found] = operators.filter(operator => equalInConstantTime(operator.keyHash, keyHash));
    return found && { partner: found.partner, name: found.name };
}
