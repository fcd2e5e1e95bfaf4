import { createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import { DutyAnswer, type EngineOrder } from "../../../../ports/duties/fleetDuties.js";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import type { EngineScaling } from "../../../../version/forwarding/forwardingConfiguration.js";
import { createRecentPeak } from "../../stages/createRecentPeak.js";
import { planStage } from "../../stages/planStage.js";
import { prefillDemandDecayMilliseconds } from "../../views/createPrefillDemand.js";
import type { StageWork } from "../forecastNeeds.js";
import { orderEngines } from "../orderEngines.js";

export const zones = ["a", "b", "c"] as const;

export const scaling: EngineScaling = {
    minEngines: 1,
    maxEngines: 42,
    bootMilliseconds: 4_000,
    zonePrices: new Map([["a", 0.85], ["b", 1.2], ["c", 1]]),
    reclaimablePrice: 0.22,
};

/** How the platform, the demand and the lease of a scene behave; `at` is in milliseconds from the start. */
export interface FleetSceneOptions {
    readonly enginesPerZone?: number;
    readonly work?: (at: number) => StageWork | undefined;
    /** Answer to an order for more engines, and whether it is carried out; accepted if absent. */
    readonly answer?: (order: EngineOrder, at: number) => DutyAnswer | undefined;
    readonly isCarriedOut?: (order: EngineOrder, at: number) => boolean;
    readonly seed?: number;
    /** Stage of new engines; they alternate if absent. */
    readonly newStage?: EngineStage;
    /** Whether {@link planStage} changes the stages. */
    readonly hasStagePlan?: boolean;
}

interface SceneEngine extends ListedTarget {
    stage: EngineStage;
    isLeaving: boolean;
    leavesInMilliseconds?: number;
    servesAt: number;
    endsAt: number;
}

const tickMilliseconds = 250;
const drainMilliseconds = 3_500;
const noticeMilliseconds = 2_500;
/** As in `changeStages`: how long a change is needed until it is ordered, and the window of the peak fill. */
const stageNeedMilliseconds = 1_500;
const peakWindowMilliseconds = 15_000;
const stageMilliseconds = 3_000;

export type FleetScene = ReturnType<typeof createFleetScene>;

/** Runs {@link orderEngines} over a fake clock, with a list of engines that follows the orders. */
export function createFleetScene(options: FleetSceneOptions) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const random = createSeededRandom(options.seed ?? 1);
    const orders: (EngineOrder & { readonly at: number; })[] = [];
    let engines: SceneEngine[] = [];
    let fencingNumber = 1;
    let isHeld = true;
    let started = 0;
    let smoothedPrefill = 0;
    let hasBegun = false;
    let isUnlisted: (engine: ListedTarget) => boolean = () => false;
    let stageNeed: { readonly stage: EngineStage; readonly since: number; } | undefined;
    const now = () => clock.monotonicNow();

    const add = (availabilityZone: string, isReclaimable: boolean, servesAt = now()) => {
        const name = `e${started++}`;
        engines.push({
            targetId: name,
            name,
            service: "s",
            address: "10.0.0.1:80",
            availabilityZone,
            slots: 16,
            isLeaving: false,
            softwareVersion: "",
            stage: hasBegun && options.newStage
                ? options.newStage
                : started % 2 === 0
                ? EngineStage.Prefill
                : EngineStage.Decode,
            isReclaimable,
            servesAt,
            endsAt: Infinity,
        });
    };
    const listOpen = () => engines.filter(({ isLeaving, servesAt }) => !isLeaving && servesAt <= now());
    const ofKind = ({ availabilityZone, isReclaimable }: Pick<EngineOrder, "availabilityZone" | "isReclaimable">) =>
        engines.filter(engine =>
            !engine.isLeaving && engine.availabilityZone === availabilityZone && engine.isReclaimable === isReclaimable
        );
    const carryOut = (order: EngineOrder) => {
        const present = ofKind(order);
        for (let missing = order.desired - present.length; missing > 0; missing--) {
            add(order.availabilityZone, order.isReclaimable, now() + scaling.bootMilliseconds);
        }
        for (let surplus = present.length - order.desired; surplus > 0; surplus--) {
            const [engine] = present.splice(random.integerBelow(present.length), 1);
            Object.assign(engine!, { isLeaving: true, endsAt: now() + drainMilliseconds });
        }
    };
    /** Takes all reclaimable engines of a zone away, with notice. */
    const reclaim = (availabilityZone: string) =>
        ofKind({ availabilityZone, isReclaimable: true }).forEach(engine =>
            Object.assign(engine, {
                isLeaving: true,
                leavesInMilliseconds: noticeMilliseconds,
                endsAt: now() + noticeMilliseconds,
            })
        );
    zones.forEach(zone => [...Array(options.enginesPerZone ?? 21).keys()].forEach(() => add(zone, false)));

    hasBegun = true;
    const peak = createRecentPeak(clock, peakWindowMilliseconds);
    const countStage = (stage: EngineStage) => listOpen().filter(engine => engine.stage === stage).length;

    /** Changes one engine at a time, once a change was needed for long enough. */
    const changeStage = () => {
        const [readers, decoders] = [countStage(EngineStage.Prefill), countStage(EngineStage.Decode)];
        const decodingFill = (options.work?.(now())?.decode ?? 0) / Math.max(1, decoders);
        peak.record(decodingFill);
        const view = { readers, decoders, demand: smoothedPrefill, decodingFill, peakFill: peak.max() };
        const stage = planStage(view);
        if (!stage) {
            stageNeed = undefined;
            return;
        }
        stageNeed = stageNeed?.stage === stage ? stageNeed : { stage, since: now() };
        const engine = listOpen().find(candidate => candidate.stage !== stage);
        if (engine && now() - stageNeed.since >= stageNeedMilliseconds) {
            Object.assign(engine, { stage, servesAt: now() + stageMilliseconds });
            stageNeed = undefined;
        }
    };

    const ordering = orderEngines({
        listServices: () => [{ name: "s", scaling }],
        listEngines: () => engines.filter(engine => engine.servesAt <= now() && !isUnlisted(engine)),
        measureWork: () => {
            const work = options.work?.(now());
            return work && { prefill: smoothedPrefill, firstReads: 0, decode: work.decode, countCacheEngines: () => 0 };
        },
        countProcesses: () => new Map(zones.map(zone => [zone, 20])),
        calls: {
            order: async order => {
                orders.push({ ...order, at: now() });
                const answer = options.answer ? options.answer(order, now()) : DutyAnswer.Accepted;
                if (options.isCarriedOut?.(order, now()) ?? answer === DutyAnswer.Accepted) {
                    carryOut(order);
                }
                return answer;
            },
            current: () =>
                isHeld
                    ? {
                        name: "duties",
                        fencingNumber,
                        deadline: () => Infinity,
                        isHeld: () => isHeld,
                        fencingRow: { key: "k", version: 1 },
                    }
                    : undefined,
        },
        mayOrder: () => true,
        clock,
        eventLog,
    });
    const stop = new AbortController();
    const done = ordering.run(stop.signal);

    /** Lets time pass, and calls the listener after each quarter of a second with the engines that serve. */
    const pass = async (milliseconds: number, listener?: (serving: number, paid: number) => void) => {
        for (let passed = 0; passed < milliseconds; passed += tickMilliseconds) {
            const prefill = options.work?.(now())?.prefill ?? 0;
            smoothedPrefill += (prefill - smoothedPrefill)
                * (1 - Math.exp(-tickMilliseconds / prefillDemandDecayMilliseconds));
            await clock.advance(tickMilliseconds);
            engines = engines.filter(({ endsAt }) => endsAt > now());
            if (options.hasStagePlan) {
                changeStage();
            }
            listener?.(listOpen().length, engines.length);
        }
    };
    const end = async () => {
        stop.abort();
        await pass(tickMilliseconds);
        await done;
    };
    return {
        clock,
        eventLog,
        orders,
        listOpen,
        countKind: (availabilityZone: string, isReclaimable: boolean) =>
            ofKind({ availabilityZone, isReclaimable }).length,
        reclaim,
        countStage,
        carryOut,
        pass,
        end,
        list: ordering.list,
        setHeld: (value: boolean) => {
            isHeld = value;
        },
        /** Sets which engines the list lacks, although they are there. */
        setUnlisted: (lacks: (engine: ListedTarget) => boolean) => {
            isUnlisted = lacks;
        },
        /** Lets this process acquire the lease again, after another holder or none. */
        renewLease: (hadOtherHolder: boolean) => {
            fencingNumber += hadOtherHolder ? 2 : 1;
        },
    };
}
