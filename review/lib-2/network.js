// A small network of machines on loopback addresses. Each machine sees all others at addresses of its own, behind which
// proxies carry the bytes, so that single machines can be cut off as by a partition.
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { connect, createServer } from "node:net";

const firstBytes = "127.77";

/** Address of a host as a machine sees it; machine 0 stands for the rows in the store. */
export function viewHost(machine, hostNumber) {
    return `${firstBytes}.${machine}.${hostNumber}`;
}

/** Rewrites the addresses in a text from the view of one machine to that of another. */
export function translate(text, from, to) {
    return text.replaceAll(`${firstBytes}.${from}.`, `${firstBytes}.${to}.`);
}

const machineHost = machine => 200 + machine;
const workerHost = worker => 10 + worker;

/** Returns a port that is free at all given hosts. */
export async function findFreePort(hosts) {
    for (let tries = 0; tries < 200; tries++) {
        const port = 20_000 + Math.floor(Math.random() * 10_000);
        const servers = hosts.map(host => createServer().listen(port, host));
        const opened = await Promise.all(servers.map(server =>
            new Promise(resolve => {
                server.once("listening", () => resolve(true));
                server.once("error", () => resolve(false));
            })
        ));
        await Promise.all(servers.map((server, index) => opened[index] && new Promise(done => server.close(done))));
        if (opened.every(Boolean)) {
            return port;
        }
    }
    throw new Error("no free port");
}

/** Resets a connection, also one that has been ended. */
function reset(socket) {
    if (!socket.destroyed && !socket.writableEnded) {
        socket.resetAndDestroy();
    }
    else {
        socket.destroy();
    }
}

/**
 * Listens at an address and carries each connection to another one. While `isCut()` holds, no byte passes in either
 * direction. What a sender had handed to its kernel before it closed a connection in order passes once the cut has
 * ended, as the kernel would send it again; what it has dropped by a reset does not. A connection that was opened
 * during the cut and closed before its end was never established.
 */
export async function carryConnections({ host, port, target, isCut, rewrite, localAddress, onOpened, onBytes }) {
    const pairs = new Set();
    const accept = near => {
        const openedInCut = isCut();
        const far = connect({ ...target(), ...(localAddress && { localAddress }), allowHalfOpen: true });
        const pair = { near, far };
        pairs.add(pair);
        const carry = (from, to, isOutward) => {
            const held = [];
            let isEnded = false;
            let isFirst = true;
            const flush = () => {
                if (isCut()) {
                    setTimeout(flush, 10).unref();
                    return;
                }
                for (let chunk = held.shift(); chunk; chunk = held.shift()) {
                    const text = isFirst && isOutward && rewrite ? Buffer.from(rewrite(chunk.toString("latin1")), "latin1") : chunk;
                    isFirst = false;
                    to.write(text);
                }
                if (isEnded) {
                    to.end();
                }
            };
            from.on("data", chunk => {
                if (isOutward) {
                    onBytes?.(chunk, pair);
                }
                held.push(chunk);
                flush();
            });
            from.on("end", () => {
                if (from.remoteAddress === undefined) {
                    // A reset that arrives together with the last bytes.
                    held.length = 0;
                    reset(to);
                    return;
                }
                isEnded = true;
                if (openedInCut && isCut() && isOutward) {
                    held.length = 0;
                    reset(from);
                    reset(to);
                    return;
                }
                flush();
            });
            from.on("error", () => {
                held.length = 0;
                reset(to);
            });
            from.on("close", () => pairs.delete(pair));
        };
        onOpened?.(far);
        carry(near, far, true);
        carry(far, near, false);
    };
    const server = createServer({ allowHalfOpen: true, noDelay: true }, accept);
    server.listen(port, host);
    await once(server, "listening");
    const resetAll = () => pairs.forEach(({ near, far }) => (reset(near), reset(far)));
    return {
        port: server.address().port,
        resetAll,
        /** Refuses new connections; open ones stay. */
        refuse: () => void server.close(),
        listenAgain: async () => {
            server.listen(port, host);
            await once(server, "listening");
        },
        close: () => {
            server.close();
            resetAll();
        },
    };
}

/**
 * Creates the network: machines with the given numbers, and workers. `addWorker` makes a worker reachable for all of them.
 */
export async function createNetwork(machines) {
    const cut = new Set();
    const hosts = machines.flatMap(machine => machines.map(other => viewHost(machine, machineHost(other))));
    const ports = {
        callers: await findFreePort(hosts),
        readiness: await findFreePort(hosts),
        peers: await findFreePort(hosts),
    };
    const closers = [];
    const datagramSockets = new Map();
    const socketOf = (machine, other) => datagramSockets.get(`${machine} ${other}`);
    for (const machine of machines) {
        for (const other of machines.filter(number => number !== machine)) {
            const socket = createSocket("udp4");
            socket.bind(ports.peers, viewHost(machine, machineHost(other)));
            await once(socket, "listening");
            datagramSockets.set(`${machine} ${other}`, socket);
            socket.on("message", datagram => {
                if (!cut.has(machine) && !cut.has(other)) {
                    const text = translate(datagram.toString("utf8"), machine, other);
                    socketOf(other, machine).send(text, ports.peers, viewHost(other, machineHost(other)));
                }
            });
            const carried = await carryConnections({
                host: viewHost(machine, machineHost(other)),
                port: ports.peers,
                target: () => ({ host: viewHost(other, machineHost(other)), port: ports.peers }),
                localAddress: viewHost(other, machineHost(machine)),
                isCut: () => cut.has(machine) || cut.has(other),
                rewrite: text => translate(text, machine, other),
            });
            closers.push(() => socket.close(), carried.close);
        }
    }
    return {
        machines,
        ports,
        selfHost: machine => viewHost(machine, machineHost(machine)),
        cutOff: machine => void cut.add(machine),
        heal: machine => void cut.delete(machine),
        isCut: machine => cut.has(machine),
        translation: machine => ({
            inward: text => translate(text, machine, 0),
            outward: text => translate(text, 0, machine),
        }),
        /** Carries the connections of a machine to its store. @returns the port at its host */
        linkStore: async (machine, storePort) => {
            const carried = await carryConnections({
                host: viewHost(machine, machineHost(machine)),
                port: 0,
                target: () => ({ host: "127.0.0.1", port: storePort }),
                isCut: () => cut.has(machine),
            });
            closers.push(carried.close);
            return carried;
        },
        /**
         * Carries connections to a worker's port on 127.0.0.1.
         * @returns its address as rows in the store have it, and the link of each machine
         */
        addWorker: async (number, port, { onOpened, onBytes, isHeld = () => false } = {}) => {
            const shared = await findFreePort(machines.map(machine => viewHost(machine, workerHost(number))));
            const links = new Map();
            for (const machine of machines) {
                links.set(
                    machine,
                    await carryConnections({
                        host: viewHost(machine, workerHost(number)),
                        port: shared,
                        target: () => ({ host: "127.0.0.1", port }),
                        isCut: () => cut.has(machine) || isHeld(machine),
                        onOpened: far => onOpened?.(far, machine),
                        onBytes: (chunk, pair) => onBytes?.(chunk, machine, pair),
                    }),
                );
            }
            closers.push(() => links.forEach(link => link.close()));
            return { address: `${viewHost(0, workerHost(number))}:${shared}`, links };
        },
        close: () => closers.forEach(close => close()),
    };
}
