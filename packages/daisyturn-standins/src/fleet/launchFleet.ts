import { allocateLoopbackHost, findFreePort, hashText } from "daisyturn-utils";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { type ChildProgram, startChildProgram } from "./childProgram.js";
import { startTogether } from "./startTogether.js";

export interface EnginePlan {
    readonly id: string;
    readonly availabilityZone: string;
    readonly role: string;
    readonly models: readonly string[];
    readonly checksFencing: boolean;
}

/** An instance of the plain service. */
export interface ServicePlan {
    readonly id: string;
    readonly availabilityZone: string;
}

/** The processes to start and their settings. */
export interface FleetPlan {
    readonly engines: readonly EnginePlan[];
    readonly services: readonly ServicePlan[];
    readonly entryCount: number;
    readonly availabilityZones: readonly string[];
    readonly partners: readonly string[];
    /** Arguments appended to each engine's command line. */
    readonly engineArguments?: readonly string[];
    /** Script of the entry process, and its arguments before `serve`. Default: the daemon's main script. */
    readonly entryProgram?: readonly string[];
    /** Settings that override the defaults of the entry processes, by section. */
    readonly entrySettings?: Readonly<Record<string, object>>;
}

/** A running entry process and its addresses. */
export interface EntryProgram {
    readonly processId: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly logFile: string;
    readonly settingsFile: string;
    readonly program: ChildProgram;
}

/** A running target, or the platform, and its address. */
export interface TargetProgram {
    readonly id: string;
    readonly url: string;
    readonly program: ChildProgram;
}

/** A running fleet. */
export interface Fleet {
    readonly folder: string;
    readonly platform: TargetProgram;
    readonly engines: readonly TargetProgram[];
    readonly services: readonly TargetProgram[];
    readonly entries: readonly EntryProgram[];
    /** Returns the key of the partner's only operator. */
    operatorKey(partner: string): string;
    /** Starts a new entry process with the settings file of the one at `index`, which must have exited. */
    restartEntry(index: number): Promise<EntryProgram>;
    /** Stops the entry processes, then the targets, then the platform. Resolves with the entries' exit codes. */
    stop(): Promise<readonly (number | undefined)[]>;
}

const here = path.dirname(fileURLToPath(import.meta.url));
const platformScript = path.join(here, "../platform/runPlatform.js");
const engineScript = path.join(here, "../engine/runEngine.js");
const serviceScript = path.join(here, "../service/runService.js");
const daemonScript = path.join(
    path.dirname(createRequire(import.meta.url).resolve("daisyturn-daemon")),
    "main.js",
);
const peerSecret = "stand-in peer secret";
const resumeSecret = "stand-in resumption secret";

/** Starts a fleet of separate processes on loopback. If one start fails, kills all processes that were started. */
export async function launchFleet(plan: FleetPlan): Promise<Fleet> {
    const folder = mkdtempSync(path.join(tmpdir(), "daisyturn-fleet-"));
    const started: ChildProgram[] = [];
    try {
        const platform = await startTarget("platform", platformScript, ["--port", "0"], started);
        const engines = await startTogether(plan.engines.map(engine => startEngine(engine, plan, started)));
        const services = await startTogether(plan.services.map(service => startService(service, started)));
        const settingsFiles = await writeEntrySettings(plan, folder, platform.url);
        const entryProgram = plan.entryProgram ?? [daemonScript];
        const entries = await startTogether(settingsFiles.map(file => startEntry(entryProgram, file, started)));
        return createFleet({ folder, platform, engines, services, entries, entryProgram, started });
    }
    catch (error) {
        await Promise.all(started.map(program => program.kill()));
        throw error;
    }
}

interface FleetParts {
    readonly folder: string;
    readonly platform: TargetProgram;
    readonly engines: readonly TargetProgram[];
    readonly services: readonly TargetProgram[];
    readonly entries: EntryProgram[];
    readonly entryProgram: readonly string[];
    readonly started: ChildProgram[];
}

function createFleet(parts: FleetParts): Fleet {
    const { folder, platform, engines, services, entries, entryProgram, started } = parts;

    const restartEntry = async (index: number) => {
        const old = entries[index];
        if (!old) {
            throw new Error(`no entry process has index ${index}`);
        }
        const entry = await startEntry(entryProgram, old, started);
        entries[index] = entry;
        return entry;
    };

    const stop = async () => {
        const exitCodes = await Promise.all(entries.map(entry => entry.program.stop()));
        await Promise.all([...engines, ...services].map(target => target.program.stop()));
        await platform.program.stop();
        return exitCodes;
    };

    return { folder, platform, engines, services, entries, operatorKey: createOperatorKey, restartEntry, stop };
}

function createOperatorKey(partner: string): string {
    return `operator-key-of-${partner}`;
}

async function startTarget(
    id: string,
    script: string,
    argumentList: readonly string[],
    started: ChildProgram[],
): Promise<TargetProgram> {
    const program = await startChildProgram(id, script, argumentList);
    started.push(program);
    return { id, url: program.words.get("url") ?? "", program };
}

function startEngine(engine: EnginePlan, plan: FleetPlan, started: ChildProgram[]): Promise<TargetProgram> {
    const words = [
        ["--id", engine.id],
        ["--port", "0"],
        ["--role", engine.role],
        ["--models", engine.models.join(",")],
        ["--checks-fencing", String(engine.checksFencing)],
        plan.engineArguments ?? [],
    ];
    return startTarget(engine.id, engineScript, words.flat(), started);
}

function startService(service: ServicePlan, started: ChildProgram[]): Promise<TargetProgram> {
    return startTarget(service.id, serviceScript, ["--id", service.id, "--port", "0"], started);
}

interface EntrySettingsFile {
    readonly settingsFile: string;
    readonly processId: string;
    readonly logFile: string;
}

async function startEntry(
    entryProgram: readonly string[],
    settings: EntrySettingsFile,
    started: ChildProgram[],
): Promise<EntryProgram> {
    const [script = daemonScript, ...words] = entryProgram;
    const argumentList = [...words, "serve", "--settings", settings.settingsFile];
    const program = await startChildProgram(settings.processId, script, argumentList, {
        DAISYTURN_PEER_SECRET: peerSecret,
        DAISYTURN_RESUMPTION_KEY: resumeSecret,
    });
    started.push(program);
    return {
        processId: settings.processId,
        callerUrl: program.words.get("callers") ?? "",
        operatorUrl: program.words.get("operators") ?? "",
        logFile: settings.logFile,
        settingsFile: settings.settingsFile,
        program,
    };
}

async function writeEntrySettings(plan: FleetPlan, folder: string, platformUrl: string): Promise<EntrySettingsFile[]> {
    const peerListenAddresses = await Promise.all(Array.from({ length: plan.entryCount }, findPeerListenAddress));
    const seeds = peerListenAddresses.map(({ host, port }) => `${host}:${port}`);
    return peerListenAddresses.map((peerListenAddress, index) => {
        const processId = `entry-${index + 1}`;
        const logFile = path.join(folder, `${processId}.log`);
        const settingsFile = path.join(folder, `${processId}.yaml`);
        const zone = plan.availabilityZones[index % plan.availabilityZones.length] ?? "zone-1";
        const settings = createEntrySettings({ plan, processId, zone, peerListenAddress, seeds, platformUrl, logFile });
        writeFileSync(settingsFile, stringify(settings));
        return { settingsFile, processId, logFile };
    });
}

interface PeerListenAddress {
    readonly host: string;
    readonly port: number;
}

/**
 * Finds a free address for the peer listener. The addresses are the seeds in every settings file, so they must be known
 * before any process starts. Each process has its own loopback host, so that the port stays free until then.
 */
async function findPeerListenAddress(): Promise<PeerListenAddress> {
    const host = allocateLoopbackHost();
    return { host, port: await findFreePort(host) };
}

interface EntrySettingsInput {
    readonly plan: FleetPlan;
    readonly processId: string;
    readonly zone: string;
    readonly peerListenAddress: PeerListenAddress;
    readonly seeds: readonly string[];
    readonly platformUrl: string;
    readonly logFile: string;
}

function createEntrySettings(input: EntrySettingsInput): object {
    const { plan } = input;
    const overrides = plan.entrySettings ?? {};
    const sections: Record<string, object> = {
        process: { id: input.processId, vmId: `vm-${input.processId}`, availabilityZone: input.zone },
        callers: {
            listen: { host: "127.0.0.1", port: 0 },
            balancerNoticeMilliseconds: 1_000,
            drainMilliseconds: 20_000,
        },
        peers: {
            listen: input.peerListenAddress,
            seeds: input.seeds,
            secret: { environment: "DAISYTURN_PEER_SECRET" },
        },
        operators: {
            listen: { host: "127.0.0.1", port: 0 },
            keys: plan.partners.map(partner => ({
                partner,
                name: `${partner}-operator`,
                keyHash: hashText(createOperatorKey(partner)),
            })),
        },
        platform: { url: input.platformUrl },
        cell: { name: "cell-1" },
        resumption: { keys: [{ environment: "DAISYTURN_RESUMPTION_KEY" }] },
        log: { file: input.logFile },
    };
    for (const [section, override] of Object.entries(overrides)) {
        sections[section] = { ...sections[section], ...override };
    }
    return sections;
}
