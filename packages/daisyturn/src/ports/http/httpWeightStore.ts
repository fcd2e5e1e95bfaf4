import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import { type WeightGrant, WeightStore } from "../weightStore.js";
import { createPlatformConnection, type HttpPlatformOptions, type PlatformAnswer } from "./platformConnection.js";

/** A weight store accessed over HTTP. `close` closes its connections. */
export interface HttpWeightStore {
    readonly weightStore: WeightStore;
    close(): Promise<void>;
}

/** Path for requesting permission to load weights. */
export const weightGrantPath = "/weights/grants";

const okStatus = 200;
const tooManyRequestsStatus = 429;

const grantSchema = z.object({ grantId: z.string(), validUntil: z.number() });
const refusalSchema = z.object({ retryAt: z.number() });

/** Creates the HTTP and JSON adapter to the platform's rate-limited weight store. */
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
