import { createSeededRandom, MemoryEventLog } from "daisyturn-utils";
import type { PromptDescription } from "../../../ports/forwardedCall.js";
import { EngineStage } from "../../../ports/listedTarget.js";
import { createPlacementBench, engineService } from "../../../process/forwarding/__fixtures__/placementBench.js";
import {
    createLongPrefillTimes,
    createSizeFairness,
    LocalDecisions,
    measureSize,
    type Mechanism,
} from "../../../process/forwarding/index.js";
import { type AdmissionParts, admitPrompt } from "../admitPrompt.js";
import { computeAbandonmentTime } from "../computeAbandonmentTime.js";
import { createRequestTrace } from "../requestTrace.js";
import { createOverloadPrompts } from "./createOverloadPrompts.js";
import { createSimulatedEngines } from "./createSimulatedEngines.js";

/** A simulated period in which more prompts arrive than the engines can prefill. */
export interface Overload {
    readonly seed: number;
    /** Long prompts per second, of widely varying sizes. */
    readonly longPerSecond: number;
    /** Short prompts per second, each with a few milliseconds of prefill. */
    readonly shortPerSecond: number;
    readonly seconds: number;
    /** Mechanisms that an experiment switches off. */
    readonly switchedOff?: ReadonlySet<Mechanism>;
}

/** A long prompt, and whether its answer started before its caller abandoned it. */
export interface SimulatedPrompt {
    readonly tokens: number;
    readonly isServed: boolean;
}

type SimulatedCall = ReturnType<typeof createCall>;
type EndListener = (isServed: boolean) => void;

const sliceMilliseconds = 5;
const millisecondsPerSecond = 1_000;
const latencyAimMilliseconds = 600;
const deadlineMilliseconds = 6_000;
const pauseAimMilliseconds = 150;
const bytesPerToken = 2;
const { Prefill, Decode } = EngineStage;
const stages = [Prefill, Prefill, Prefill, Decode, Decode, Decode, Decode, Decode];

/**
 * Simulates an overload without a network. One process places and refuses the prompts, and each engine prefills exactly
 * as fast as forecast. Callers that have received no event by their abandonment time leave.
 * @returns the long prompts
 */
export async function simulateOverload(overload: Overload): Promise<readonly SimulatedPrompt[]> {
    const { seed, longPerSecond, shortPerSecond, seconds } = overload;
    const random = createSeededRandom(seed);
    const prompts = createOverloadPrompts(random);
    const { arrive, work } = createSimulatedProcess(overload);
    const isDue = (perSecond: number) => random.fraction() < perSecond * sliceMilliseconds / millisecondsPerSecond;
    const simulated: SimulatedPrompt[] = [];

    for (let slice = 1; slice <= seconds * millisecondsPerSecond / sliceMilliseconds; slice++) {
        if (isDue(longPerSecond)) {
            const prompt = prompts.createLong(`own-${slice}`);
            await arrive("long", prompt, isServed => simulated.push({ tokens: prompt.promptTokens, isServed }));
        }
        if (isDue(shortPerSecond)) {
            await arrive("short", prompts.createShort(`short-${slice}`), () => undefined);
        }
        await work();
    }
    return simulated;
}

/** Returns the served share of the prompts in each size decile, smallest first. */
export function computeServedShareByTenth(simulated: readonly SimulatedPrompt[]): readonly number[] {
    const ordered = [...simulated].sort((left, right) => left.tokens - right.tokens);
    return Array.from({ length: 10 }, (...[, tenth]) => {
        const part = ordered.slice(tenth * ordered.length / 10, (tenth + 1) * ordered.length / 10);
        return computeServedShare(part);
    });
}

export function computeServedShare(simulated: readonly SimulatedPrompt[]): number {
    return simulated.filter(({ isServed }) => isServed).length / simulated.length;
}

/** Creates one process with its simulated engines. */
function createSimulatedProcess({ seed, switchedOff = new Set() }: Overload) {
    const { placement, loads, caches, clock, availability } = createPlacementBench(stages, seed, switchedOff);
    const decisions = new LocalDecisions({ placement, longPrefillTimes: createLongPrefillTimes(), switchedOff });
    const stageReturns = { estimate: () => undefined };
    const parts: AdmissionParts = {
        decisions,
        clock,
        switchedOff,
        availabilityZone: "zone-0",
        stageReturns,
        availability,
    };
    const sizeFairness = createSizeFairness();
    const engines = createSimulatedEngines();

    const send = async (call: SimulatedCall, prompt: PromptDescription, onEnd: EndListener) => {
        const account = sizeFairness.begin(call.route.name, measureSize(prompt));
        const admitted = await admitPrompt(parts, call, {
            prompt,
            account,
            isWholeOnly: false,
            hasStarted: false,
        });
        if (admitted.isErr) {
            account.end(false);
            onEnd(false);
            return;
        }
        const { prefill, decode, isDeferred } = admitted.value;
        const { target: { targetId }, work, leastWork } = prefill ?? decode;
        const placed = loads.begin(targetId, { work, isDeferred, tokens: 0 });
        caches.record(targetId, prompt.parts, engineService.engine?.kvTokens ?? 0);
        const end = (isServed: boolean) => {
            placed.end();
            account.end(isServed);
            onEnd(isServed);
        };
        engines.add(targetId, {
            isDeferred,
            abandonedAt: computeAbandonmentTime(call),
            end,
            left: leastWork,
        });
    };

    return {
        arrive: (route: string, prompt: PromptDescription, onEnd: EndListener) =>
            send(createCall(clock.monotonicNow(), route, prompt), prompt, onEnd),
        work: async () => {
            await clock.advance(sliceMilliseconds);
            engines.work(sliceMilliseconds, clock.monotonicNow());
        },
    };
}

function createCall(arrivedAt: number, route: string, { promptTokens }: PromptDescription) {
    return {
        call: { arrivedAt, body: Buffer.alloc(promptTokens * bytesPerToken) },
        service: engineService,
        route: { name: route, latencyAimMilliseconds },
        deadline: arrivedAt + deadlineMilliseconds,
        pauseAim: pauseAimMilliseconds,
        avoid: new Set<string>(),
        trace: createRequestTrace({
            eventLog: new MemoryEventLog(),
            sampledCalls: 1,
            callId: "a",
            arrivedAt,
            now: () => arrivedAt,
        }),
    };
}
