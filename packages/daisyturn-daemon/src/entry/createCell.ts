import {
    createConfigurationManager,
    createController,
    createLeaseManager,
    createMembership,
    createOrderCommands,
    createOrderRecords,
    createPeerNetwork,
    createPeerTunnels,
    createRelays,
    createServiceGuard,
    createStoreClient,
    createTargetDialer,
    createTargetGate,
    createTargetLinks,
    createVmWatch,
    type Membership,
    type ProcessIdentity,
    type VmWatch,
} from "daisyturn";
import { type DaemonSettings } from "../settings/daemonSettings.js";
import { readMutualTlsFiles, readSecret } from "../settings/readSecret.js";
import type { Base } from "./createBase.js";
import { createHttpTargets } from "./createPlatform.js";

const leaseName = "controller";

/** Creates the parts that coordinate with the other processes of the cell. */
export function createCell(settings: DaemonSettings, base: Base) {
    const coordination = createCoordination(settings, base);
    const targets = createTargets(base, coordination);
    const control = createControl(settings, base, coordination, targets);
    return { ...coordination, ...targets, ...control };
}

/** What {@link createCell} creates. */
export type Cell = ReturnType<typeof createCell>;

/** Creates the peer network, the membership, the store client, the service guard and the configuration manager. */
function createCoordination(settings: DaemonSettings, base: Base) {
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

type Coordination = ReturnType<typeof createCoordination>;

/** Creates the targets and the gate that determines whether they may receive new work. */
function createTargets(base: Base, coordination: Coordination) {
    const { clock, eventLog } = base;
    const vmWatch = createVmWatch({ vmList: base.platform.vmList, clock });
    const links = createTargetLinks(clock, eventLog);
    const tunnels = createPeerTunnels({
        network: coordination.network,
        links,
        isListed: address => listAddresses().includes(address),
        clock,
    });
    const dialer = createTargetDialer({
        links,
        relays: createCellRelays(base, coordination.membership),
        openTunnel: tunnels.open,
        clock,
    });
    const targets = createHttpTargets(coordination.configurationManager, clock, dialer.dial);
    const listAddresses = () =>
        coordination.configurationManager.current().targets.map(({ name }) => targets.findAddress(name));
    const gate = createTargetGate({
        configurationManager: coordination.configurationManager,
        peerNetwork: coordination.network,
        clock: base.clock,
        isVmLeaving: target => isOnLeavingVm(vmWatch, target.url),
        isInService: () => coordination.serviceGuard.isInService(),
    });
    return { vmWatch, targets, gate, tunnels, probe: dialer.probe };
}

/** Creates the choice of members that reach targets to which the own links are lost. */
function createCellRelays({ self, random, clock }: Base, membership: Membership) {
    const describePeer = ({ processId, availabilityZone, peerAddress }: ProcessIdentity) => {
        const { hostname: host, port } = new URL(`tcp://${peerAddress}`);
        return { peerId: processId, host, port: Number(port), availabilityZone, strength: 1 };
    };
    return createRelays({
        selfId: self.processId,
        availabilityZone: self.availabilityZone,
        listPeers: () => membership.livePeers().map(describePeer),
        // The members are known from their heartbeats.
        refreshPeers: () => undefined,
        random,
        clock,
    });
}

/** The VM list names a VM by its IP address, or by address and port where several processes share one (in tests). */
function isOnLeavingVm(vmWatch: VmWatch, url: string): boolean {
    const { host, hostname } = new URL(url);
    return vmWatch.isLeaving(hostname) || vmWatch.isLeaving(host);
}

/** Creates the controller lease and the parts that its holder runs. */
function createControl(
    settings: DaemonSettings,
    base: Base,
    coordination: Coordination,
    { targets, gate }: ReturnType<typeof createTargets>,
) {
    const { clock, eventLog, random, ids, self } = base;
    const { storeClient, membership, network, configurationManager } = coordination;
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
