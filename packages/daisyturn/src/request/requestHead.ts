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

/** Data of a request that is known before its body is read. */
export interface RequestHead {
    readonly requestId: string;
    /** Wall-clock times in milliseconds. */
    readonly arrivedAt: number;
    /** The caller's own deadline. */
    readonly deadline: number | undefined;
    /** The version that is active on arrival and applies to the whole request, and the items of it that are used. */
    readonly pin: VersionPin;
    readonly account: CallerAccount;
}

/** Reads the head of a request and serves it under the active version, which is pinned until the request has ended. */
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

/** Finds the service that the body names and builds the model request. */
export function identifyRequest(head: RequestHead, body: CompletionBody): Result<ModelRequest, Failure> {
    const { pin, account } = head;
    return identifyModelService(pin.version, account, body.serviceName).map(({ service, profile }) => {
        [account, service, profile].forEach(item => pin.use(item));
        return buildModelRequest({ ...head, version: pin.version, profile, body });
    });
}

/** Reads the headers that all requests have in common: the account and the deadline. */
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
