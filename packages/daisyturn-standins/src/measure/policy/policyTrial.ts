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

/** A source of requests with Poisson arrivals. */
export interface TrialSource {
    readonly profile: Profile;
    readonly requestsPerSecond: number;
    readonly mix: PromptMix;
    /** Mean output tokens; lengths are distributed uniformly from 0.5 to 1.5 times this value. */
    readonly outputTokens: number;
    /** Indices of the processes that receive its requests; all processes if absent. */
    readonly processes?: readonly number[];
    /** Start and end of its arrivals, in seconds of the trial; the whole trial if absent. */
    readonly activeSeconds?: readonly [number, number];
}

/** Parameters of a trial. */
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
    /** Schedules changes to the engines during the trial, such as slowdowns. */
    readonly scheduleEngineChanges?: (engines: readonly SteppedEngine[], clock: VirtualClock) => void;
}

/** Results of one source. */
export interface SourceResult {
    offered: number;
    refused: number;
    /** Requests that completed within all limits of the profile. */
    good: number;
    late: number;
    readonly firstTokens: number[];
    /** Actual time of first tokens minus the time that the router expected at placement, in milliseconds. */
    readonly errors: number[];
    cachedTokens: number;
    promptTokens: number;
}

/** Results of a trial. */
export interface TrialResult {
    readonly sources: readonly SourceResult[];
    /** Fraction of the engines' time spent on steps. */
    readonly busy: number;
    readonly prefilledTokens: number;
    /** Bytes per second that one process sends to its peers, as JSON. */
    readonly exchangeBytesPerSecond: number;
    readonly unfinished: number;
}

const tokensPerBlock = 64;
const millisecondsPerSecond = 1_000;
/** Time after the last arrivals in which open requests can end. */
const drainMilliseconds = 15_000;
/** Time before the first arrivals in which engines report and processes exchange their loads. */
const settleMilliseconds = 1_000;

/** Runs requests through admission (if used) and routing of several processes over stepped engines, in virtual time. */
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
    options.scheduleEngineChanges?.(engines, clock);

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
            ? await process.admission.admitModelRequest(createAccount(source), request, stopper.signal)
            : undefined;
        const placed = ticket?.isErr ? undefined : process.router.place(request);
        if (placed?.isOk !== true) {
            result.refused += 1;
            openRequests -= 1;
            return;
        }
        const usage = await submit(engines, placed.value, request, outputTokens, clock, result);
        openRequests -= 1;
        recordUsage(result, request, usage);
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

function recordUsage(result: SourceResult, request: RoutingRequest, usage: TrialUsage): void {
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

/** Returns a percentile (nearest rank) of unsorted values; `fraction` is between 0 and 1. */
export function percentileOf(figures: readonly number[], fraction: number): number {
    return percentile([...figures].sort((left, right) => left - right), fraction);
}

function createAccount(source: TrialSource): CallerAccount {
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
