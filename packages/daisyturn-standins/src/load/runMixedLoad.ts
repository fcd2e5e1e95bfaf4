import { createSeededRandom } from "daisyturn-utils";
import { createCallerKey, PartnerName } from "../fleet/partnerConfiguration.js";
import { createCallerClient } from "./callerClient.js";
import { type MixedRecord, sendMixedRequest } from "./mixedLoad.js";

export interface MixedLoadOptions {
    readonly seed: number;
    readonly requestCount: number;
    readonly requestsPerSecond: number;
    /** Returns the addresses of the usable entry processes. Called before each attempt. */
    readonly entryUrls: () => readonly string[];
    /** Maximum number of attempts of one request. With 1, no error is hidden by a retry. */
    readonly maximumTries?: number;
    /** Called after each request is sent. The load ends only after all returned promises have resolved. */
    readonly afterSending?: (number: number) => Promise<void> | undefined;
    readonly onEnded?: (record: MixedRecord) => void;
}

const millisecondsPerSecond = 1000;

/** Sends the mixed load of both partners at a constant rate. Resolves with the records in the order of completion. */
export async function runMixedLoad(options: MixedLoadOptions): Promise<MixedRecord[]> {
    const random = createSeededRandom(options.seed);
    const callers = {
        [PartnerName.Nyamata]: createClient(PartnerName.Nyamata, options),
        [PartnerName.Jizdenka]: createClient(PartnerName.Jizdenka, options),
    };
    const records: MixedRecord[] = [];
    const running: (Promise<void> | undefined)[] = [];
    const startedAt = performance.now();

    const addRecord = (record: MixedRecord) => {
        records.push(record);
        options.onEnded?.(record);
    };

    for (let number = 0; number < options.requestCount; number++) {
        await sleepUntil(startedAt + number * millisecondsPerSecond / options.requestsPerSecond);
        running.push(sendMixedRequest(callers, random, number).then(addRecord));
        running.push(options.afterSending?.(number));
    }
    await Promise.all(running);
    await Promise.all(Object.values(callers).map(caller => caller.close()));
    return records;
}

function createClient(partner: PartnerName, options: MixedLoadOptions) {
    return createCallerClient({
        key: createCallerKey(partner),
        entryUrls: options.entryUrls,
        maximumTries: options.maximumTries,
    });
}

async function sleepUntil(time: number): Promise<void> {
    const remaining = time - performance.now();
    if (remaining > 0) {
        await new Promise(resolve => setTimeout(resolve, remaining));
    }
}
