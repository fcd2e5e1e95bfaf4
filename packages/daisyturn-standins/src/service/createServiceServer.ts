import { callIdHeader } from "daisyturn";
import { type Clock, FailureReason, SystemClock } from "daisyturn-utils";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import { crashDelayMilliseconds, crashDownMilliseconds, crashMarker } from "../crashMarker.js";
import { answerJson, readBody, refuseNotRun } from "../httpAnswers.js";
import { listenHttp, type RequestHandler, type StandInServer } from "../httpListener.js";
import { answerServiceCall } from "./answerServiceCall.js";
import { countExecutions, type Execution } from "./executions.js";

/** The point at which a call fails. */
export enum ServiceFaultKind {
    None = "none",
    /** The connection is reset before the call runs. */
    ResetBefore = "reset_before",
    /** The call runs, and the connection is reset without an answer. */
    ResetAfter = "reset_after",
    /** The call runs, and the connection is reset after half of the answer. */
    ResetDuring = "reset_during",
    /** The call does not run, and the answer says so. */
    Refuse = "refuse",
    /** The call runs and gets no answer. */
    Hang = "hang",
}

/** Schema of the faults; also the body of `POST /faults`. */
export const serviceFaultsSchema = z.object({
    kind: z.enum(ServiceFaultKind).default(ServiceFaultKind.None),
    /** Number of calls that fail; later calls are answered. */
    count: z.number().int().nonnegative().default(Number.MAX_SAFE_INTEGER),
    /** Delay before each call runs. */
    delayMilliseconds: z.number().nonnegative().default(0),
});

export interface ServiceOptions {
    readonly id: string;
    readonly host?: string;
    readonly port?: number;
    readonly faults?: z.input<typeof serviceFaultsSchema>;
}

/** A running plain service stand-in. */
export interface ServiceServer extends StandInServer {
    executions(): readonly Execution[];
    setFaults(faults: z.input<typeof serviceFaultsSchema>): void;
}

/** Starts a plain service: quote confirmation, ticket issue and reprint, lookup. It records each call that runs. */
export async function createServiceServer(
    options: ServiceOptions,
    clock: Clock = new SystemClock(),
): Promise<ServiceServer> {
    const executions: Execution[] = [];
    /** Wall-clock times, in milliseconds, at which calls ended the service. */
    const crashes: number[] = [];
    const stopper = new AbortController();
    let faults = serviceFaultsSchema.parse(options.faults ?? {});

    const setFaults = (next: z.input<typeof serviceFaultsSchema>) => {
        faults = serviceFaultsSchema.parse(next);
    };

    const consumeFault = (): ServiceFaultKind => {
        if (faults.kind === ServiceFaultKind.None || faults.count === 0) {
            return ServiceFaultKind.None;
        }
        faults = { ...faults, count: faults.count - 1 };
        return faults.kind;
    };

    const crash = async () => {
        await clock.sleepUntil(clock.monotonicNow() + crashDelayMilliseconds);
        crashes.push(clock.wallNow());
        const { hostname, port } = new URL(server.url);
        await server.close();
        await clock.sleepUntil(clock.monotonicNow() + crashDownMilliseconds, stopper.signal);
        if (!stopper.signal.aborted) {
            server = await listenHttp(hostname, Number(port), route);
        }
    };

    const serve = async (request: IncomingMessage, response: ServerResponse, url: URL) => {
        const body = await readBody(request);
        const callId = String(request.headers[callIdHeader] ?? "");
        const headers = { [callIdHeader]: callId };
        const fault = consumeFault();
        await clock.sleepUntil(clock.monotonicNow() + faults.delayMilliseconds, stopper.signal);
        if (fault === ServiceFaultKind.ResetBefore) {
            request.socket.resetAndDestroy();
            return;
        }
        if (fault === ServiceFaultKind.Refuse) {
            refuseNotRun(response, FailureReason.TargetRefused, "The service takes no calls now.", headers);
            return;
        }
        const idempotencyKey = request.headers["idempotency-key"] as string | undefined;
        executions.push({ callId, idempotencyKey, method: request.method ?? "", path: url.pathname, body });
        if (body.includes(crashMarker)) {
            await crash();
            return;
        }
        const answer = answerServiceCall(options.id, executions.length, url, body);
        switch (fault) {
            case ServiceFaultKind.ResetAfter:
                request.socket.resetAndDestroy();
                return;
            case ServiceFaultKind.ResetDuring:
                answerHalf(request, response, answer, headers);
                return;
            case ServiceFaultKind.Hang:
                return;
            case ServiceFaultKind.None:
                answerJson(response, 200, answer, headers);
                return;
        }
    };

    const route: RequestHandler = async (request, response, url) => {
        if (url.pathname === "/crashes") {
            answerJson(response, 200, { crashes });
            return;
        }
        if (url.pathname === "/executions") {
            answerJson(response, 200, { executions, counts: countExecutions(executions) });
            return;
        }
        if (url.pathname === "/faults" && request.method === "POST") {
            setFaults(JSON.parse(await readBody(request)) as z.input<typeof serviceFaultsSchema>);
            answerJson(response, 200, faults);
            return;
        }
        await serve(request, response, url);
    };
    let server = await listenHttp(options.host ?? "127.0.0.1", options.port ?? 0, route);

    const close = async () => {
        stopper.abort();
        await server.close();
    };
    return { url: server.url, close, executions: () => executions, setFaults };
}

function answerHalf(
    request: IncomingMessage,
    response: ServerResponse,
    answer: object,
    headers: Readonly<Record<string, string>>,
): void {
    const text = JSON.stringify(answer);
    response.writeHead(200, {
        ...headers,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    response.write(text.slice(0, text.length / 2), () => request.socket.resetAndDestroy());
}
