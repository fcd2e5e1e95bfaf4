import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { expectedAnswer } from "../../engine/expectedAnswer.js";
import { createEventStreamText } from "../../load/eventStreamText.js";
import { type Fleet, type FleetPlan, launchFleet } from "../launchFleet.js";
import { publishChange } from "../operatorClient.js";
import {
    createCallerKey,
    createPartnerItems,
    createTargetItems,
    ModelName,
    PartnerName,
    putItems,
    ServiceName,
} from "../partnerConfiguration.js";

const partner = PartnerName.Nyamata;
const outputTokens = 150;
const tokensBeforeKill = 20;
const prompt = `The whole dossier <answer-tokens:${outputTokens}>`;

const plan: FleetPlan = {
    partners: [partner],
    availabilityZones: ["zone-a"],
    entryCount: 2,
    engines: [{
        id: "engine-1",
        availabilityZone: "zone-a",
        role: "mixed",
        models: [ModelName.Large, ModelName.Small],
        checksFencing: true,
    }],
    services: ["service-1", "service-2"].map(id => ({ id, availabilityZone: "zone-a" })),
};

const headers = { authorization: `Bearer ${createCallerKey(partner)}`, "content-type": "application/json" };

test("a caller of a killed entry process gets the rest of its answer, byte for byte, at another one", async () => {
    const fleet = await launchFleet(plan);
    try {
        await publishItems(fleet);
        const begun = await beginAndKill(fleet);
        const resumed = await request(`${fleet.entries[1]?.callerUrl}/v1/resume`, {
            method: "POST",
            headers: { ...headers, "x-resume-token": begun.token, "last-event-id": String(begun.offset) },
        });
        const rest = createEventStreamText();
        rest.append(await resumed.body.text());
        const whole = expectedAnswer({ model: ModelName.Large, prompt }, outputTokens);
        assert.equal(begun.text + rest.result().text, whole);
        assert.ok(rest.result().ended);
    }
    finally {
        await fleet.stop();
    }
});

async function publishItems(fleet: Fleet): Promise<void> {
    const items = [...createTargetItems(partner, plan.engines, plan.services, fleet), ...createPartnerItems(partner)];
    await publishChange(fleet.entries[0]?.operatorUrl ?? "", fleet.operatorKey(partner), putItems(items));
}

async function beginAndKill(fleet: Fleet) {
    const answer = await requestUntilEnginesAreKnown(`${fleet.entries[0]?.callerUrl}/v1/completions`);
    const collector = createEventStreamText();
    const decoder = new TextDecoder();
    let isKilled = false;
    try {
        for await (const piece of answer.body) {
            collector.append(decoder.decode(piece as Uint8Array, { stream: true }));
            if (!isKilled && collector.result().offset >= tokensBeforeKill) {
                isKilled = true;
                await fleet.entries[0]?.program.kill();
            }
        }
    }
    catch {
        assert.ok(isKilled, "the stream broke before the process was killed");
    }
    const { text, offset, ended } = collector.result();
    assert.equal(ended, false);
    return { text, offset, token: String(answer.headers["x-resume-token"]) };
}

/** Repeats the request until it is accepted: a new process refuses until it has received an engine's load report. */
async function requestUntilEnginesAreKnown(url: string) {
    const body = JSON.stringify({ model: ServiceName.Valuation, prompt, max_tokens: outputTokens, stream: true });
    for (;;) {
        const answer = await request(url, { method: "POST", headers, body });
        if (answer.statusCode === 200) {
            return answer;
        }
        assert.match(await answer.body.text(), /"no_target"/);
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}
