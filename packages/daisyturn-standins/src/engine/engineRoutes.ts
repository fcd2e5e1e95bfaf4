import { type EngineOrder, GeneratePart, type GenerateRequest, type Refusal, streamContentType } from "daisyturn";
import { type Clock, ExecutionVerdict, type Failure, FailureReason } from "daisyturn-utils";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import { crashDelayMilliseconds, crashDownMilliseconds, crashMarker } from "../crashMarker.js";
import { answerJson, answerNotFound, readBody } from "../httpAnswers.js";
import type { RequestHandler } from "../httpListener.js";
import type { EngineRun } from "./batch/engineRun.js";
import { type EngineFaults, engineFaultsSchema } from "./engineFaults.js";
import type { EngineStream, StreamReader } from "./engineStream.js";
import type { OrderRecord } from "./orderHandler.js";

/** Body of `POST /control/restart`. */
const restartSchema = z.object({ downMilliseconds: z.number().nonnegative().default(0) });

/** Options of the engine routes. */
export interface EngineRoutesOptions {
    readonly clock: Clock;
    readonly run: () => EngineRun;
    readonly faults: EngineFaults;
    readonly orders: OrderRecord[];
    /** Ends the current incarnation and starts a new one after `downMilliseconds` of real time. */
    readonly restart: (downMilliseconds: number) => void;
    /** Wall-clock times, in milliseconds, at which requests ended the engine. */
    readonly crashes: number[];
}

/** Creates the HTTP interface of an engine stand-in. */
export function createEngineRoutes(options: EngineRoutesOptions): RequestHandler {
    const { clock, faults, orders, crashes } = options;

    const crash = async () => {
        await clock.sleepUntil(clock.monotonicNow() + crashDelayMilliseconds);
        crashes.push(clock.wallNow());
        options.restart(crashDownMilliseconds);
    };

    const generate = async (request: IncomingMessage, response: ServerResponse) => {
        const body = JSON.parse(await readBody(request)) as GenerateRequest;
        if (faults.hangGenerate) {
            return;
        }
        const run = options.run();
        const submitted = await run.generate(body);
        if (submitted.isErr) {
            refuse(response, submitted.error);
            return;
        }
        connect(run, submitted.value, body.startOffset ?? 0, response);
        if (body.part !== GeneratePart.Prefill && body.prompt.includes(crashMarker)) {
            await crash();
        }
    };

    const resume = (streamId: string, offset: number, response: ServerResponse) => {
        const run = options.run();
        const found = run.find(streamId, offset);
        if (found.isErr) {
            refuse(response, found.error);
            return;
        }
        connect(run, found.value, offset, response);
    };

    const connect = (run: EngineRun, stream: EngineStream, offset: number, response: ServerResponse) => {
        const cutAfter = faults.cutStreamsAfterTokens?.shift();
        const reader = createReader(response, offset, clock.monotonicNow(), cutAfter);
        response.writeHead(200, { "content-type": streamContentType });
        response.flushHeaders();
        response.on("close", () => stream.readers.delete(reader));
        run.attach(stream, reader);
    };

    const order = async (request: IncomingMessage, response: ServerResponse) => {
        const body = JSON.parse(await readBody(request)) as EngineOrder;
        const runningStreams = options.run().describeState().runningStreams;
        const answer = options.run().order(body);
        orders.push({ order: body, answer, at: clock.wallNow(), runningStreams });
        if (faults.loseNextOrderAnswer) {
            faults.loseNextOrderAnswer = false;
            request.socket.resetAndDestroy();
            return;
        }
        answerJson(response, 200, { orderId: body.orderId, answer });
    };

    const handleKv = (method: string, handleId: string, response: ServerResponse) => {
        const found = options.run().findExport(handleId);
        if (!found) {
            answerNotFound(response, "No such KV cache.");
            return;
        }
        if (method === "DELETE") {
            options.run().releaseExport(handleId);
        }
        answerJson(response, 200, found);
    };

    const control = async (action: string, request: IncomingMessage, response: ServerResponse) => {
        switch (action) {
            case "faults":
                Object.assign(faults, engineFaultsSchema.parse(JSON.parse(await readBody(request))));
                return answerJson(response, 200, faults);
            case "restart": {
                const { downMilliseconds } = restartSchema.parse(JSON.parse(await readBody(request) || "{}"));
                response.on("finish", () => options.restart(downMilliseconds));
                return answerJson(response, 200, { incarnation: options.run().incarnation });
            }
            case "usage":
                return answerJson(response, 200, readUsage());
            case "crashes":
                return answerJson(response, 200, { crashes });
            case "orders":
                return answerJson(response, 200, { orders });
            default:
                return answerNotFound(response, "No such path.");
        }
    };

    return async (request, response, url) => {
        const [, first = "", second = ""] = url.pathname.split("/");
        const name = decodeURIComponent(second);
        switch (`${request.method} ${first}`) {
            case "POST generate":
                return generate(request, response);
            case "GET streams":
                return resume(name, Number(url.searchParams.get("offset") ?? "0"), response);
            case "DELETE streams":
                options.run().cancel(name);
                return void response.writeHead(204).end();
            case "POST order":
                return order(request, response);
            case "GET state":
                return answerJson(response, 200, options.run().describeState());
            case "GET load":
                return answerJson(response, 200, options.run().describeLoad());
            case "GET cache-events":
                return answerJson(
                    response,
                    200,
                    options.run().readCacheEvents(Number(url.searchParams.get("cursor") ?? "0")),
                );
            case "GET kv":
            case "DELETE kv":
                return handleKv(request.method ?? "", name, response);
            case "GET control":
            case "POST control":
                return control(name, request, response);
            default:
                return answerNotFound(response, "No such path.");
        }
    };
}

/** Returns the processor time of this process in milliseconds and its resident memory in megabytes. */
function readUsage(): object {
    const { user, system } = process.cpuUsage();
    return { processor: (user + system) / 1_000, residentMegabytes: process.memoryUsage.rss() / 1_048_576 };
}

/** Creates a reader that writes a stream to an HTTP response. The stream continues if the connection closes. */
function createReader(
    response: ServerResponse,
    offset: number,
    realNow: number,
    cutAfter: number | undefined,
): StreamReader {
    const cut = () => void response.destroy();
    const reader: StreamReader = {
        offset,
        lastWriteAt: realNow,
        write: line => {
            response.write(`${JSON.stringify(line)}\n`);
            if (cutAfter !== undefined && line.kind === "tokens" && line.offset + line.tokenCount > cutAfter) {
                cut();
            }
        },
        end: () => void response.end(),
        cut,
    };
    return reader;
}

/** Status of a request that was refused without being run. */
const notRunStatus = 503;
const conflictStatus = 409;
const notFoundStatus = 404;

function refuse(response: ServerResponse, failure: Failure): void {
    const refusal: Refusal = { verdict: failure.verdict, reason: failure.reason, message: failure.message };
    const isNotRun = failure.verdict === ExecutionVerdict.NotRun;
    const otherStatus = failure.reason === FailureReason.NotFound ? notFoundStatus : conflictStatus;
    answerJson(response, isNotRun ? notRunStatus : otherStatus, refusal);
}
