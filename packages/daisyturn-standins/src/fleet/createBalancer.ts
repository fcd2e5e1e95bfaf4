import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Fleet } from "./launchFleet.js";

/** Stand-in for the platform's load balancer: polls `/readyz` of the entry processes. */
export interface Balancer {
    /** Caller addresses of the entry processes that were ready at the last poll. */
    readyUrls(): readonly string[];
    /** Resolves once `count` entry processes are ready; rejects after 30 s. */
    waitForReady(count: number): Promise<void>;
    stop(): Promise<void>;
}

const pollIntervalMilliseconds = 50;
const pollLimitMilliseconds = 500;
const waitLimitMilliseconds = 30_000;
const okStatus = 200;

/** Starts to poll the entry processes of a fleet, including those restarted later. */
export function createBalancer(fleet: Fleet): Balancer {
    const stopper = new AbortController();
    let ready: readonly string[] = [];

    const poll = async () => {
        while (!stopper.signal.aborted) {
            const urls = fleet.entries.filter(entry => !entry.program.hasExited()).map(entry => entry.callerUrl);
            const answers = await Promise.all(urls.map(isReady));
            ready = urls.filter((url, index) => answers[index]);
            await delay(pollIntervalMilliseconds);
        }
    };
    const polling = poll();

    const waitForReady = async (count: number) => {
        const deadline = performance.now() + waitLimitMilliseconds;
        while (ready.length < count) {
            if (performance.now() > deadline) {
                throw new Error(`only ${ready.length} of ${count} entry processes became ready`);
            }
            await delay(pollIntervalMilliseconds);
        }
    };

    const stop = async () => {
        stopper.abort();
        await polling;
    };

    return { readyUrls: () => ready, waitForReady, stop };
}

async function isReady(url: string): Promise<boolean> {
    try {
        const answer = await request(`${url}/readyz`, {
            headersTimeout: pollLimitMilliseconds,
            bodyTimeout: pollLimitMilliseconds,
        });
        await answer.body.dump();
        return answer.statusCode === okStatus;
    }
    catch {
        return false;
    }
}
