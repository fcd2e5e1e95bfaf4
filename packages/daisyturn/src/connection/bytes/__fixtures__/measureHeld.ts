import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function countBytes(): number {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

/** Returns the bytes by which the memory of this process, without garbage, grows while a function runs. */
export function measureHeld(run: () => void): number {
    const before = countBytes();
    run();
    return countBytes() - before;
}
