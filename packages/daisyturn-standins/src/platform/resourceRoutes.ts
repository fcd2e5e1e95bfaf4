import { objectPathPrefix, vmListPath, weightGrantPath } from "daisyturn";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import { answerJson } from "../httpAnswers.js";
import { HttpStatus } from "./httpStatus.js";
import type { PlatformState } from "./platformState.js";

const grantRequestSchema = z.object({ artifact: z.string() });
const grantValidMilliseconds = 60_000;

/** Handles requests to the object store, the weight store and the list of VMs; returns false for any other path. */
export function handleResource(
    state: PlatformState,
    method: string | undefined,
    path: string,
    body: string,
    response: ServerResponse,
): boolean {
    if (path.startsWith(objectPathPrefix)) {
        handleObject(state, method, path.slice(objectPathPrefix.length), body, response);
    }
    else if (path === weightGrantPath) {
        grantWeights(state, body, response);
    }
    else if (path === vmListPath) {
        answerJson(response, HttpStatus.Ok, state.vmList.show());
    }
    else {
        return false;
    }
    return true;
}

function handleObject(
    { objects }: PlatformState,
    method: string | undefined,
    name: string,
    body: string,
    response: ServerResponse,
): void {
    if (method === "PUT") {
        objects.set(name, body);
        answerJson(response, HttpStatus.Ok, {});
        return;
    }
    const object = objects.get(name);
    response.writeHead(object === undefined ? HttpStatus.NotFound : HttpStatus.Ok, { "content-type": "text/plain" });
    response.end(object);
}

function grantWeights(
    { clock, counts, weightGrantLimit }: PlatformState,
    body: string,
    response: ServerResponse,
): void {
    const { artifact } = grantRequestSchema.parse(JSON.parse(body));
    if (!weightGrantLimit.tryAcquire(1)) {
        answerJson(response, HttpStatus.TooManyRequests, { retryAt: weightGrantLimit.nextUnitAt() });
        return;
    }
    counts.weightGrants += 1;
    const grantId = `grant-${artifact}-${counts.weightGrants}`;
    answerJson(response, HttpStatus.Ok, { grantId, validUntil: clock.wallNow() + grantValidMilliseconds });
}
