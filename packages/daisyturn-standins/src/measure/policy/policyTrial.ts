import {
    type CallerAccount,
    type EngineChoice,
    ItemKind,
    type Placement,
    PlacementOutcome,
    type Profile,
    type RoutingRequest,
} from "daisyturn";
import { createSeededRandom, type Random } from "daisyturn-utils";
import { countUpTo, createRequest, drawPromptBlocks, type PromptMix } from "../requestMix.js";
import { percentile } from "../summarise.js";
import { createPolicyCell, type PolicyProcess } from "./policyCell.js";
import { SteppedEngine, type SteppedEngineSettings } from "./steppedEngine.js";
import { VirtualClock } from "./virtualClock.js";

/** One stream of arrivals. */
export interface TrialSource {
    readonly profile: Profile;
    readonly requestsPerSecond: number;
    readonly mix: PromptMix;
    /** Mean output tokens; lengths are spread evenly from half to one and a half of it. */
    readonly outputTokens: number;
    /** Processes that its requests reach; all if absent. */
    readonly processes?: readonly number[];
    /** Seconds of the trial in which it sends; always if absent. */
    readonly activeSeconds?: readonly [number, number];
}

/** What a trial varies. */
export interface TrialOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly engines: number;
    readonly engineSettings: SteppedEngineSettings;
    readonly processes: number;
    readonly sources: readonly TrialSource[];
    readonly usesAdmission: boolean;
    readonly exchangeIntervalMilliseconds?: number;
    readonly createChoice?: (random: Random) => EngineChoice;
    /** Changes engines as time goes by. */
    readonly disturb?: (engines: readonly SteppedEngine[], clock: VirtualClock) => void;
}

/** How one source fared. */
export interface SourceResult {
    offered: number;
    refused: number;
    /** Answered whole within all limits. */
    good: number;
    late: number;
    readonly firstTokens: number[];
    /** Milliseconds that first tokens came later than the router expected when it placed the request. */
    readonly errors: number[];
    cachedTokens: number;
    promptTokens: number;
}

/** What a trial found. */
export interface TrialResult {
    readonly sources: readonly SourceResult[];
    /** Part of the engines' time spent on steps. */
    readonly busy: number;
    readonly prefilledTokens: number;
    /** Bytes a second that one process tells the others, as JSON. */
    readonly exchangeBytesPerSecond: number;
    readonly unfinished: number;
}

const tokensPerBlock = 64;
const millisecondsPerSecond = 1_000;
/** Time for the last requests to end. */
const drainMilliseconds = 15_000;
/** Time for the engines to report and the processes to meet before requests come. */
const settleMilliseconds = 1_000;

/** Runs requests through the decisions of several processes over stepped engines, in virtual time. */
export async function runTrial(options: TrialOptions): Promise<TrialResult> {
    const clock = new VirtualClock();
    const random = createSeededRandom(options.seed);
    const engines = countUpTo(options.engines)
        .map(index => new SteppedEngine(`engine-${index}`, clock, options.engineSettings));
    const cell = createPolicyCell({
        clock,
        callLater: (milliseconds, call) => clock.callLater(milliseconds, call),
        engines,
        processes: options.processes,
        seed: options.seed,
        items: [],
        reportIntervalMilliseconds: 500,
        exchangeIntervalMilliseconds: options.exchangeIntervalMilliseconds ?? 100,
        peerDelayMilliseconds: 1,
        createChoice: index => options.createChoice?.(createSeededRandom(options.seed * 100 + index)),
    });
    const stopper = new AbortController();
    const results = options.sources.map(createResult);
    let openRequests = 0;
    let count = 0;
    cell.run(stopper.signal);
    options.disturb?.(engines, clock);

    const serve = async (process: PolicyProcess, source: TrialSource, result: SourceResult) => {
        count += 1;
        const blocks = drawPromptBlocks(source.mix, random, count);
        const request = createRequest(
            source.profile,
            `r${count}`,
            blocks,
            source.profile.maxOutputTokens,
            clock.wallNow(),
        );
        const outputTokens = Math.max(2, Math.round(source.outputTokens * (0.5 + random.fraction())));
        result.offered += 1;
        openRequests += 1;
        const ticket = options.usesAdmission
            ? await process.admission.admitModelRequest(accountOf(source), request, stopper.signal)
            : undefined;
        const placed = ticket?.isErr ? undefined : process.router.place(request);
        if (placed?.isOk !== true) {
            result.refused += 1;
            openRequests -= 1;
            return;
        }
        const usage = await submit(engines, placed.value, request, outputTokens, clock, result);
        openRequests -= 1;
        noteUsage(result, request, usage);
        if (ticket?.isOk) {
            ticket.value.release();
        }
    };

    options.sources.forEach((source, index) => {
        const [from, to] = source.activeSeconds ?? [0, options.seconds];
        const reached = source.processes ?? countUpTo(options.processes);
        const arrive = () => {
            if (clock.monotonicNow() >= settleMilliseconds + to * millisecondsPerSecond) {
                return;
            }
            const process = cell.processes[reached[random.integerBelow(reached.length)]!]!;
            void serve(process, source, results[index]!);
            clock.callLater(
                -Math.log(1 - random.fraction()) / source.requestsPerSecond * millisecondsPerSecond,
                arrive,
            );
        };
        clock.at(settleMilliseconds + from * millisecondsPerSecond, arrive);
    });
    const busyAt: number[] = [];
    const sumBusy = () => engines.reduce((sum, engine) => sum + engine.busy, 0);
    await clock.runUntil(settleMilliseconds);
    busyAt.push(sumBusy());
    await clock.runUntil(settleMilliseconds + options.seconds * millisecondsPerSecond);
    busyAt.push(sumBusy());
    await clock.runUntil(clock.monotonicNow() + drainMilliseconds);
    stopper.abort();
    const elapsed = clock.monotonicNow() / millisecondsPerSecond;
    return {
        sources: results,
        busy: (busyAt[1]! - busyAt[0]!) / options.seconds / millisecondsPerSecond / engines.length,
        prefilledTokens: engines.reduce((sum, engine) => sum + engine.prefilledTokens, 0),
        exchangeBytesPerSecond: cell.traffic.bytes / elapsed / options.processes,
        unfinished: openRequests,
    };
}

interface TrialUsage {
    readonly cachedTokens: number;
    readonly longestGap: number;
    readonly firstToken: number;
    readonly total: number;
}

function submit(
    engines: readonly SteppedEngine[],
    placement: Placement,
    request: RoutingRequest,
    outputTokens: number,
    clock: VirtualClock,
    result: SourceResult,
): Promise<TrialUsage> {
    const arrivedAt = request.firstTokenDeadline - request.profile.firstTokenLimitMilliseconds;
    const streamId = `str-${request.requestId}`;
    placement.recordStream(placement.engine, streamId);
    return new Promise(resolve => {
        let firstToken = 0;
        engines.find(engine => engine.engineId === placement.engine)!.submit({
            streamId,
            promptTokens: request.promptTokens,
            promptBlocks: request.promptBlocks,
            outputTokens,
            priority: request.profile.priority,
            onFirstToken: () => {
                firstToken = clock.wallNow() - arrivedAt;
                result.firstTokens.push(firstToken);
                result.errors.push(clock.wallNow() - placement.expectedFirstTokenAt);
                placement.recordFirstToken();
            },
            onEnd: ({ cachedTokens, longestGap }) => {
                placement.recordTokens(outputTokens);
                placement.end(PlacementOutcome.Completed, {
                    promptTokens: request.promptTokens,
                    cachedTokens,
                    outputTokens,
                });
                resolve({ cachedTokens, longestGap, firstToken, total: clock.wallNow() - arrivedAt });
            },
        });
    });
}

function noteUsage(result: SourceResult, request: RoutingRequest, usage: TrialUsage): void {
    const { profile } = request;
    const isGood = usage.firstToken <= profile.firstTokenLimitMilliseconds
        && usage.longestGap <= profile.betweenTokensLimitMilliseconds
        && usage.total <= profile.totalLimitMilliseconds;
    result.good += isGood ? 1 : 0;
    result.late += isGood ? 0 : 1;
    result.cachedTokens += usage.cachedTokens;
    result.promptTokens += request.promptTokens;
}

function createResult(): SourceResult {
    return { offered: 0, refused: 0, good: 0, late: 0, firstTokens: [], errors: [], cachedTokens: 0, promptTokens: 0 };
}

/** The value below which the fraction of the figures lies. */
export function percentileOf(figures: readonly number[], fraction: number): number {
    return percentile([...figures].sort((left, right) => left - right), fraction);
}

function accountOf(source: TrialSource): CallerAccount {
    return {
        kind: ItemKind.CallerAccount,
        partner: source.profile.partner,
        name: "measured",
        keyHash: "",
        services: [],
        requestsPerSecond: 1e9,
        concurrentRequests: 1e9,
    };
}

export { tokensPerBlock };
