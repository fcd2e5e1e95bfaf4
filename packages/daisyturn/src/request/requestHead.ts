import type { Failure } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { CallerAccount } from "../version/configurationItems.js";
import type { VersionPin } from "../version/createVersionUsage.js";
import type { CallerExchange } from "./callerExchange.js";
import { buildModelRequest, type ModelRequest } from "./completion/modelRequest.js";
import type { CompletionBody } from "./completion/parseCompletion.js";
import { identifyAccount, identifyModelService } from "./identify.js";
import { parseDeadline } from "./parseDeadline.js";
import type { RequestParts } from "./requestParts.js";

/** What is known of a request before its body. */
export interface RequestHead {
    readonly requestId: string;
    /** Wall-clock times in milliseconds. */
    readonly arrivedAt: number;
    /** The caller's own deadline. */
    readonly deadline: number | undefined;
    /** The version in force on arrival, which the request keeps, and the items of it that it runs under. */
    readonly pin: VersionPin;
    readonly account: CallerAccount;
}

/** Serves a request whose head can be read, under the version in force, which stays pinned until it has ended. */
export async function serveWithPinnedVersion(
    parts: RequestParts,
    exchange: CallerExchange,
    serve: (head: RequestHead) => Promise<Result<void, Failure>>,
): Promise<Result<void, Failure>> {
    const pin = parts.configurationManager.pin();
    try {
        const head = readRequestHead(parts, exchange, pin);
        return head.isOk ? await serve(head.value) : err(head.error);
    }
    finally {
        pin.release();
    }
}

/** Finds the service that the body names and puts the model request together. */
export function identifyRequest(head: RequestHead, body: CompletionBody): Result<ModelRequest, Failure> {
    const { pin, account } = head;
    return identifyModelService(pin.version, account, body.serviceName).map(({ service, profile }) => {
        [account, service, profile].forEach(item => pin.use(item));
        return buildModelRequest({ ...head, version: pin.version, profile, body });
    });
}

/** Reads what every request's header holds: who asks, and until when the answer is worth something. */
function readRequestHead(
    parts: RequestParts,
    exchange: CallerExchange,
    pin: VersionPin,
): Result<RequestHead, Failure> {
    const arrivedAt = parts.clock.wallNow();
    const account = identifyAccount(pin.version, exchange.header("authorization"));
    if (account.isErr) {
        return err(account.error);
    }
    const deadline = parseDeadline(exchange.header("x-deadline"), arrivedAt);
    if (deadline.isErr) {
        return err(deadline.error);
    }
    const { requestId } = exchange;
    return ok({ requestId, arrivedAt, deadline: deadline.value, pin, account: account.value });
}
