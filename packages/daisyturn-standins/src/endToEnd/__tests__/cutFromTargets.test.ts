import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createCallerKey, PartnerName, ServiceName } from "../../fleet/partnerConfiguration.js";
import { type CallerClient, CallOutcome, type CallRecord, createCallerClient } from "../../load/callerClient.js";
import { createRunningFleet } from "../__fixtures__/createRunningFleet.js";

const entryProgram = fileURLToPath(new URL("../__fixtures__/cuttableDaemon.js", import.meta.url));
/** Time after which callers of a cut entry must be served. */
const contactMilliseconds = 3_000;
const callingMilliseconds = 4_000;
const callIntervalMilliseconds = 25;
/** Callers of a cut entry are to be served like those of the others, up to the calls that fail by chance. */
const minServedFraction = 0.95;

/** Sends calls at a fixed interval, whatever becomes of those before. Returns the fraction that was answered. */
async function measureServed(client: CallerClient, call: (client: CallerClient) => Promise<CallRecord>) {
    const records: Promise<CallRecord>[] = [];
    const until = performance.now() + callingMilliseconds;
    while (performance.now() < until) {
        records.push(call(client));
        await sleep(callIntervalMilliseconds);
    }
    const ended = await Promise.all(records);
    return ended.filter(({ outcome }) => outcome === CallOutcome.Answered).length / ended.length;
}

async function assertServed(call: (client: CallerClient) => Promise<CallRecord>): Promise<void> {
    const { fleet, close } = await createRunningFleet({ entryProgram: [entryProgram] });
    const [cut, ...others] = fleet.entries;
    assert.ok(cut);
    const createClient = (urls: readonly string[]) =>
        createCallerClient({ key: createCallerKey(PartnerName.Nyamata), entryUrls: () => urls, maximumTries: 1 });
    const clients = [createClient([cut.callerUrl]), createClient(others.map(({ callerUrl }) => callerUrl))];
    try {
        process.kill(cut.program.processNumber, "SIGUSR2");
        await sleep(contactMilliseconds);
        const [atCut = 0, atOthers = 0] = await Promise.all(clients.map(client => measureServed(client, call)));
        assert.ok(atOthers > 0, "the other entries serve nothing");
        assert.ok(atCut >= minServedFraction * atOthers, `the cut entry served ${atCut}, the others ${atOthers}`);
    }
    finally {
        await Promise.all(clients.map(client => client.close()));
        await close();
    }
}

// Guards against an entry that serves nothing through the product's own interface while its links to targets are cut.
test("calls at an entry cut off from all targets are served like those at the others", () =>
    assertServed(client => client.invoke({ method: "GET", path: "/services/quotes/lookup/popular" })));

test("completions at an entry cut off from all targets are served like those at the others", () =>
    assertServed(client =>
        client.complete({ service: ServiceName.QuickQuestion, prompt: "<answer-tokens:3> open?", maxTokens: 3 })
    ));
