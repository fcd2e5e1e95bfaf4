import type { OperatorMethod } from "daisyturn";
import { ExecutionVerdict, type Failure, FailureReason, type JsonObject, mayHaveRun, notRun } from "daisyturn-utils";
import { readFileSync } from "node:fs";
import Result from "true-myth/result";
import { Agent, request } from "undici";
import { z } from "zod";
import type { ClientSettings } from "./clientSettings.js";

const connectTimeoutMilliseconds = 3_000;
const responseTimeoutMilliseconds = 40_000;
/** For a whole answer, whose bytes may arrive slowly. */
const answerTimeoutMilliseconds = 120_000;
/** Far more than a fleet of hundreds of machines lists. */
const defaultMaxAnswerBytes = 64 * 1024 * 1024;
const successStatus = 200;

/** Codes of connection errors, which occur before any byte of the request is sent. */
const unsentCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT",
    "DEPTH_ZERO_SELF_SIGNED_CERT",
    "SELF_SIGNED_CERT_IN_CHAIN",
    "UNABLE_TO_VERIFY_LEAF_SIGNATURE",
    "UNABLE_TO_GET_ISSUER_CERT_LOCALLY",
    "CERT_HAS_EXPIRED",
    "ERR_TLS_CERT_ALTNAME_INVALID",
]);

const failureSchema = z.object({
    error: z.object({
        verdict: z.enum(ExecutionVerdict),
        reason: z.enum(FailureReason),
        message: z.string(),
        retryAt: z.number().optional(),
    }),
});

/** One request to the fleet. */
export interface OperatorCall {
    readonly method: OperatorMethod;
    /** With each segment percent-encoded; see {@link formatPath}. */
    readonly path: string;
    readonly query?: Readonly<Record<string, string | undefined>>;
    readonly body?: JsonObject;
    /** Whether sending it again has no further effect: reads, and changes with a write id of the client. */
    readonly isRepeatable: boolean;
}

/** Sends requests to the fleet on behalf of an operator. */
export interface OperatorClient {
    /**
     * Tries the entry processes in order until one answers. A call that is not repeatable is not sent again after an
     * attempt that may have reached a process.
     */
    call(call: OperatorCall): Promise<Result<JsonObject, Failure>>;
    close(): Promise<void>;
}

/**
 * Creates the client.
 * @param maxAnswerBytes bytes of the body of an answer; a longer one is a failure
 */
export function createOperatorClient(
    settings: ClientSettings,
    maxAnswerBytes = defaultMaxAnswerBytes,
): OperatorClient {
    const dispatcher = new Agent({
        headersTimeout: responseTimeoutMilliseconds,
        bodyTimeout: responseTimeoutMilliseconds,
        maxResponseSize: maxAnswerBytes,
        connect: { timeout: connectTimeoutMilliseconds, ...readTls(settings) },
    });

    const call = async (given: OperatorCall): Promise<Result<JsonObject, Failure>> => {
        let last: Result<JsonObject, Failure> = Result.err(
            notRun(FailureReason.PeerUnavailable, "no address is configured"),
        );
        let mayHaveBeenSent = false;
        for (const address of settings.operators) {
            last = await callAddress(address, given);
            const isUnreachable = last.isErr && last.error.reason === FailureReason.PeerUnavailable;
            if (!isUnreachable) {
                return last;
            }
            mayHaveBeenSent ||= last.isErr && last.error.verdict === ExecutionVerdict.MayHaveRun;
            if (mayHaveBeenSent && !given.isRepeatable) {
                return last;
            }
        }
        return mayHaveBeenSent ? last.mapErr(failure => ({ ...failure, verdict: ExecutionVerdict.MayHaveRun })) : last;
    };

    const callAddress = async (address: string, given: OperatorCall): Promise<Result<JsonObject, Failure>> => {
        const target = new URL(given.path, address);
        for (const [name, value] of Object.entries(given.query ?? {})) {
            if (value !== undefined) {
                target.searchParams.set(name, value);
            }
        }
        try {
            const answer = await request(target, {
                dispatcher,
                signal: AbortSignal.timeout(answerTimeoutMilliseconds),
                method: given.method,
                headers: { authorization: `Bearer ${settings.key}`, "content-type": "application/json" },
                body: given.body === undefined ? undefined : JSON.stringify(given.body),
            });
            return readAnswer(answer.statusCode, await answer.body.text(), address);
        }
        catch (error) {
            return Result.err(describeConnectionError(error, address));
        }
    };

    return { call, close: () => dispatcher.close() };
}

/** Builds a path; the parts may contain any character. */
export function formatPath(...parts: readonly string[]): string {
    return `/v1/${parts.map(encodeURIComponent).join("/")}`;
}

function readTls({ authorityFile, tls }: ClientSettings) {
    return {
        ca: authorityFile === undefined ? undefined : readFileSync(authorityFile, "utf8"),
        cert: tls && readFileSync(tls.certificateFile, "utf8"),
        key: tls && readFileSync(tls.privateKeyFile, "utf8"),
    };
}

function readAnswer(status: number, text: string, address: string): Result<JsonObject, Failure> {
    const body = parseJson(text);
    if (status === successStatus && typeof body === "object") {
        return Result.ok(body as JsonObject);
    }
    const failure = failureSchema.safeParse(body);
    const unknown = mayHaveRun(
        FailureReason.Internal,
        `${address} sent a response that is not from daisyturn (status ${status})`,
    );
    return Result.err(failure.success ? failure.data.error : unknown);
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function describeConnectionError(error: unknown, address: string): Failure {
    const { code = "unknown error" } = error as { code?: string; };
    const message = `${address}: ${code}`;
    return unsentCodes.has(code)
        ? notRun(FailureReason.PeerUnavailable, message)
        : mayHaveRun(FailureReason.PeerUnavailable, message);
}
