import type { FleetPlan } from "./launchFleet.js";
import { ModelName, PartnerName } from "./partnerConfiguration.js";

/** Creates the plan of a small fleet for both partners in three availability zones; `changes` override its fields. */
export function createFleetPlan(changes: Partial<FleetPlan> = {}): FleetPlan {
    const availabilityZones = ["zone-a", "zone-b", "zone-c"];
    const findZone = (index: number) => availabilityZones[index % availabilityZones.length] ?? "zone-a";
    const engineCount = 4;
    const serviceCount = 2;
    return {
        partners: [PartnerName.Nyamata, PartnerName.Jizdenka],
        availabilityZones,
        entryCount: 3,
        engines: Array.from({ length: engineCount }, (unused, index) => ({
            id: `engine-${index + 1}`,
            availabilityZone: findZone(index),
            role: "mixed",
            models: [ModelName.Large, ModelName.Small],
            // The last engine does not check fencing numbers.
            checksFencing: index !== engineCount - 1,
        })),
        services: Array.from({ length: serviceCount }, (unused, index) => ({
            id: `service-${index + 1}`,
            availabilityZone: findZone(index),
        })),
        engineArguments: ["--speed", "4"],
        ...changes,
    };
}
