import { createSeededRandom, MemoryEventLog, type Random } from "daisyturn-utils";
import type { ListedTarget } from "../../../../ports/listedTarget.js";
import { createTargetLoads } from "../../views/createTargetLoads.js";
import { createPlainSpeedCost } from "../createPlainSpeedCost.js";
import { createTargetSpeeds } from "../createTargetSpeeds.js";
import { createPlainTarget } from "./speedBench.js";

export enum Policy {
    LeastCalls = "least calls",
    TwoChoices = "two choices",
    Speeds = "speeds",
    SingleQueue = "single queue",
}

/** Targets, load and knowledge of one run. */
export interface DrawnFleet {
    /** Time that work takes at each target relative to the mean. */
    readonly factors: readonly number[];
    /** The same for a time: the factor at a target at a millisecond of the run. */
    readonly changes?: (target: number, time: number) => number;
    readonly hasFigures: boolean;
    readonly deciders: number;
    /** Calls under way relative to the slots, with the mean speeds. */
    readonly load: number;
    readonly seconds: number;
    readonly meanWork?: number;
    /** Interval at which all deciders receive the reports of all targets, which are that old; undefined if they receive none. */
    readonly shareMilliseconds?: number;
}

/** Results of one run. */
export interface FleetResult {
    readonly onTime: number;
    readonly p99: number;
    /** Calls that waited, and that ran or waited, at each target, in the mean of each second of the run. */
    readonly waiting: readonly (readonly number[])[];
    readonly calls: readonly (readonly number[])[];
    readonly sent: readonly number[];
}

const slots = 6;
const maxWaitingCalls = 24;
const aimMilliseconds = 338;
const sampleMilliseconds = 10;

interface Waiting {
    readonly arrivedAt: number;
    readonly work: number;
    readonly onEnd: (target: number) => void;
}

/** Plays random calls against targets with slots and a queue, without a network and without waiting. */
export function playFleet(fleet: DrawnFleet, policy: Policy, seed: number): FleetResult {
    const random = createSeededRandom(seed);
    const { factors, changes = () => 1, meanWork = 65 } = fleet;
    const targets = factors.map((...[, index]) => createPlainTarget(`t-${index}`));
    let now = 0;
    const clock = { monotonicNow: () => now };
    const events: { readonly time: number; readonly run: () => void; }[] = [];
    const schedule = (time: number, run: () => void) => {
        const index = events.findLastIndex(event => event.time >= time);
        events.splice(index + 1, 0, { time, run });
    };
    const running = targets.map(() => 0);
    const queues: Waiting[][] = targets.map(() => []);
    const shared: Waiting[] = [];
    const latencies: number[] = [];
    const waiting = Array.from({ length: fleet.seconds }, () => targets.map(() => 0));
    const calls = Array.from({ length: fleet.seconds }, () => targets.map(() => 0));
    const sent = targets.map(() => 0);
    const end = fleet.seconds * 1_000;

    const factorAt = (target: number) => factors[target]! * changes(target, now);
    const loadOf = (target: number) => ({
        running: running[target]!,
        waiting: queues[target]!.length,
        slots,
        ...(fleet.hasFigures && { relativeDuration: Math.round(changes(target, now) * 100) / 100 }),
    });
    const start = (target: number, call: Waiting) => {
        running[target]! += 1;
        schedule(now + call.work * factorAt(target), () => {
            latencies.push(now - call.arrivedAt);
            call.onEnd(target);
            running[target]! -= 1;
            const next = policy === Policy.SingleQueue ? shared.shift() : queues[target]!.shift();
            if (next) {
                start(target, next);
            }
        });
    };
    const accept = (target: number, call: Waiting) => {
        sent[target]! += 1;
        if (running[target]! < slots) {
            start(target, call);
        }
        else if (queues[target]!.length < maxWaitingCalls) {
            queues[target]!.push(call);
        }
        else {
            latencies.push(Infinity);
            call.onEnd(target);
        }
    };
    const deciders = Array.from({ length: fleet.deciders }, () => createDecider(policy, targets, clock, random));

    const arrive = () => {
        const work = drawWork(random, meanWork);
        if (policy === Policy.SingleQueue) {
            const free = targets.map((...[, index]) => index).filter(index => running[index]! < slots);
            const call = { arrivedAt: now, work, onEnd: () => undefined };
            const [fastest] = free.sort((left, right) => factorAt(left) - factorAt(right));
            if (fastest === undefined) {
                shared.push(call);
            }
            else {
                start(fastest, call);
            }
        }
        else {
            const decider = deciders[random.integerBelow(deciders.length)]!;
            const chosen = decider.choose();
            const finish = decider.begin(chosen);
            accept(chosen, { arrivedAt: now, work, onEnd: target => finish(loadOf(target)) });
        }
    };
    const capacity = factors.reduce((sum, factor) => sum + slots / factor, 0) / meanWork;
    const interval = 1 / (capacity * fleet.load);
    const arriveNext = () => {
        arrive();
        schedule(now - Math.log(1 - random.fraction()) * interval, arriveNext);
    };
    schedule(0, arriveNext);
    const { shareMilliseconds } = fleet;
    if (shareMilliseconds !== undefined && policy !== Policy.SingleQueue) {
        const share = () => {
            const loads = targets.map((...[, index]) => loadOf(index));
            schedule(now + shareMilliseconds, () => {
                deciders.forEach(decider =>
                    loads.forEach((load, index) => decider.tell(index, load, shareMilliseconds))
                );
                share();
            });
        };
        share();
    }
    for (let sample = 0; sample < end; sample += sampleMilliseconds) {
        const second = Math.floor(sample / 1_000);
        const weight = sampleMilliseconds / 1_000;
        schedule(sample, () =>
            queues.forEach((queue, index) => {
                waiting[second]![index]! += queue.length * weight;
                calls[second]![index]! += (queue.length + running[index]!) * weight;
            }));
    }
    for (let event = events.pop(); event && event.time < end; event = events.pop()) {
        now = event.time;
        event.run();
    }
    latencies.sort((left, right) => left - right);
    return {
        onTime: latencies.filter(latency => latency <= aimMilliseconds).length / latencies.length,
        p99: latencies[Math.floor(latencies.length * 0.99)] ?? 0,
        waiting,
        calls,
        sent,
    };
}

/** Draws milliseconds of work from a log-normal distribution whose deviation is half its mean. */
function drawWork(random: Random, mean: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
    const variance = Math.log(1.25);
    return mean * Math.exp(normal * Math.sqrt(variance) - variance / 2);
}

type Load = Parameters<ReturnType<typeof createTargetSpeeds>["recordReport"]>[1];

function createDecider(
    policy: Policy,
    targets: readonly ListedTarget[],
    clock: { monotonicNow(): number; },
    random: Random,
) {
    const loads = createTargetLoads(clock as Parameters<typeof createTargetLoads>[0]);
    const speeds = createTargetSpeeds({ list: () => targets, find: () => undefined }, clock, new MemoryEventLog());
    const speedCost = createPlainSpeedCost({ speeds, random, extra: () => 0 });
    const fillCost = ({ targetId }: ListedTarget) => loads.calls(targetId) * (1 + 0.15 * (random.fraction() - 0.5));
    const leastOf = (indexes: readonly number[], cost: (target: ListedTarget) => number) =>
        indexes.map(index => ({ index, cost: cost(targets[index]!) }))
            .reduce((best, found) => found.cost < best.cost ? found : best).index;
    const all = targets.map((...[, index]) => index);
    return {
        choose: () => {
            if (policy === Policy.TwoChoices) {
                return leastOf([random.integerBelow(all.length), random.integerBelow(all.length)], fillCost);
            }
            // Equal costs are common where little is known, and the first target must not get all of these calls.
            const isBySpeed = policy === Policy.Speeds && speeds.isUsed("plain");
            return leastOf(all, isBySpeed ? speedCost : target => fillCost(target) + random.fraction() * 0.01);
        },
        begin: (index: number) => {
            const target = targets[index]!;
            const run = speeds.beginRun(target);
            const work = loads.begin(target.targetId, { work: 0, isDeferred: false, tokens: 0 });
            return (load: Load) => {
                loads.recordReport(target.targetId, load);
                speeds.recordReport(target, load);
                run.end(true);
                work.end();
            };
        },
        tell: (index: number, load: Load, age: number) => {
            loads.recordReport(targets[index]!.targetId, load);
            speeds.applyReport(targets[index]!, {
                figure: load.relativeDuration,
                calls: load.running + load.waiting,
                age,
            });
        },
    };
}
