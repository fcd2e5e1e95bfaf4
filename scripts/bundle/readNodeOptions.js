import { readFileSync } from "node:fs";

/** Returns the options of Node.js with which deploy/system.toml runs the bundled entry process. */
export function readNodeOptions() {
    const text = readFileSync(new URL("../../deploy/system.toml", import.meta.url), "utf8");
    const run = /^run = "node (.*) target\/daisyturn\.cjs"$/m.exec(text);
    if (!run) {
        throw new Error("deploy/system.toml has no line that runs target/daisyturn.cjs");
    }
    return run[1].split(" ");
}
