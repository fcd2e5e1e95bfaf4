import { createSeededRandom, MemoryEventLog, SystemClock } from "daisyturn-utils";
import { createCallPlacement, createTargetViews, type ListedTarget } from "daisyturn/forwarding";

/**
 * Measures the processor time of placing one plain call, with and without the speeds of targets.
 * Run it with `node packages/daisyturn-standins/dist/measure/measurePlainPlacement.js`.
 */
const targetCounts = [3, 5, 30, 200];
const placements = 20_000;
const service = "plain";

function measure(count: number, relativeDuration: number | undefined): number {
    const clock = new SystemClock();
    const decode = (...[, text]: [string, string]) => JSON.parse(text) as ListedTarget;
    const views = createTargetViews(decode, clock, new MemoryEventLog());
    const listed = Array.from({ length: count }, (...[, index]): ListedTarget => ({
        targetId: `i-${index}`,
        name: `i-${index}`,
        service,
        address: `10.0.0.${index}:80`,
        availabilityZone: `zone-${index % 3}`,
        slots: 6,
        isLeaving: false,
        softwareVersion: "",
    }));
    views.targets.replace(listed.map(target => ({ key: target.name, version: 1, text: JSON.stringify(target) })));
    for (const target of listed) {
        const run = views.speeds.beginRun(target);
        const load = { running: 2, waiting: 0, slots: 6, relativeDuration };
        views.speeds.recordReport(target, load);
        views.loads.recordReport(target.targetId, load);
        run.end(true);
    }
    const random = createSeededRandom(1);
    const placement = createCallPlacement({ ...views, random, availabilityZone: "zone-0", switchedOff: new Set() });
    const placeAll = () => {
        for (let call = 0; call < placements; call++) {
            placement.placePlain(service, { avoid: new Set() });
        }
    };
    placeAll();
    const before = process.cpuUsage();
    placeAll();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / placements;
}

for (const count of targetCounts) {
    const [fill, speed] = [undefined, 1.2].map(figure => measure(count, figure).toFixed(1));
    console.log(`${count} targets: ${fill} us by calls over slots, ${speed} us by expected end`);
}
