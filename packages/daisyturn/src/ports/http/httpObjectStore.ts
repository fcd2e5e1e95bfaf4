import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { ObjectStore } from "../objectStore.js";
import { createPlatformConnection, type HttpPlatformOptions, type PlatformAnswer } from "./platformConnection.js";

/** An object store accessed over HTTP. `close` closes its connections. */
export interface HttpObjectStore {
    readonly objectStore: ObjectStore;
    close(): Promise<void>;
}

/** Path prefix of objects. The percent-encoded name follows. */
export const objectPathPrefix = "/objects/";

const okStatus = 200;
const notFoundStatus = 404;
const tooManyRequestsStatus = 429;

/** Creates the HTTP adapter to the platform's object store. */
export function createHttpObjectStore(options: HttpPlatformOptions): HttpObjectStore {
    const connection = createPlatformConnection(options);
    const pathOf = (name: string) => objectPathPrefix + encodeURIComponent(name);

    class HttpObjects extends ObjectStore {
        override async put(name: string, body: string, deadline: number): Promise<Result<void, Failure>> {
            const request = { method: "PUT", path: pathOf(name), contentType: "text/plain", body } as const;
            const sent = await connection.send(request, deadline);
            return sent.andThen(answer => answer.status === okStatus ? ok(undefined) : err(describeStatus(answer)));
        }

        override async get(name: string, deadline: number): Promise<Result<string, Failure>> {
            const sent = await connection.send({ method: "GET", path: pathOf(name) }, deadline);
            return sent.andThen(answer => answer.status === okStatus ? ok(answer.body) : err(describeStatus(answer)));
        }
    }

    return { objectStore: new HttpObjects(), close: connection.close };
}

function describeStatus(answer: PlatformAnswer): Failure {
    switch (answer.status) {
        case notFoundStatus:
            return notRun(FailureReason.NotFound, "the object store has no such object");
        case tooManyRequestsStatus:
            return notRun(FailureReason.RateLimited, "the object store is over its rate");
        default:
            return mayHaveRun(FailureReason.StoreUnavailable, `the object store answered with status ${answer.status}`);
    }
}
