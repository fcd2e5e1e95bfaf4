import { spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";

const failureStatus = 1;

/**
 * Runs a program with node and ends all processes that it has left running. A failed test may leave processes behind,
 * and waiting for their end could take forever. Processes that the program starts share its process group.
 * @param {readonly string[]} args arguments for node
 * @param {number} limitMilliseconds time limit, after which all processes of the group are listed and ended
 * @returns {Promise<number>} exit status of the program; not 0 if a signal or the time limit ended it
 */
export async function runInGroup(args, limitMilliseconds) {
    const child = spawn(process.execPath, args, { stdio: "inherit", detached: true });
    const stop = () => killGroup(child.pid);
    process.once("SIGINT", stop).once("SIGTERM", stop);
    const timer = new AbortController();
    const status = await Promise.race([
        once(child, "exit").then(([code]) => code ?? failureStatus),
        delay(limitMilliseconds, undefined, { signal: timer.signal }).then(
            () => reportTimeout(child.pid, limitMilliseconds),
            () => failureStatus,
        ),
    ]);
    timer.abort();
    process.off("SIGINT", stop).off("SIGTERM", stop);
    killGroup(child.pid);
    return status;
}

function reportTimeout(group, limitMilliseconds) {
    const listed = spawnSync("ps", ["-A", "-o", "pgid=,pid=,ppid=,etimes=,args="], { encoding: "utf8" });
    const lines = (listed.stdout ?? "").split("\n").filter(line => Number.parseInt(line, 10) === group);
    const description = listed.error ? `could not be listed: ${listed.error.message}` : `\n${lines.join("\n")}`;
    process.stderr.write(
        `time limit of ${limitMilliseconds} ms exceeded, ending all processes; still running: ${description}\n`,
    );
    return failureStatus;
}

function killGroup(group) {
    try {
        process.kill(-group, "SIGKILL");
    }
    catch (error) {
        // The group has no processes any more.
        if (error.code !== "ESRCH") {
            throw error;
        }
    }
}
