import { createSeededRandom, MemoryEventLog } from "daisyturn-utils";
import {
    createTargetViews,
    DutyAnswer,
    EngineStage,
    type ListedTarget,
    measureWork,
    orderEngines,
} from "daisyturn/forwarding";
import { VirtualClock } from "./policy/virtualClock.js";
import { countUpTo } from "./requestMix.js";
import { formatSummary, summarise } from "./summarise.js";

/**
 * Measures the processor time of a decision about the number of engines, which the holder of the fleet's duties makes four
 * times a second: 200 engines in three zones, each with 60 shared parts in its cache, and 30, 100 and 300 processes that
 * report their work at all engines. Run it with `node packages/daisyturn-standins/dist/measure/measureEngineOrders.js`.
 */
const processCounts = [30, 100, 300];
const engineCount = 200;
const zones = ["a", "b", "c"];
const partsPerEngine = 60;
const warmUpDecisions = 400;
const runs = 10;
const decisionsPerRun = 200;
const tickMilliseconds = 250;
const reportMilliseconds = 5_000;
const kvTokens = 200_000;
const seed = 1;

function createEngine(index: number): ListedTarget {
    return {
        targetId: `engine-${index}`,
        name: `engine-${index}`,
        service: "s",
        address: `10.0.0.${index}:80`,
        availabilityZone: zones[index % zones.length]!,
        slots: 16,
        isLeaving: false,
        softwareVersion: "",
        stage: index % 2 === 0 ? EngineStage.Prefill : EngineStage.Decode,
        isReclaimable: index % 5 > 0,
    };
}

/** @returns microseconds of processor time for a decision, by run */
async function measure(processes: number): Promise<readonly number[]> {
    const clock = new VirtualClock();
    const eventLog = new MemoryEventLog();
    const random = createSeededRandom(seed);
    const views = createTargetViews((...[, text]) => JSON.parse(text) as ListedTarget, clock, eventLog);
    const engines = countUpTo(engineCount).map(createEngine);
    views.targets.replace(engines.map(engine => ({ key: engine.name, version: 1, text: JSON.stringify(engine) })));
    const { targets } = views;
    const scaling = {
        minEngines: 1,
        maxEngines: 100,
        bootMilliseconds: 4_000,
        zonePrices: new Map([["a", 0.85], ["b", 1.2], ["c", 1]]),
        reclaimablePrice: 0.22,
    };
    const stop = new AbortController();
    const ordering = orderEngines({
        listServices: () => [{ name: "s", scaling }],
        listEngines: targets.list,
        measureWork: service => measureWork(service, targets.list(service), kvTokens, views),
        countProcesses: () => new Map(zones.map(zone => [zone, processes / zones.length])),
        calls: {
            order: async () => DutyAnswer.Throttled,
            current: () => ({
                name: "duties",
                fencingNumber: 1,
                deadline: () => Infinity,
                isHeld: () => true,
                fencingRow: { key: "k", version: 1 },
            }),
        },
        mayOrder: () => true,
        clock,
        eventLog,
    });
    void ordering.run(stop.signal);

    const report = () => {
        for (let peer = 0; peer < processes; peer++) {
            const work = engines.map(({ targetId }) => ({
                targetId,
                calls: random.fraction() * 900 / processes,
                work: 1,
                deferredWork: 0,
                tokens: 100,
            }));
            views.loads.recordPeer(`p${peer}`, work.slice(peer % 2), reportMilliseconds);
            views.leastDemand.recordPeer(`p${peer}`, [["s", 40_000 / processes]], reportMilliseconds);
        }
        for (const { targetId } of engines) {
            countUpTo(partsPerEngine).forEach(part => views.caches.recordRemote(targetId, `part-${part}`, 1_000));
        }
    };
    const decide = async (decisions: number) => {
        let used = 0;
        for (let decision = 0; decision < decisions; decision++) {
            if (decision % (reportMilliseconds / tickMilliseconds) === 0) {
                report();
            }
            const start = process.cpuUsage();
            await clock.runUntil(clock.monotonicNow() + tickMilliseconds);
            const { user, system } = process.cpuUsage(start);
            used += user + system;
        }
        return used / decisions;
    };
    await decide(warmUpDecisions);
    const figures: number[] = [];
    for (let run = 0; run < runs; run++) {
        figures.push(await decide(decisionsPerRun));
    }
    stop.abort();
    return figures;
}

for (const processes of processCounts) {
    const figures = formatSummary(summarise(await measure(processes)));
    console.log(`${processes} processes, ${engineCount} engines: ${figures} us a decision, ${runs} runs`);
}
