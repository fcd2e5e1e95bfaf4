import { EngineRole, type Profile } from "daisyturn";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { createFleetPlan } from "../fleet/createFleetPlan.js";
import type { FleetPlan } from "../fleet/launchFleet.js";
import { ModelName } from "../fleet/partnerConfiguration.js";
import type { GoodputLimits } from "./goodput.js";
import type { PolicyName } from "./policyName.js";
import type { TraceClass } from "./tracedRequest.js";

/** Speed of the bench's engines, in simulated milliseconds. Slow, so that a few processes can saturate them. */
const engineSpeed = {
    stepBaseMilliseconds: 20,
    stepPerDecodeStreamMilliseconds: 0.6,
    stepPerPrefillTokenMilliseconds: 0.12,
    prefillTokensPerStep: 512,
    maxRunningStreams: 48,
    prefixCacheBlocks: 1_024,
};

/** Limits within which an answer counts towards goodput, in simulated milliseconds. */
export const benchLimits: GoodputLimits = {
    firstTokenMilliseconds: 4_000,
    betweenTokensMilliseconds: 90,
    totalMilliseconds: 40_000,
};

/** Shape of a bench fleet. */
export interface BenchFleetOptions {
    readonly policy: PolicyName;
    readonly speed: number;
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly mixedEngines: number;
    readonly entryCount: number;
}

/** Creates the plan of the fleet on which a policy is measured. */
export function createBenchFleetPlan(options: BenchFleetOptions): FleetPlan {
    const roles = [
        ...Array<EngineRole>(options.prefillEngines).fill(EngineRole.Prefill),
        ...Array<EngineRole>(options.decodeEngines).fill(EngineRole.Decode),
        ...Array<EngineRole>(options.mixedEngines).fill(EngineRole.Mixed),
    ];
    const zones = ["zone-a", "zone-b", "zone-c"];
    const benchEntry = path.join(path.dirname(fileURLToPath(import.meta.url)), "runBenchEntry.js");
    return createFleetPlan({
        entryCount: options.entryCount,
        engines: roles.map((role, index) => ({
            id: `engine-${index + 1}`,
            availabilityZone: zones[index % zones.length] ?? "zone-a",
            role,
            models: [ModelName.Large, ModelName.Small],
            checksFencing: true,
        })),
        engineArguments: ["--speed", String(options.speed), ...Object.entries(engineSpeed).flatMap(toFlag)],
        entryProgram: [benchEntry, "--policy", options.policy],
    });
}

/** Converts the limits of the bench's profiles from simulated time to the real time of the entry processes. */
export function createProfileLimits(speed: number): Partial<Profile> {
    return {
        firstTokenLimitMilliseconds: Math.round(benchLimits.firstTokenMilliseconds / speed),
        betweenTokensLimitMilliseconds: Math.round(benchLimits.betweenTokensMilliseconds / speed),
        totalLimitMilliseconds: Math.round(benchLimits.totalMilliseconds / speed),
        maxOutputTokens: 1_000,
    };
}

/** Minimum engine seconds of a request: its uncached prompt in full steps, its answer in full batches. */
export function computeEngineSeconds(traceClass: TraceClass): number {
    const perPromptToken = engineSpeed.stepPerPrefillTokenMilliseconds
        + engineSpeed.stepBaseMilliseconds / engineSpeed.prefillTokensPerStep;
    const perAnswerToken = engineSpeed.stepPerDecodeStreamMilliseconds
        + engineSpeed.stepBaseMilliseconds / engineSpeed.maxRunningStreams;
    const uncached = traceClass.promptTokens - traceClass.sharedTokens;
    return (uncached * perPromptToken + traceClass.outputTokens * perAnswerToken) / 1_000;
}

function toFlag([name, value]: [string, number]): string[] {
    const words = name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
    return [`--${words}`, String(value)];
}
