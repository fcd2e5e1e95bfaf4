// A small stand-in for the platform's store: rows in memory, transactions under conditions, and a feed of changes.
import { once } from "node:events";
import { createServer } from "node:http";

const nameOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);

/**
 * Starts the store at a loopback address, with a further port for each process, so that it knows who calls.
 * @param onRows gets the caller's number and the rows of an answer
 */
export async function startStore(host, callers = 1, onRows = () => undefined) {
    const rows = new Map();
    const history = [];
    const waiting = new Set();
    const sockets = new Set();
    const startedAt = performance.now();
    let version = 0;
    let era = 1;
    let isAway = false;

    const write = ({ table, part = "", key }, value) => {
        const row = { table, part, key, ver: version, ...(value === undefined ? { tombstone: true } : { value }) };
        history.push(row);
        if (value === undefined) {
            rows.delete(nameOf(row));
        }
        else {
            rows.set(nameOf(row), row);
        }
    };
    const wake = () => [...waiting].forEach(resume => resume());
    const send = (outgoing, status, body) => {
        const text = JSON.stringify({ ver: version, nowMs: Math.round(performance.now() - startedAt), ...body });
        if (isAway) {
            outgoing.destroy();
            return;
        }
        const length = Buffer.byteLength(text);
        outgoing.writeHead(status, { "Content-Type": "application/json", "Content-Length": length, "Store-Era": era });
        outgoing.end(text);
        onRows(outgoing.caller, body.rows ?? []);
    };

    const transact = (outgoing, { expectedRev = [], puts = [], remove = [] }) => {
        const failed = expectedRev.filter(row => (rows.get(nameOf(row))?.ver ?? 0) !== row.ver);
        if (failed.length > 0) {
            send(outgoing, 412, { rows: failed.flatMap(row => rows.get(nameOf(row)) ?? []) });
            return;
        }
        version += 1;
        puts.forEach(row => write(row, row.value));
        remove.forEach(row => write(row, undefined));
        wake();
        send(outgoing, 200, {});
    };

    const get = (outgoing, query) => {
        const [from, to, limit] = [query.get("from") ?? "", query.get("to"), Number(query.get("limit") ?? 500)];
        const found = [...rows.values()]
            .filter(row => row.table === query.get("table") && row.part === (query.get("part") ?? ""))
            .filter(row => row.key >= from && (to === null || row.key < to))
            .sort((left, right) => left.key < right.key ? -1 : 1);
        send(outgoing, 200, { rows: found.slice(0, limit), morePages: found.length > limit });
    };

    const feed = async (outgoing, query) => {
        const after = Number(query.get("after"));
        const deadline = performance.now() + Number(query.get("waitMs") ?? 0);
        for (;;) {
            if (after > version) {
                send(outgoing, 410, {});
                return;
            }
            const changed = history.filter(row => row.table === query.get("table") && row.ver > after);
            if (changed.length > 0 || performance.now() >= deadline) {
                send(outgoing, 200, { rows: changed });
                return;
            }
            await new Promise(resolve => {
                const resume = () => {
                    clearTimeout(timer);
                    waiting.delete(resume);
                    resolve();
                };
                const timer = setTimeout(resume, Math.max(1, deadline - performance.now()));
                waiting.add(resume);
            });
        }
    };

    const handle = async (incoming, outgoing) => {
        const url = new URL(incoming.url, "http://store");
        let body = "";
        for await (const chunk of incoming) {
            body += chunk;
        }
        if (isAway) {
            outgoing.destroy();
            return;
        }
        if (url.pathname === "/api/rows-tx") {
            transact(outgoing, JSON.parse(body));
        }
        else if (url.pathname === "/api/rows-get") {
            get(outgoing, url.searchParams);
        }
        else if (url.pathname === "/api/rows-feed") {
            await feed(outgoing, url.searchParams);
        }
        else {
            send(outgoing, 404, {});
        }
    };

    const listen = async caller => {
        const server = createServer((incoming, outgoing) => {
            outgoing.caller = caller;
            void handle(incoming, outgoing).catch(() => outgoing.destroy());
        });
        server.on("connection", socket => {
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        });
        server.listen(0, host);
        await once(server, "listening");
        return server;
    };
    const servers = await Promise.all(Array.from({ length: callers }, (value, caller) => listen(caller)));
    const change = (row, value) => {
        version += 1;
        write(row, value);
        wake();
    };
    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    return {
        addresses: servers.map(server => `${host}:${server.address().port}`),
        /** Writes of workers and of the operator; while the store is away, they are lost. */
        put: (table, key, value) => isAway || change({ table, key }, encode(value)),
        remove: (table, key) => isAway || change({ table, key }, undefined),
        rows: table => [...rows.values()].filter(row => row.table === table),
        copy: () => ({ rows: [...rows], history: [...history], version }),
        /** Goes away: open connections are closed, and new ones get no answer. */
        leave: () => {
            isAway = true;
            sockets.forEach(socket => socket.destroy());
        },
        /** Comes back from a copy. */
        restore: copy => {
            rows.clear();
            copy.rows.forEach(([name, row]) => rows.set(name, row));
            history.splice(0, history.length, ...copy.history);
            version = copy.version;
            era += 1;
            isAway = false;
            wake();
        },
        close: () =>
            servers.forEach(server => {
                server.close();
                server.closeAllConnections();
            }),
    };
}
