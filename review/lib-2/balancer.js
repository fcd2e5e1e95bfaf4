// The platform's forwarding of new connections: it asks each node of a zone once a second whether it is ready.
import { probe } from "./entries.js";

const probeMilliseconds = 1_000;
const missesUntilOut = 2;

/** Starts the probes. `pick` returns a node for a new connection, by the rules of PROTOCOL.md. */
export function startBalancer({ nodes, port, record }) {
    const misses = new Map(nodes.map(node => [node, 0]));
    const ask = async node => {
        const isReady = await probe(node.host, port) === 200;
        const before = misses.get(node);
        misses.set(node, isReady ? 0 : before + 1);
        if (!isReady && before + 1 === missesUntilOut) {
            record(`${node.name} receives no new connections`);
        }
        if (isReady && before >= missesUntilOut) {
            record(`${node.name} receives new connections again`);
        }
    };
    const timers = nodes.map(node => setInterval(() => void ask(node), probeMilliseconds));
    return {
        pick: () => {
            const inRotation = nodes.filter(node => misses.get(node) < missesUntilOut);
            const used = inRotation.length * 2 < nodes.length ? nodes : inRotation;
            return used[Math.floor(Math.random() * used.length)];
        },
        close: () => timers.forEach(clearInterval),
    };
}
