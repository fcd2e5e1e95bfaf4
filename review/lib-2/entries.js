// Starts entry processes by the command of the deploy file.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../", import.meta.url));
const command = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1].split(" ");
const restartMilliseconds = 300;

/**
 * Starts one entry process. It is started again whenever it has ended, as by the platform.
 * @param settings fields of the settings file
 * @param onEvent called with the name of each end and start, and with the lines of its log that `isLogged` selects
 */
export function startEntry({ settings, onEvent, isLogged = () => false }) {
    const folder = mkdtempSync(join(tmpdir(), "daisyturn-review-"));
    const file = join(folder, "settings.conf");
    writeFileSync(file, Object.entries(settings).map(([name, value]) => `${name}=${value}\n`).join(""));
    let isClosing = false;
    let child;
    const launch = () => {
        const [program, ...words] = command;
        const { PATH, HOME, LANG = "C" } = process.env;
        child = spawn(program, words, {
            cwd: root,
            env: { PATH, HOME, LANG, DAISYTURN_BOOT: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        onEvent(`started ${settings.nodeName}`);
        let rest = "";
        const read = data => {
            const lines = (rest + String(data)).split("\n");
            rest = lines.pop();
            lines.filter(isLogged).forEach(line => onEvent(`${settings.nodeName} logs: ${line.slice(0, 300)}`));
        };
        child.stdout.on("data", read);
        child.stderr.on("data", read);
        child.once("exit", (code, signal) => {
            onEvent(`ended ${settings.nodeName} ${signal ?? code}`);
            if (!isClosing) {
                setTimeout(() => isClosing || launch(), restartMilliseconds);
            }
        });
    };
    launch();
    return {
        signal: name => child.kill(name),
        pid: () => child.pid,
        close: async () => {
            isClosing = true;
            if (child.exitCode === null && child.signalCode === null) {
                const ended = once(child, "exit");
                child.kill("SIGKILL");
                await ended;
            }
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** Returns the status of a probe; undefined if it is not answered. */
export function probe(host, port, path = "/api/ready") {
    return new Promise(resolve => {
        const outgoing = request({ host, port, path, agent: false, timeout: 500 }, incoming => {
            incoming.resume();
            resolve(incoming.statusCode);
        });
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.on("error", () => resolve(undefined));
        outgoing.end();
    });
}
