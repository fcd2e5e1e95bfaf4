import { FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { crashMarker } from "../../crashMarker.js";
import type { TargetProgram } from "../../fleet/launchFleet.js";
import { createCallerKey, PartnerName, ServiceName } from "../../fleet/partnerConfiguration.js";
import { type CallerClient, CallOutcome, type CallRecord, createCallerClient } from "../../load/callerClient.js";
import { createRunningFleet } from "../__fixtures__/createRunningFleet.js";

/** The platform's limits for a request under which targets have ended. */
const maxCrashes = 3;
const contactMilliseconds = 3_000;
const maxLateCrashes = 3;
const attemptMilliseconds = 12_000;
const attemptIntervalMilliseconds = 400;
const popularIntervalMilliseconds = 15;

type Attempt = (client: CallerClient) => Promise<CallRecord>;

/** Repeats an attempt, each time at the next entry process, until the time is over. */
async function repeat(attempt: Attempt, client: CallerClient, interval: number): Promise<CallRecord[]> {
    const records: CallRecord[] = [];
    const until = performance.now() + attemptMilliseconds;
    while (performance.now() < until) {
        records.push(await attempt(client));
        await sleep(interval);
    }
    return records;
}

function isListedRefusal({ reason }: CallRecord): boolean {
    return reason?.includes(FailureReason.CrashesTargets) ?? false;
}

async function readCrashes(targets: readonly TargetProgram[], path: string): Promise<number[]> {
    const answers = await Promise.all(targets.map(async ({ url }) => {
        const answer = await fetch(`${url}${path}`);
        return await answer.json() as { crashes: number[]; };
    }));
    return answers.flatMap(({ crashes }) => crashes).sort((left, right) => left - right);
}

/** Runs a request that ends its targets, and a popular one of the same caller and service beside it. */
async function assertKeptOut(crashing: Attempt, popular: Attempt, readEnds: typeof readFleetEnds): Promise<void> {
    const services = Array.from({ length: 4 }, (unused, index) => ({
        id: `service-${index + 1}`,
        availabilityZone: "zone-a",
    }));
    const running = await createRunningFleet({ services });
    const client = createCallerClient({
        key: createCallerKey(PartnerName.Nyamata),
        entryUrls: running.balancer.readyUrls,
        maximumTries: 1,
    });
    try {
        const [records, popularRecords] = await Promise.all([
            repeat(crashing, client, attemptIntervalMilliseconds),
            repeat(popular, client, popularIntervalMilliseconds),
        ]);
        // Targets that are down answer nothing.
        await sleep(2_000);
        const ends = await readEnds(running);
        const contactAt = (ends[maxCrashes - 1] ?? Infinity) + contactMilliseconds;
        const late = ends.filter(at => at > contactAt);
        assert.ok(ends.length >= maxCrashes, `only ${ends.length} targets ended`);
        assert.ok(late.length <= maxLateCrashes, `${late.length} targets ended too late, ${ends.length} in all`);
        assert.deepEqual(records.filter(({ outcome }) => outcome === CallOutcome.Answered), []);
        assert.ok(records.at(-1) && isListedRefusal(records.at(-1) as CallRecord), "the request is not kept out");
        assert.deepEqual(popularRecords.filter(isListedRefusal), []);
        assert.equal(popularRecords.at(-1)?.outcome, CallOutcome.Answered);
    }
    finally {
        await client.close();
        await running.close();
    }
}

type Running = Awaited<ReturnType<typeof createRunningFleet>>;

function readFleetEnds({ fleet }: Running): Promise<number[]> {
    return readCrashes(fleet.engines, "/control/crashes");
}

function readServiceEnds({ fleet }: Running): Promise<number[]> {
    return readCrashes(fleet.services, "/crashes");
}

// Guards against a prompt that ends engine after engine through the product's own interface.
test("a completion that ends its engines is kept out of them, and a popular one is not", () =>
    assertKeptOut(
        // Long enough that no engine has answered it before it ends.
        client =>
            client.complete({
                service: ServiceName.QuickQuestion,
                prompt: `${crashMarker} <answer-tokens:300>`,
                maxTokens: 300,
            }),
        client =>
            client.complete({ service: ServiceName.QuickQuestion, prompt: "<answer-tokens:3> open?", maxTokens: 3 }),
        readFleetEnds,
    ));

// Guards against prompts with one beginning that end engine after engine, though no two of them are alike.
test("completions whose common beginning ends engines are kept out of them, and others are not", () => {
    let sent = 0;
    const beginning = `${crashMarker} <answer-tokens:300> ${"the guide that all of them begin with. ".repeat(20)}`;
    return assertKeptOut(
        client =>
            client.complete({
                service: ServiceName.QuickQuestion,
                prompt: `${beginning} question ${++sent}`,
                maxTokens: 300,
            }),
        client =>
            client.complete({ service: ServiceName.QuickQuestion, prompt: "<answer-tokens:3> open?", maxTokens: 3 }),
        readFleetEnds,
    );
});

// Guards against a call that ends service after service through the product's own interface.
test("a call that ends its services is kept out of them, and a popular one is not", () =>
    assertKeptOut(
        client => client.invoke({ method: "POST", path: "/services/quotes/confirm", body: crashMarker }),
        client => client.invoke({ method: "GET", path: "/services/quotes/lookup/popular" }),
        readServiceEnds,
    ));
