import {
    createSeededRandom,
    type Failure,
    FailureReason,
    FakeClock,
    MemoryEventLog,
    notRun,
    type Random,
} from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { createFakeIdentity, createFakePeerNetworks } from "../../../__fixtures__/fakePeerNetwork.js";
import {
    type CacheEvent,
    type CacheEventPage,
    Engine,
    EnginePhase,
    EngineRole,
    type EngineState,
    type LoadReport,
    type OrderAnswer,
} from "../../../ports/engine.js";
import { createProfile } from "../../../version/__fixtures__/items.js";
import type { ConfigurationItem } from "../../../version/configurationItems.js";
import { createConfigurationVersion } from "../../../version/createConfigurationVersion.js";
import type { ConfigurationManager } from "../../configuration/index.js";
import { createLoadView } from "../../load/index.js";
import type { Membership, PeerNetwork, ProcessIdentity } from "../../peers/index.js";
import type { TargetGate } from "../../targets/index.js";
import { createRouter } from "../createRouter.js";
import type { EngineChoice } from "../engineChoice.js";
import type { RoutingRequest } from "../router.js";

const refused = notRun(FailureReason.TargetRefused, "not scripted");

/** An engine that only serves reports, which tests set; it refuses all requests. */
export class ReportingEngine extends Engine {
    events: CacheEvent[] = [];
    isSilent = false;
    models: readonly string[] = ["large"];
    softwareVersion = "1";

    constructor(override readonly engineId: string, public report: LoadReport) {
        super();
    }

    override readLoad(): Promise<Result<LoadReport, Failure>> {
        return Promise.resolve(this.isSilent ? err(refused) : ok(this.report));
    }

    override readCacheEvents(cursor: number): Promise<Result<CacheEventPage, Failure>> {
        const events = this.events.filter(event => event.sequence > cursor);
        const page = { incarnation: this.report.incarnation, events, cursor: events.at(-1)?.sequence ?? cursor };
        return Promise.resolve(this.isSilent ? err(refused) : ok(page));
    }

    override readState(): Promise<Result<EngineState, Failure>> {
        const { engineId, incarnation, role, phase, runningStreams, queuedRequests } = this.report;
        const rest = { draining: false, models: this.models, adapters: [], version: this.softwareVersion };
        const state = { engineId, incarnation, role, phase, runningStreams, queuedRequests, ...rest };
        return Promise.resolve(this.isSilent ? err(refused) : ok(state));
    }

    override generate = () => Promise.resolve(err<never, Failure>(refused));
    override resume = () => Promise.resolve(err<never, Failure>(refused));
    override cancel = () => Promise.resolve(err<void, Failure>(refused));
    override order = () => Promise.resolve(err<OrderAnswer, Failure>(refused));
}

export function createReport(engineId: string, fields: Partial<LoadReport> = {}): LoadReport {
    return {
        engineId,
        incarnation: "1",
        asOf: 0,
        role: EngineRole.Mixed,
        phase: EnginePhase.Serving,
        runningStreams: 0,
        queuedRequests: 0,
        queuedPrefillTokens: 0,
        outstandingOutputTokens: 0,
        kvTokensUsed: 0,
        kvTokensCapacity: 1_000_000,
        prefillRate: 10_000,
        decodeRate: 50,
        ...fields,
    };
}

export function createRoutingRequest(wallNow: number, fields: Partial<RoutingRequest> = {}): RoutingRequest {
    const profile = fields.profile ?? createProfile("nyamata", "dossier");
    return {
        requestId: "req-1",
        partner: profile.partner,
        profile,
        promptTokens: 1_000,
        promptBlocks: [],
        expectedOutputTokens: 100,
        firstTokenDeadline: wallNow + profile.firstTokenLimitMilliseconds,
        totalDeadline: wallNow + profile.totalLimitMilliseconds,
        avoid: [],
        ...fields,
    };
}

export interface DecisionBenchOptions {
    readonly processes?: number;
    readonly reports: readonly LoadReport[];
    readonly items?: readonly ConfigurationItem[];
    readonly random?: Random;
    readonly choice?: EngineChoice;
}

const reportInterval = 500;

/** Entry processes that route over scripted engines, on one fake clock that tests advance. */
export async function createDecisionBench(options: DecisionBenchOptions) {
    const clock = new FakeClock();
    const networks = createFakePeerNetworks(clock);
    const stopper = new AbortController();
    const engines = options.reports.map(report =>
        new ReportingEngine(report.engineId, { ...report, asOf: clock.wallNow() + report.asOf })
    );
    const closed = new Set<string>();
    const dead = new Set<string>();
    const configurationManager = createFixedConfigurationManager(options.items ?? []);
    const identities = [...Array(options.processes ?? 1).keys()].map(index => createFakeIdentity(`p${index}`));
    const gate: TargetGate = {
        isOpen: name => !closed.has(name),
        close: () => undefined,
        release: () => undefined,
        enter: () => () => undefined,
        inFlight: () => 0,
    };
    const targets = {
        engine: (name: string) => engines.find(engine => engine.engineId === name),
        plainService: () => undefined,
        engines: () => engines,
        findAddress: () => undefined,
    };
    const processes = identities.map((self, index) => {
        const network: PeerNetwork = networks.join(self);
        const membership = createScriptedMembership(identities.filter(other => other !== self), dead);
        const eventLog = new MemoryEventLog();
        const random = options.random ?? createSeededRandom(index + 1);
        const common = { network, membership, clock, eventLog, configurationManager, gate, random, targets };
        const loadView = createLoadView({ ...common, reportIntervalMilliseconds: reportInterval });
        const router = createRouter({ ...common, loadView, choice: options.choice });
        void loadView.run(stopper.signal);
        return { ...common, loadView, router };
    });
    await clock.advance(0);
    return { clock, networks, engines, processes, closed, dead, stop: () => stopper.abort() };
}

/** A membership in which all other processes are live, except for those in `dead`. */
export function createScriptedMembership(
    others: readonly ProcessIdentity[],
    dead: ReadonlySet<string>,
): Membership & { majority: boolean; } {
    return {
        majority: true,
        others: () => [],
        livePeers: () => others.filter(other => !dead.has(other.processId)),
        hasEnded: identity => dead.has(identity.processId),
        hasMajorityContact() {
            return this.majority;
        },
        onChange: () => undefined,
    };
}

export function createFixedConfigurationManager(items: readonly ConfigurationItem[]): ConfigurationManager {
    const version = createConfigurationVersion(1, items);
    const unused = () => Promise.reject(new Error("fixed"));
    return {
        current: () => version,
        adopt: unused,
        run: unused,
        publish: unused,
        history: unused,
        onVersion: () => undefined,
    };
}
