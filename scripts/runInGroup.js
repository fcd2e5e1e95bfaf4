import { spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";

const limitStatus = 1;

/**
 * Runs a program and ends whatever it has left running: a test that fails may leave programs of its own behind, and one
 * that waits for their end would wait forever. Programs that it starts share its process group.
 * @param {readonly string[]} words arguments for node
 * @param {number} limitMilliseconds after which all of it is ended; what still ran by then is printed
 * @returns {Promise<number>} its exit status, not 0 if it did not end by itself
 */
export async function runInGroup(words, limitMilliseconds) {
    const program = spawn(process.execPath, words, { stdio: "inherit", detached: true });
    const stop = () => endGroup(program.pid);
    process.once("SIGINT", stop).once("SIGTERM", stop);
    const limit = new AbortController();
    const status = await Promise.race([
        once(program, "exit").then(([code]) => code ?? limitStatus),
        delay(limitMilliseconds, undefined, { signal: limit.signal }).then(
            () => reportLimit(program.pid, limitMilliseconds),
            () => limitStatus,
        ),
    ]);
    limit.abort();
    process.off("SIGINT", stop).off("SIGTERM", stop);
    endGroup(program.pid);
    return status;
}

function reportLimit(group, limitMilliseconds) {
    const listed = spawnSync("ps", ["-A", "-o", "pgid=,pid=,ppid=,etimes=,args="], { encoding: "utf8" });
    const lines = (listed.stdout ?? "").split("\n").filter(line => Number.parseInt(line, 10) === group);
    const reason = listed.error ? `could not be listed: ${listed.error.message}` : `\n${lines.join("\n")}`;
    process.stderr.write(`not ended after ${limitMilliseconds} ms, all of it is ended now; still running: ${reason}\n`);
    return limitStatus;
}

function endGroup(group) {
    try {
        process.kill(-group, "SIGKILL");
    }
    catch (error) {
        // Nothing of the group is left.
        if (error.code !== "ESRCH") {
            throw error;
        }
    }
}
