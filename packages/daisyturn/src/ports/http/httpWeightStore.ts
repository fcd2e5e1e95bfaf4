import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import { type WeightGrant, WeightStore } from "../weightStore.js";
import { createPlatformConnection, type HttpPlatformOptions, type PlatformAnswer } from "./platformConnection.js";

/** A weight store reached over HTTP, and the end of its connections. */
export interface HttpWeightStore {
    readonly weightStore: WeightStore;
    close(): Promise<void>;
}

/** Path at which the right to load weights is asked for. */
export const weightGrantPath = "/weights/grants";

const okStatus = 200;
const tooManyRequestsStatus = 429;

const grantSchema = z.object({ grantId: z.string(), validUntil: z.number() });
const refusalSchema = z.object({ retryAt: z.number() });

/** Creates the adapter to the platform's rate-limited weight store over HTTP and JSON. */
export function createHttpWeightStore(options: HttpPlatformOptions): HttpWeightStore {
    const connection = createPlatformConnection(options);

    class HttpWeights extends WeightStore {
        override async requestLoad(artifact: string, deadline: number): Promise<Result<WeightGrant, Failure>> {
            const body = JSON.stringify({ artifact });
            const request = { method: "POST", path: weightGrantPath, contentType: "application/json", body } as const;
            const sent = await connection.send(request, deadline);
            return sent.andThen(parseGrant);
        }
    }

    return { weightStore: new HttpWeights(), close: connection.close };
}

function parseGrant(answer: PlatformAnswer): Result<WeightGrant, Failure> {
    try {
        if (answer.status === okStatus) {
            return ok(grantSchema.parse(JSON.parse(answer.body)));
        }
        if (answer.status === tooManyRequestsStatus) {
            const { retryAt } = refusalSchema.parse(JSON.parse(answer.body));
            return err(notRun(FailureReason.RateLimited, "the weight store is over its rate", retryAt));
        }
    }
    catch {
        return err(mayHaveRun(FailureReason.StoreUnavailable, "the weight store gave an answer that can't be read"));
    }
    return err(mayHaveRun(FailureReason.StoreUnavailable, `the weight store answered with status ${answer.status}`));
}
