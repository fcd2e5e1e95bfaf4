import {
    createConfigurationManager,
    createController,
    createLeaseManager,
    createMembership,
    createOrderCommands,
    createOrderRecords,
    createPeerNetwork,
    createServiceGuard,
    createStoreClient,
    createTargetGate,
    createVmWatch,
    type VmWatch,
} from "daisyturn";
import { type DaemonSettings } from "../settings/daemonSettings.js";
import { readMutualTlsFiles, readSecret } from "../settings/readSecret.js";
import type { Base } from "./createBase.js";
import { createHttpTargets } from "./createPlatform.js";

const leaseName = "controller";

/** Creates the parts that act together with the other processes of the cell. */
export function createCell(settings: DaemonSettings, base: Base) {
    const agreement = createAgreement(settings, base);
    const targets = createTargets(base, agreement);
    const control = createControl(settings, base, agreement, targets);
    return { ...agreement, ...targets, ...control };
}

/** What {@link createCell} creates. */
export type Cell = ReturnType<typeof createCell>;

/** Peers, members, the store and the configuration. */
function createAgreement(settings: DaemonSettings, base: Base) {
    const { clock, eventLog, random, ids, self } = base;
    const network = createPeerNetwork({
        self,
        cell: settings.cell.name,
        listen: settings.peers.listen,
        secret: readSecret(settings.peers.secret),
        tls: settings.peers.tls && readMutualTlsFiles(settings.peers.tls),
        clock,
        hybridClock: base.hybridClock,
        eventLog,
        random,
    });
    const storeClient = createStoreClient({
        tableService: base.platform.tableService,
        clock,
        random,
        eventLog,
        writesPerSecond: settings.platform.writesPerSecond,
        readsPerSecond: settings.platform.readsPerSecond,
    });
    const membership = createMembership({
        network,
        vmList: base.platform.vmList,
        seeds: settings.peers.seeds,
        clock,
        random,
        eventLog,
        heartbeatIntervalMilliseconds: settings.peers.heartbeatMilliseconds,
    });
    const serviceGuard = createServiceGuard({
        clock,
        eventLog,
        majority: membership,
        lastStoreAnswerAt: () => storeClient.lastAnswerAt(),
        silenceLimitMilliseconds: settings.cell.outOfServiceMilliseconds,
    });
    const configurationManager = createConfigurationManager({
        self,
        storeClient,
        network,
        membership,
        clock,
        random,
        eventLog,
        ids,
    });
    return { network, storeClient, membership, serviceGuard, configurationManager };
}

type Agreement = ReturnType<typeof createAgreement>;

/** The targets, and whether new work may go to them. */
function createTargets(base: Base, agreement: Agreement) {
    const vmWatch = createVmWatch({ vmList: base.platform.vmList, clock: base.clock });
    const targets = createHttpTargets(agreement.configurationManager, base.clock);
    const gate = createTargetGate({
        configurationManager: agreement.configurationManager,
        peerNetwork: agreement.network,
        clock: base.clock,
        isVmLeaving: target => isOnLeavingVm(vmWatch, target.url),
        isInService: () => agreement.serviceGuard.isInService(),
    });
    return { vmWatch, targets, gate };
}

/** The list names a VM by its IP number, or by number and port where several processes share one (tests). */
function isOnLeavingVm(vmWatch: VmWatch, url: string): boolean {
    const { host, hostname } = new URL(url);
    return vmWatch.isLeaving(hostname) || vmWatch.isLeaving(host);
}

/** The lease and what its holder does. */
function createControl(
    settings: DaemonSettings,
    base: Base,
    agreement: Agreement,
    { targets, gate }: ReturnType<typeof createTargets>,
) {
    const { clock, eventLog, random, ids, self } = base;
    const { storeClient, membership, network, configurationManager } = agreement;
    const cellLeaseName = `${settings.cell.name}/${leaseName}`;
    const leaseManager = createLeaseManager({
        name: cellLeaseName,
        self,
        storeClient,
        clock,
        random,
        ids,
        eventLog,
        leaseMilliseconds: settings.cell.leaseMilliseconds,
    });
    const records = createOrderRecords({ cell: settings.cell.name, storeClient, clock, ids });
    const orderCommands = createOrderCommands({
        records,
        leaseName: cellLeaseName,
        storeClient,
        membership,
        configurationManager,
        clock,
    });
    const controller = createController({
        self,
        leaseManager,
        records,
        commands: orderCommands,
        peerNetwork: network,
        membership,
        configurationManager,
        targetDirectory: targets,
        targetGate: gate,
        weightStore: base.platform.weightStore,
        clock,
        ids,
        eventLog,
    });
    return { leaseManager, orderCommands, controller };
}
