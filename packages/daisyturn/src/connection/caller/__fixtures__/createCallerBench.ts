import { createIdSource, FailureReason, hashText, MemoryEventLog, notRun, SystemClock } from "daisyturn-utils";
import { err, ok } from "true-myth/result";
import { Priority } from "../../../ports/engine.js";
import type { PlainService } from "../../../ports/plainService.js";
import { createCrashEvidence, createCrashGuard } from "../../../process/crashes/index.js";
import type { Placement, PlacementOutcome, PlacementUsage, RoutingRequest } from "../../../process/routing/index.js";
import type { ClaimManager } from "../../../request/claims/claimManager.js";
import {
    type CallerAccount,
    ItemKind,
    type Profile,
    type Service,
    ServiceKind,
} from "../../../version/configurationItems.js";
import type { ConfigurationVersion } from "../../../version/configurationVersion.js";
import { createVersionUsage } from "../../../version/createVersionUsage.js";
import { ProbeResult } from "../../target/probeAddress.js";
import type { CallerServerOptions } from "../callerServerOptions.js";
import { createCallerServer } from "../createCallerServer.js";
import { createScriptedEngine, type ScriptedEngine } from "./createScriptedEngine.js";

export const callerKey = "key-of-the-assessor";
export const benchResumeKey = "resume-key-of-the-bench";
export const otherPartnerKey = "key-of-the-volunteer";

/** What was recorded for a placement. */
export interface PlacementRecord {
    readonly request: RoutingRequest;
    readonly engine: string;
    readonly streams: { readonly engine: string; readonly streamId: string; }[];
    prefilled?: PlacementUsage;
    outcome?: PlacementOutcome;
    usage?: PlacementUsage;
    tokens: number;
}

const profile: Profile = {
    kind: ItemKind.Profile,
    partner: "nyamata",
    name: "verdict",
    model: "large",
    priority: Priority.Interactive,
    firstTokenLimitMilliseconds: 5_000,
    betweenTokensLimitMilliseconds: 1_000,
    totalLimitMilliseconds: 20_000,
    maxOutputTokens: 64,
    goodputWorth: 1,
    roleChangeCost: 1,
};

const services: readonly Service[] = [
    {
        kind: ItemKind.Service,
        partner: "nyamata",
        name: "valuation",
        serviceKind: ServiceKind.Model,
        profile: "verdict",
    },
    { kind: ItemKind.Service, partner: "nyamata", name: "closed", serviceKind: ServiceKind.Model, profile: "verdict" },
    {
        kind: ItemKind.Service,
        partner: "nyamata",
        name: "quotes",
        serviceKind: ServiceKind.Plain,
        targets: ["desk-1", "desk-2"],
        routes: [{ method: "GET", pathPrefix: "/models", idempotent: true }],
        callLimitMilliseconds: 2_000,
    },
];

function createAccount(partner: string, name: string, key: string): CallerAccount {
    return {
        kind: ItemKind.CallerAccount,
        partner,
        name,
        keyHash: hashText(key),
        services: ["valuation", "quotes"],
        requestsPerSecond: 1_000,
        concurrentRequests: 100,
    };
}

function createVersion(): ConfigurationVersion {
    const accounts = [
        createAccount("nyamata", "assessor", callerKey),
        createAccount("jizdenka", "volunteer", otherPartnerKey),
    ];
    return {
        generation: 4,
        items: [],
        findItem: () => undefined,
        findProfile: (partner, name) => partner === "nyamata" && name === "verdict" ? profile : undefined,
        findService: (partner, name) => services.find(item => item.partner === partner && item.name === name),
        findAccountByKeyHash: keyHash => accounts.find(account => account.keyHash === keyHash),
        holdsOn: () => [],
        findTarget: () => undefined,
        targets: [],
        shareWeight: () => 1,
    };
}

/** Overrides of the bench's defaults. */
export interface BenchOptions extends Partial<CallerServerOptions> {
    /** Shared by two benches in tests of two entry processes. */
    readonly engines?: readonly [ScriptedEngine, ScriptedEngine];
    /** Engine for the prefill of every placement. */
    readonly prefillEngine?: string;
}

/** Starts a caller server with scripted targets, and gives access to what they received. */
export async function createCallerBench(overrides: BenchOptions = {}) {
    const engines = overrides.engines ?? createEnginePair();
    const plainServices = new Map<string, PlainService>();
    const placements: PlacementRecord[] = [];
    const closedTargets = new Set<string>();
    const running = new Map<string, number>();
    const eventLog = new MemoryEventLog();
    const versionUsage = createVersionUsage(createVersion);
    let admitted = 0;
    const ticket = () => {
        admitted += 1;
        return ok({
            release: () => {
                admitted -= 1;
            },
        });
    };

    const server = createCallerServer({
        listen: { address: "127.0.0.1", port: 0 },
        isReady: () => true,
        resumeKeys: [benchResumeKey],
        configurationManager: versionUsage,
        router: { place: request => placeOnFirst(engines, request, placements, overrides.prefillEngine) },
        admission: { admitModelRequest: () => Promise.resolve(ticket()), admitPlainCall: ticket },
        gate: {
            isOpen: name => !closedTargets.has(name),
            close: () => undefined,
            release: () => undefined,
            enter: name => {
                running.set(name, (running.get(name) ?? 0) + 1);
                return () => running.set(name, (running.get(name) ?? 0) - 1);
            },
            inFlight: name => running.get(name) ?? 0,
        },
        targets: {
            engine: name => engines.find(engine => engine.engineId === name),
            plainService: name => plainServices.get(name),
            engines: () => engines,
            findAddress: name => `${name}:80`,
        },
        claims: createPassThroughClaims(),
        crashGuard: createCrashGuard({
            evidence: createCrashEvidence(new SystemClock(), eventLog),
            probe: () => Promise.resolve(ProbeResult.Accepted),
            isExpected: () => true,
            clock: new SystemClock(),
            eventLog,
        }),
        clock: new SystemClock(),
        ids: createIdSource("test"),
        eventLog,
        ...overrides,
        limits: { balancerNoticeMilliseconds: 20, lingerMilliseconds: 50, ...overrides.limits },
    });
    const { port } = await server.start();
    return {
        server,
        port,
        url: `http://127.0.0.1:${port}`,
        engines,
        plainServices,
        placements,
        closedTargets,
        running,
        eventLog,
        admitted: () => admitted,
        versionUsage,
        /** Requests that still pin a version. */
        pinned: () => versionUsage.list().reduce((sum, usage) => sum + usage.requests, 0),
    };
}

/** Creates two engines that give the same answer of eight tokens. */
export function createEnginePair(): readonly [ScriptedEngine, ScriptedEngine] {
    return [createScriptedEngine("engine-1", 8), createScriptedEngine("engine-2", 8)];
}

/** Creates a claim manager that stores no claims and sends every call. */
function createPassThroughClaims(): ClaimManager {
    return {
        runOnce: (request, send) => send(request.call, { isValid: () => true }),
        lookUp: () => Promise.resolve(err(notRun(FailureReason.NotFound, "No such claim."))),
    };
}

function placeOnFirst(
    engines: readonly ScriptedEngine[],
    request: RoutingRequest,
    placements: PlacementRecord[],
    prefillEngine: string | undefined,
) {
    const chosen = engines.find(engine => !request.avoid.includes(engine.engineId)) ?? engines[0]!;
    const record: PlacementRecord = { request, engine: chosen.engineId, streams: [], tokens: 0 };
    placements.push(record);
    const placement: Placement = {
        prefillEngine,
        engine: chosen.engineId,
        softwareVersion: request.softwareVersion ?? "v1",
        expectedFirstTokenAt: request.firstTokenDeadline,
        recordStream: (engine, streamId) => record.streams.push({ engine, streamId }),
        recordPrefilled: usage => {
            record.prefilled = usage;
        },
        recordFirstToken: () => undefined,
        recordTokens: count => {
            record.tokens += count;
        },
        end: (outcome, usage) => {
            record.outcome = outcome;
            record.usage = usage;
        },
    };
    return ok(placement);
}
