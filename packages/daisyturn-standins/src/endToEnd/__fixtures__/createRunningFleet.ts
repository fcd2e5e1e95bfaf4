import { rmSync } from "node:fs";
import { type Balancer, createBalancer } from "../../fleet/createBalancer.js";
import { createFleetPlan } from "../../fleet/createFleetPlan.js";
import { type Fleet, type FleetPlan, launchFleet } from "../../fleet/launchFleet.js";
import { publishFleet } from "../../fleet/publishFleet.js";

/** A fleet of real processes that serves both partners. */
export interface RunningFleet {
    readonly fleet: Fleet;
    readonly plan: FleetPlan;
    readonly balancer: Balancer;
    /** Stops all processes, including paused ones, and removes the logs. */
    close(): Promise<void>;
}

/** Starts a fleet, publishes both partners' items and waits until every entry process is ready. */
export async function createRunningFleet(changes: Partial<FleetPlan> = {}): Promise<RunningFleet> {
    const plan = createFleetPlan(changes);
    const fleet = await launchFleet(plan);
    const balancer = createBalancer(fleet);
    const close = async () => {
        await balancer.stop();
        await fleet.stop();
        rmSync(fleet.folder, { recursive: true });
    };
    try {
        await publishFleet(fleet, plan);
        await balancer.waitForReady(plan.entryCount);
        return { fleet, plan, balancer, close };
    }
    catch (error) {
        await close();
        throw error;
    }
}
