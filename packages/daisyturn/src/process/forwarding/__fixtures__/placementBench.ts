import { createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import type { PromptDescription } from "../../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { ForwardService } from "../../../version/forwarding/forwardingConfiguration.js";
import type { Mechanism } from "../experiments/mechanism.js";
import { switchOffViews } from "../experiments/switchOffViews.js";
import type { PromptRequirements } from "../placement/callPlacement.js";
import { createCallPlacement } from "../placement/createCallPlacement.js";
import { createTargetViews } from "../views/createTargetViews.js";

/** Length of the prefix that long prompts share. */
export const sharedTokens = 13_000;
const ownTokens = 4_000;

/** The service of the placement tests, with the figures of a model with about ten billion parameters. */
export const engineService: ForwardService = {
    name: "engines",
    engine: { kvTokens: 385_000, bytesPerToken: 163_840, linkMegabits: 1_300_000, tokensPerEvent: 9 },
};

/** Creates a long prompt whose prefix many others share. */
export function createLongPrompt(shared: string, own: string): PromptDescription {
    return {
        model: "m",
        promptTokens: sharedTokens + ownTokens,
        maxOutputTokens: 200,
        expectedOutputTokens: 100,
        parts: [{ partId: shared, tokens: sharedTokens }, { partId: own, tokens: ownTokens }],
    };
}

/** Creates a short prompt with a short answer. */
export function createShortPrompt(own: string): PromptDescription {
    return {
        model: "m",
        promptTokens: 380,
        maxOutputTokens: 9,
        expectedOutputTokens: 5,
        parts: [{ partId: own, tokens: 380 }],
    };
}

/** Creates the requirements of a prompt. */
export function createDemand(
    prompt: PromptDescription,
    changes: Partial<PromptRequirements> = {},
): PromptRequirements {
    return {
        service: engineService,
        prompt,
        bodyBytes: prompt.promptTokens * 2,
        avoid: new Set(),
        isWholeOnly: false,
        aim: 500,
        pauseAim: 150,
        mayDefer: true,
        availabilityZone: "zone-0",
        ...changes,
    };
}

/** Creates a placement policy with real views and a fake clock. */
export function createPlacementBench(
    stages: readonly (EngineStage | undefined)[],
    seed = 1,
    switchedOff: ReadonlySet<Mechanism> = new Set(),
) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const decode = (...[, text]: [string, string]) => JSON.parse(text) as ListedTarget;
    const views = switchOffViews(createTargetViews(decode, clock, eventLog), switchedOff);
    const listed = stages.map((stage, index): ListedTarget => ({
        targetId: `i-${index}`,
        name: `i-${index}`,
        service: engineService.name,
        address: `10.0.0.${index}:80`,
        availabilityZone: `zone-${index % 3}`,
        slots: 24,
        isLeaving: false,
        softwareVersion: "v1",
        stage,
    }));
    views.targets.replace(listed.map(target => ({ key: target.targetId, version: 1, text: JSON.stringify(target) })));
    const placement = createCallPlacement({
        ...views,
        random: createSeededRandom(seed),
        availabilityZone: "zone-0",
        switchedOff,
    });
    return { ...views, clock, eventLog, listed, placement };
}
