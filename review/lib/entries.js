// Starts the project's entry processes with the command of the deploy file, as the platform does.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../", import.meta.url));
const restartDelayMilliseconds = 500;

/** Settings as on a machine of the site nyamata-valuations. */
const siteSettings = {
    role: "entry",
    machineClass: "front",
    serves: "front",
    region: "kigali",
    bootstrap: "true",
    lossCounts: "false",
    "limits.cpuShare": "0.675",
    "limits.cores": "1",
    "limits.memoryMb": "350",
    "limits.maxFds": "4100",
    "limits.linkMbps": "1000.0",
    "limits.diskMb": "0",
    discovery: "platform",
    entryMode: "virtual_ip",
    heartbeatMs: "1200",
    contracts: "base,drain,config,cost,retry,recover,split,stream,engine,platform",
    "faultTolerance.machines": "1",
    "contractParams.seedLagS": "3",
    "contractParams.addrReuseS": "2",
    "contractParams.contactMs": "3000",
    "contractParams.ackMs": "4000",
    "contractParams.catchUpS": "4",
    "contractParams.drainMs": "2000",
    "contractParams.graceS": "8",
    "contractParams.lossSlackMs": "200",
    "contractParams.configApplyMs": "2000",
    "contractParams.rollbackSlackMs": "250",
    "contractParams.maxStretchMs": "5000",
    "contractParams.budgetRatio": "0.2",
    "contractParams.budgetWindowS": "10",
    "contractParams.budgetSlack": "56",
    "contractParams.recoveryS": "12",
    "contractParams.transitMs": "120",
    "contractParams.retryAfterS": "9.3",
    "contractParams.requireFence": "true",
    "contractParams.leaseMs": "3000",
    "contractParams.thawSlackMs": "300",
    "platform.form": "table",
    "platform.writesPerS": "400",
    "platform.readsPerS": "2000",
    "platform.txMs": "3.0",
    "platform.partitionWritesS": "300",
    "platform.rowBytes": "65536",
    "platform.across": "true",
    "platform.retentionS": "20",
};

/** Loopback addresses, one for each machine. */
export const createHosts = () => {
    const group = 1 + process.pid % 250;
    let last = 1;
    return () => `127.${group}.${1 + Math.floor(Math.random() * 250)}.${++last}`;
};

export async function findFreePort(host) {
    const server = createServer();
    server.listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

const readCommand = () => {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
};

/**
 * Starts entry processes and restarts each one that has ended, as the platform does.
 * @param options.zones zone of each process
 */
export async function startEntries({ hosts, storeAddresses, zones, settings = {}, record }) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const [command, ...args] = readCommand();
    const first = hosts();
    const ports = {
        front: await findFreePort(first),
        ready: await findFreePort(first),
        control: await findFreePort(first),
        internal: await findFreePort(first),
    };
    let isClosing = false;

    const startOne = (zone, index) => {
        const host = index === 0 ? first : hosts();
        const name = `front-${zone}-${index + 1}`;
        const file = join(folder, `${name}.conf`);
        const lines = {
            nodeName: name,
            zone,
            ip: host,
            [`zones.${zone}`]: "kigali",
            "listenAddrs.front": `${host}:${ports.front}`,
            "listenAddrs.ready": `${host}:${ports.ready}`,
            "listenAddrs.control": `${host}:${ports.control}`,
            internalPorts: `${ports.internal},${ports.internal}`,
            "platform.address": storeAddresses[index % storeAddresses.length],
            ...siteSettings,
            ...settings,
        };
        writeFileSync(file, Object.entries(lines).map(([key, value]) => `${key}=${value}\n`).join(""));
        const entry = { name, host, port: ports.front, readyPort: ports.ready, ends: [], child: undefined, log: "" };
        let expected = false;
        const launch = () => {
            expected = false;
            const { PATH, HOME, LANG } = process.env;
            const child = spawn(command === "node" ? process.execPath : command, args, {
                cwd: root,
                env: { PATH, HOME, LANG, DAISYTURN_BOOT: file },
                stdio: ["ignore", "pipe", "pipe"],
            });
            entry.child = child;
            const keep = data => {
                entry.log = (entry.log + data).slice(-200_000);
            };
            child.stdout.on("data", keep);
            child.stderr.on("data", keep);
            child.once("exit", (code, signal) => {
                entry.ends.push({ code, signal, expected });
                if (!isClosing) {
                    record(`process ${name} ended: code ${code}, signal ${signal}${expected ? "" : ", by itself"}`);
                    setTimeout(() => isClosing || launch(), restartDelayMilliseconds).unref();
                }
            });
        };
        launch();
        entry.signal = name => {
            expected ||= name === "SIGKILL" || name === "SIGTERM";
            record(`signal ${name} to ${entry.name}`);
            entry.child.kill(name);
        };
        entry.isReady = () => isReady(host, ports.ready);
        return entry;
    };

    const entries = zones.map(startOne);
    return {
        entries,
        untilReady: async () => {
            const deadline = performance.now() + 20_000;
            for (const entry of entries) {
                while (!await entry.isReady()) {
                    if (performance.now() > deadline) {
                        throw new Error(`${entry.name} did not become ready: ${entry.log.slice(-2_000)}`);
                    }
                    await sleep(50);
                }
            }
        },
        close: async () => {
            isClosing = true;
            await Promise.all(entries.map(async ({ child }) => {
                if (child.exitCode === null && child.signalCode === null) {
                    const ended = once(child, "exit");
                    child.kill("SIGKILL");
                    await ended;
                }
            }));
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

function isReady(host, port) {
    return new Promise(resolve => {
        const outgoing = request({ host, port, path: "/api/ready", agent: false, timeout: 500 });
        outgoing.on("response", incoming => {
            incoming.resume();
            resolve(incoming.statusCode === 200);
        });
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.on("error", () => resolve(false));
        outgoing.end();
    });
}
