import type { ChangeAnswer } from "daisyturn";
import type { Fleet, FleetPlan } from "./launchFleet.js";
import { publishChange } from "./operatorClient.js";
import { createPartnerItems, createTargetItems, PartnerName, putItems } from "./partnerConfiguration.js";

/** Publishes the targets and each partner's items through the first entry process. Returns one answer per partner. */
export async function publishFleet(fleet: Fleet, plan: FleetPlan): Promise<ChangeAnswer[]> {
    const [first] = fleet.entries;
    const answers: ChangeAnswer[] = [];
    for (const partner of [PartnerName.Nyamata, PartnerName.Jizdenka]) {
        const targets = partner === PartnerName.Nyamata
            ? createTargetItems(partner, plan.engines, plan.services, fleet)
            : [];
        const changes = putItems([...targets, ...createPartnerItems(partner)]);
        answers.push(await publishChange(first?.operatorUrl ?? "", fleet.operatorKey(partner), changes));
    }
    return answers;
}
