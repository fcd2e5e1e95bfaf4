import {
    allocateLoopbackHost,
    type Clock,
    createSeededRandom,
    findFreePort,
    MemoryEventLog,
    SystemClock,
} from "daisyturn-utils";
import { err } from "true-myth/result";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import { createRelays, createTargetLinks, type DialPlan, type TargetLinks } from "../../../process/forwarding/index.js";
import { createTargetDialer } from "../../target/createTargetDialer.js";
import { openSocket } from "../../target/openSocket.js";
import { createTunnelServer, type TunnelServer } from "../createTunnelServer.js";
import { createHttpTunnels } from "../openTunnel.js";

/** How the links of a process to targets fail. */
export enum LinkFault {
    /** New connections never open. */
    Hanging = "hanging",
    Refused = "refused",
}

/** A process that carries tunnels. */
export interface BenchRelay {
    readonly peer: RegisteredPeer;
    readonly links: TargetLinks;
    readonly server: TunnelServer;
    /** Hosts that the process knows, and addresses that it lists; all if undefined. */
    hosts?: readonly string[];
    addresses?: readonly string[];
    isAvailable: boolean;
}

const clock: Clock = new SystemClock();

/** Starts a process that carries tunnels. */
export async function startRelay(peerId: string, availabilityZone = "zone-a"): Promise<BenchRelay> {
    const host = allocateLoopbackHost();
    const port = await findFreePort(host);
    const eventLog = new MemoryEventLog();
    const links = createTargetLinks(clock, eventLog);
    const server = createTunnelServer({
        listen: { address: host, port },
        isRegistered: known => relay.hosts?.includes(known) ?? true,
        isListed: address => relay.addresses?.includes(address) ?? true,
        isAvailable: () => relay.isAvailable,
        links,
        clock,
        eventLog,
    });
    const relay: BenchRelay = {
        peer: { peerId, host, port, availabilityZone, strength: 1 },
        links,
        server,
        isAvailable: true,
    };
    await server.start(new AbortController().signal);
    return relay;
}

/** Creates the dialer of a process whose links to targets fail as the test says. */
export function createBenchDialer(relays: readonly BenchRelay[]) {
    const targetLinks = createTargetLinks(clock, new MemoryEventLog());
    const plans: DialPlan[] = [];
    const links: TargetLinks = {
        ...targetLinks,
        planDial: address => {
            const plan = targetLinks.planDial(address);
            plans.push(plan);
            return plan;
        },
    };
    const state: { fault?: LinkFault; } = {};
    const localHost = allocateLoopbackHost();
    const dialer = createTargetDialer({
        links,
        relays: createRelays({
            selfId: "self",
            availabilityZone: "zone-a",
            listPeers: () => relays.map(({ peer }) => peer),
            refreshPeers: () => undefined,
            random: createSeededRandom(1),
            clock,
        }),
        openTunnel: createHttpTunnels(localHost),
        clock,
        open: async (address, options) => {
            if (!state.fault) {
                return openSocket(address, options);
            }
            const isRefused = state.fault === LinkFault.Refused;
            await clock.sleepUntil(isRefused ? clock.monotonicNow() : options.deadline);
            return err({ isRefused, message: isRefused ? "ECONNREFUSED" : "connect timeout" });
        },
    });
    return { dialer, links, plans, localHost, state };
}
