import { type Clock, createHybridLogicalClock, createSeededRandom, MemoryEventLog, SystemClock } from "daisyturn-utils";
import type { TestContext } from "node:test";
import type { ProcessIdentity } from "../../process/peers/index.js";
import { createPeerNetwork, type PeerNetworkOptions, type TcpPeerNetwork } from "../createPeerNetwork.js";

const pollIntervalMilliseconds = 5;
const maxWaitMilliseconds = 10_000;

/** Creates an identity whose address gets its port when the network starts. */
export function createLocalIdentity(processId: string, incarnation = `${processId}-1`): ProcessIdentity {
    return {
        processId,
        incarnation,
        vmId: `vm-${processId}`,
        availabilityZone: "zone-1",
        peerAddress: "127.0.0.1:0",
    };
}

/** Starts a network on a free port of the loopback address and stops it after the test. */
export async function startPeerNetwork(
    context: TestContext,
    processId: string,
    overrides: Partial<PeerNetworkOptions> = {},
): Promise<TcpPeerNetwork> {
    const clock = overrides.clock ?? new SystemClock();
    const network = createPeerNetwork({
        self: createLocalIdentity(processId),
        listen: { host: "127.0.0.1", port: 0 },
        secret: "a secret of the whole cell",
        clock,
        hybridClock: createHybridLogicalClock(clock),
        eventLog: new MemoryEventLog(),
        random: createSeededRandom(1),
        ...overrides,
    });
    await network.start();
    context.after(() => network.stop());
    return network;
}

/** Waits until a condition holds. Throws after {@link maxWaitMilliseconds}. */
export async function waitUntil(condition: () => boolean, clock: Clock = new SystemClock()): Promise<void> {
    const deadline = clock.monotonicNow() + maxWaitMilliseconds;
    while (!condition()) {
        if (clock.monotonicNow() > deadline) {
            throw new Error(`not reached in time: ${condition.toString()}`);
        }
        await clock.sleepUntil(clock.monotonicNow() + pollIntervalMilliseconds);
    }
}

/** Connects two networks and waits until each has received the other's hello. */
export async function connectNetworks(one: TcpPeerNetwork, other: TcpPeerNetwork): Promise<void> {
    const hellos = Promise.all([nextHello(one), nextHello(other)]);
    one.connect(other.self.peerAddress);
    await hellos;
}

export function nextHello(network: TcpPeerNetwork): Promise<ProcessIdentity> {
    return new Promise(resolve => network.onHello(resolve));
}
