import { FailureReason, FakeClock, mayHaveRun, MemoryEventLog } from "daisyturn-utils";
import { err, ok } from "true-myth/result";
import { EngineActivity, EngineOrders, OrderAnswer, type StageOrder } from "../../../../ports/engineOrders.js";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import { type Lease, type LeaseManager, LeaseState } from "../../../lease/index.js";
import { TargetEvidence } from "../../targets/createTargetHealth.js";
import { createTargetViews } from "../../views/createTargetViews.js";
import { changeStages } from "../changeStages.js";

/** Engines of one service, and how they and the lease behave. */
export interface SceneOptions {
    readonly readers: number;
    readonly decoders: number;
    readonly answer?: OrderAnswer;
    readonly isPlanner?: boolean | (() => boolean);
    readonly isStandby?: boolean;
    readonly mayOrder?: boolean;
    readonly leaseState?: LeaseState;
    /** Milliseconds that acquiring the lease takes; none if absent. */
    readonly acquiredAfter?: number;
    readonly isLeaseHeld?: () => boolean;
    /** Target id with which an engine answers a status read; the listed one if absent. */
    readonly startOf?: (targetId: string) => string;
    /** Whether an engine answers its status read of the given number, counted from 1; always if absent. */
    readonly isAnswering?: (targetId: string, read: number) => boolean;
}

const promptIntervalMilliseconds = 50;

/** Runs {@link changeStages} over a fake clock, and records its orders. */
export function createScene(options: SceneOptions) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const views = createTargetViews((targetId, text) => JSON.parse(text) as ListedTarget, clock, eventLog);
    const { targets, closed } = views;
    const reads = new Map<string, number>();
    const sent: (StageOrder & { readonly wasClosed: boolean; readonly at: number; })[] = [];
    const list = (targetId: string, stage: EngineStage, softwareVersion = "v1") =>
        targets.change([{
            key: targetId,
            version: 1,
            text: JSON.stringify({
                targetId,
                name: targetId,
                service: "engines",
                address: "10.0.0.1:80",
                availabilityZone: "z",
                slots: 8,
                isLeaving: false,
                softwareVersion,
                stage,
            }),
        }]);
    targets.replace([]);
    for (let index = 0; index < options.readers; index++) {
        list(`p${index}`, EngineStage.Prefill);
    }
    for (let index = 0; index < options.decoders; index++) {
        list(`d${index}`, EngineStage.Decode);
    }

    class RecordedOrders extends EngineOrders {
        override async readStatus(target: ListedTarget, deadline: number) {
            const read = (reads.get(target.targetId) ?? 0) + 1;
            reads.set(target.targetId, read);
            if (options.isAnswering?.(target.targetId, read) === false) {
                await clock.sleepUntil(deadline);
                return err(mayHaveRun(FailureReason.TargetFailed, "no answer")) as never;
            }
            const targetId = options.startOf?.(target.targetId) ?? target.targetId;
            return ok({ targetId, stage: target.stage, isBusy: false, orders: 3 }) as never;
        }

        override async checkActivity(): Promise<EngineActivity> {
            return EngineActivity.Working;
        }

        override async changeStage(order: StageOrder): Promise<OrderAnswer> {
            const { targetId } = order.target;
            sent.push({ ...order, wasClosed: closed.isClosed(targetId), at: clock.monotonicNow() });
            return options.answer ?? OrderAnswer.Accepted;
        }
    }

    const lease: Lease = {
        name: "stages",
        fencingNumber: 7,
        deadline: () => Infinity,
        isHeld: options.isLeaseHeld ?? (() => true),
        fencingRow: { key: "k", version: 1 },
    };
    let isRunning = false;
    let startedAt = 0;
    const leaseManager: LeaseManager = {
        current: () =>
            isRunning && clock.monotonicNow() - startedAt >= (options.acquiredAfter ?? 0) ? lease : undefined,
        run: async signal => {
            isRunning = true;
            startedAt = clock.monotonicNow();
            await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve()));
            isRunning = false;
        },
        onAcquired: () => undefined,
        onLost: () => undefined,
        beforeRelease: () => undefined,
        inspect: async () => options.leaseState ?? LeaseState.Other,
    };
    const stop = new AbortController();
    const done = changeStages({
        holder: "entry-1",
        listServices: () => ["engines"],
        kvTokens: () => 1_000,
        ...views,
        orders: new RecordedOrders(),
        leaseManager,
        isPlanner: () => typeof options.isPlanner === "function" ? options.isPlanner() : options.isPlanner ?? true,
        isStandby: () => options.isStandby ?? false,
        mayOrder: () => options.mayOrder ?? true,
        leaseMilliseconds: 3_000,
        closingMilliseconds: () => 300,
        clock,
        eventLog,
    }, stop.signal);
    const end = async () => {
        stop.abort();
        await clock.advance(20_000);
        await done;
    };
    /** Starts this many calls on each of the first decode engines. */
    const beginDecodeCalls = (engines: number, calls: number) => {
        for (let index = 0; index < engines * calls; index++) {
            views.loads.begin(`d${index % engines}`, { work: 0, isDeferred: false, tokens: 0 });
        }
    };
    /** Records prefill demand for this many engines over a period. */
    const demandPrefill = async (engines: number, milliseconds: number) => {
        for (let passed = 0; passed < milliseconds; passed += promptIntervalMilliseconds) {
            views.demand.record("engines", engines * promptIntervalMilliseconds);
            await clock.advance(promptIntervalMilliseconds);
        }
    };
    /** Records a failed call at each engine, as for a terminated engine. */
    const failCalls = (...targetIds: string[]) =>
        targetIds.forEach(targetId => views.health.record(targetId, TargetEvidence.Unreachable));
    const isLeaseRunning = () => isRunning;
    return {
        clock,
        eventLog,
        sent,
        reads,
        list,
        closed,
        health: views.health,
        end,
        beginDecodeCalls,
        demandPrefill,
        failCalls,
        isLeaseRunning,
    };
}
