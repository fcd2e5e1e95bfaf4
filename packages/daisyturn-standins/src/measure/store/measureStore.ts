import { measureGrouping } from "./measureGrouping.js";
import { measureOverhead } from "./measureOverhead.js";
import { measureRecovery } from "./measureRecovery.js";

// Measures access to the table service: `measureStore.js overhead | grouping | recovery`.
const measurements = new Map([
    ["overhead", measureOverhead],
    ["grouping", measureGrouping],
    ["recovery", measureRecovery],
]);

const measure = measurements.get(process.argv[2] ?? "");
if (measure) {
    await measure(line => process.stdout.write(`${line}\n`));
}
else {
    process.stderr.write(`usage: measureStore.js ${[...measurements.keys()].join(" | ")}\n`);
    process.exitCode = 1;
}
