import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { type ChildProgram, startChildProgram } from "../fleet/childProgram.js";
import { type Fleet, type FleetPlan, launchFleet } from "../fleet/launchFleet.js";
import { publishChange } from "../fleet/operatorClient.js";
import {
    createPartnerItems,
    createTargetItems,
    ModelName,
    PartnerName,
    putItems,
} from "../fleet/partnerConfiguration.js";

const partner = PartnerName.Nyamata;
const zone = "zone-a";
const bareRelayScript = fileURLToPath(new URL("runBareRelay.js", import.meta.url));
const pollMilliseconds = 50;

/**
 * One entry process in front of four engines, whose step without work takes 1 ms, and two plain services. Only the
 * first engine has the large model, so that requests for it run on the same engine whichever route they take.
 */
const plan: FleetPlan = {
    partners: [partner],
    availabilityZones: [zone],
    entryCount: 1,
    engines: [1, 2, 3, 4].map(number => ({
        id: `engine-${number}`,
        availabilityZone: zone,
        role: "mixed",
        models: number === 1 ? [ModelName.Large, ModelName.Small] : [ModelName.Small],
        checksFencing: true,
    })),
    services: [1, 2].map(number => ({ id: `service-${number}`, availabilityZone: zone })),
    engineArguments: ["--speed", "10"],
};

/** The processes that the measurement runs against. */
export interface CallerPathFleet {
    readonly fleet: Fleet;
    /** A proxy that forwards bytes and does nothing else. */
    readonly bareRelay: ChildProgram;
}

/** Starts the fleet of the measurement and publishes its configuration. */
export async function launchCallerPathFleet(): Promise<CallerPathFleet> {
    const fleet = await launchFleet(plan);
    const bareRelay = await startChildProgram("bare-relay", bareRelayScript, []);
    const items = [...createTargetItems(partner, plan.engines, plan.services, fleet), ...createPartnerItems(partner)];
    const [entry] = fleet.entries;
    await publishChange(entry?.operatorUrl ?? "", fleet.operatorKey(partner), putItems(items));
    await waitUntilReady(`${entry?.callerUrl}/readyz`);
    return { fleet, bareRelay };
}

async function waitUntilReady(url: string): Promise<void> {
    for (;;) {
        const { statusCode, body } = await request(url);
        await body.dump();
        if (statusCode === 200) {
            return;
        }
        await delay(pollMilliseconds);
    }
}
