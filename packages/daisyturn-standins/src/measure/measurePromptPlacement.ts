import { createSeededRandom, FakeClock, hashText, MemoryEventLog, type Random } from "daisyturn-utils";
import {
    type CallPlacement,
    createCallPlacement,
    createTargetViews,
    EngineStage,
    type ForwardService,
    type ListedTarget,
    type PromptPlacement,
    type TargetViews,
} from "daisyturn/forwarding";
import { summarise } from "./summarise.js";

/**
 * Measures the processor time that a coordinator needs to place a prompt, with the reports of its members and of two
 * other groups, and prints a digest of all placements, which shows whether a change of the code changed a decision.
 * Run it with `node packages/daisyturn-standins/dist/measure/measurePromptPlacement.js`.
 */
const fleets = [
    { members: 2, engines: 20 },
    { members: 29, engines: 98 },
    { members: 65, engines: 200 },
];
const zones = 3;
const groups = 2;
const runs = 5;
const placementsPerRun = 600;
const placementsPerReport = 6;
const millisecondsPerPlacement = 5;
const prefixes = 30;
const digestCharacters = 12;
const service: ForwardService = {
    name: "engines",
    engine: { kvTokens: 385_000, bytesPerToken: 163_840, linkMegabits: 1_300_000, tokensPerEvent: 9 },
};

/** Reads the system's clock as well, because a process does so for each time that a placement needs. */
class ReadClock extends FakeClock {
    override monotonicNow(): number {
        performance.now();
        return super.monotonicNow();
    }
}

function createEngines(count: number): ListedTarget[] {
    return [...Array(count).keys()].map(index => ({
        targetId: `engine-${index}`,
        name: `engine-${index}`,
        service: service.name,
        address: `10.0.0.${index}:80`,
        availabilityZone: `zone-${index % zones}`,
        slots: 24,
        isLeaving: false,
        softwareVersion: "v1",
        stage: index % zones === 0 ? EngineStage.Prefill : EngineStage.Decode,
    }));
}

/** Places one prompt, sometimes with the reports of another process first, as a coordinator does. */
function placeNext(placement: CallPlacement, views: TargetViews, random: Random, index: number): string {
    const prefix = random.integerBelow(prefixes);
    const isLong = random.fraction() < 0.5;
    const parts = isLong
        ? [{ partId: `prefix-${prefix}`, tokens: 6_000 }, { partId: `own-${index}`, tokens: 2_000 }]
        : [{ partId: `own-${index}`, tokens: 380 }];
    const placed = placement.placePrompt({
        service,
        prompt: {
            model: "m",
            promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
            maxOutputTokens: 200,
            expectedOutputTokens: 60,
            parts,
        },
        bodyBytes: 4_000,
        avoid: new Set(),
        isWholeOnly: false,
        aim: 400,
        pauseAim: 120,
        mayDefer: true,
        availabilityZone: `zone-${index % zones}`,
    });
    if (!placed) {
        return "none";
    }
    const { prefill, decode } = placed;
    const kvTokens = service.engine?.kvTokens ?? 0;
    [prefill, decode].forEach(step => step && views.caches.record(step.target.targetId, parts, kvTokens));
    return describePlacement(placed);
}

function describePlacement({ prefill, decode, firstEvent, isDeferred }: PromptPlacement): string {
    return JSON.stringify([
        prefill?.target.targetId,
        prefill?.fetchFrom?.targetId,
        decode.target.targetId,
        decode.fetchFrom?.targetId,
        firstEvent,
        isDeferred,
    ]);
}

function drawWork(random: Random, engines: readonly ListedTarget[]) {
    return engines.filter(() => random.fraction() < 0.3).map(({ targetId }) => ({
        targetId,
        calls: 1 + random.integerBelow(3),
        work: random.integerBelow(60),
        deferredWork: random.integerBelow(20),
        tokens: random.integerBelow(20_000),
    }));
}

async function measureFleet({ members, engines: count }: (typeof fleets)[number]): Promise<string> {
    const clock = new ReadClock();
    const views = createTargetViews(
        (...[, text]) => JSON.parse(text) as ListedTarget,
        clock,
        new MemoryEventLog(),
    );
    const engines = createEngines(count);
    views.targets.replace(
        engines.map(engine => ({ key: engine.targetId, text: JSON.stringify(engine), version: 1 })),
    );
    const random = createSeededRandom(1);
    const placement = createCallPlacement({
        ...views,
        random: createSeededRandom(2),
        availabilityZone: "zone-0",
        switchedOff: new Set(),
    });
    const decisions: string[] = [];
    const times: number[] = [];
    for (let run = 0; run <= runs; run++) {
        let microseconds = 0;
        for (let index = 0; index < placementsPerRun; index++) {
            if (index % placementsPerReport === 0) {
                const sender = random.integerBelow(members + groups);
                const work = drawWork(random, engines);
                if (sender < members) {
                    views.loads.recordPeer(`member-${sender}`, work, 1_000);
                }
                else {
                    views.loads.recordGroup(`group-${sender}`, work, 1_000);
                }
                await clock.advance(millisecondsPerPlacement * placementsPerReport);
            }
            const before = process.cpuUsage();
            decisions.push(placeNext(placement, views, random, run * placementsPerRun + index));
            const { user, system } = process.cpuUsage(before);
            microseconds += user + system;
        }
        times.push(microseconds / placementsPerRun);
    }
    const [first = NaN, ...later] = times;
    const { median } = summarise(later);
    return `members=${members} engines=${count} first_us=${first.toFixed(0)} median_us=${median.toFixed(0)}`
        + ` digest=${hashText(decisions.join("\n")).slice(0, digestCharacters)}`;
}

for (const fleet of fleets) {
    process.stdout.write(`${await measureFleet(fleet)}\n`);
}
