import {
    createArrivalMeter,
    createCallerServer,
    createClaimManager,
    createClaimPruner,
    createCrashEvidence,
    createCrashGuard,
    createLoadView,
    defaultCallerLimits,
    shareCrashEvidence,
} from "daisyturn";
import type { DaemonSettings } from "../settings/daemonSettings.js";
import { readSecret, readTlsFiles } from "../settings/readSecret.js";
import type { Base } from "./createBase.js";
import type { Cell } from "./createCell.js";
import { createMeteredAdmission } from "./createMeteredAdmission.js";
import { createReadiness } from "./createReadiness.js";
import type { EntryPolicies } from "./entryPolicies.js";

const firstReportsMilliseconds = 2_000;
const loadReportIntervalMilliseconds = 250;
const millisecondsPerSecond = 1_000;

/** Creates the parts that process a caller's request. */
export function createDataPath(settings: DaemonSettings, policies: EntryPolicies, base: Base, cell: Cell) {
    const { clock, eventLog, random, ids, self } = base;
    const { network, membership, configurationManager, targets, gate, storeClient, serviceGuard } = cell;
    const loadView = createLoadView({
        targets,
        network,
        membership,
        clock,
        eventLog,
        reportIntervalMilliseconds: loadReportIntervalMilliseconds,
    });
    const router = policies.createRouter({ loadView, gate, configurationManager, clock, random, eventLog });
    const meter = createArrivalMeter({
        exchange: loadView.exchange,
        membership,
        clock,
    });
    router.onPlaced((request, option) => meter.recordPlaced(request, option.prefillTokens));
    const inner = policies.createAdmission({
        loadView,
        router,
        configurationManager,
        network,
        membership,
        clock,
        eventLog,
    });
    const admission = createMeteredAdmission(inner, meter);
    const claims = createClaimManager({
        self,
        storeClient,
        network,
        membership,
        clock,
        ids,
        eventLog,
        limits: settings.claims,
    });
    const claimPruner = createClaimPruner({
        storeClient,
        claimManager: claims,
        membership,
        clock,
        random,
        ids,
        eventLog,
    });
    const crashEvidence = createCrashEvidence(clock, eventLog);
    shareCrashEvidence({ evidence: crashEvidence, exchange: loadView.exchange, membership, clock });
    const crashGuard = createCrashGuard({
        evidence: crashEvidence,
        probe: cell.probe,
        isExpected: gate.isOpen,
        // Targets keep their names over restarts. Two processes that name one end differently report it at one time.
        nameIncarnation: targetName => `${targetName}@${Math.round(clock.wallNow() / millisecondsPerSecond)}`,
        clock,
        eventLog,
    });
    const readiness = createReadiness({
        configurationManager,
        serviceGuard,
        targets,
        loadView,
        clock,
        firstReportsMilliseconds,
    });
    const callerServer = createCallerServer({
        listen: { address: settings.callers.listen.host, port: settings.callers.listen.port },
        tls: settings.callers.tls && readTlsFiles(settings.callers.tls),
        configurationManager,
        router,
        admission,
        gate,
        targets,
        claims,
        crashGuard,
        clock,
        ids,
        eventLog,
        isReady: readiness.isReady,
        resumeKeys: settings.resumption.keys.map(readSecret),
        countProcesses: () => membership.livePeers().length + 1,
        limits: {
            ...defaultCallerLimits,
            maxBodyBytes: settings.callers.maximumBodyBytes,
            balancerNoticeMilliseconds: settings.callers.balancerNoticeMilliseconds,
        },
    });
    return { loadView, router, admission, claims, claimPruner, readiness, meter, callerServer };
}

/** What {@link createDataPath} creates. */
export type DataPath = ReturnType<typeof createDataPath>;
