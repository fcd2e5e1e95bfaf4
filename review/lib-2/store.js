// A stand-in for the platform's store: rows, transactions and the feed of changes, as PROTOCOL.md describes them.
import { createServer } from "node:http";

const maxWaitMilliseconds = 30_000;
/** "A call holds at most 100 entries and at most 1 MB." */
const maxEntries = 100;
const maxBytes = 1_000_000;

/** Returns the name under which a row is kept. */
function nameRow({ table, part = "", key }) {
    return JSON.stringify([table, part, key]);
}

/**
 * Creates the rows of one store, without a server.
 * @param uptimeMilliseconds what its clock shows already
 */
export function createStore(uptimeMilliseconds = 0) {
    const rows = new Map();
    const history = [];
    const waiting = new Set();
    const startedAt = performance.now() - uptimeMilliseconds;
    let version = 0;
    let answerMilliseconds = 4;

    const write = (row, value) => {
        const { table, part = "", key } = row;
        const stored = value === undefined
            ? { table, part, key, ver: version, tombstone: true }
            : { table, part, key, value, ver: version };
        history.push(stored);
        if (value === undefined) {
            rows.delete(nameRow(row));
        }
        else {
            rows.set(nameRow(row), stored);
        }
    };
    const wake = () => [...waiting].forEach(resume => resume());

    const transact = ({ expectedRev = [], puts = [], remove = [] }) => {
        if (expectedRev.length + puts.length + remove.length > maxEntries) {
            return { status: 400 };
        }
        const failed = expectedRev.filter(row => (rows.get(nameRow(row))?.ver ?? 0) !== row.ver);
        if (failed.length > 0) {
            return { status: 412, rows: failed.flatMap(row => rows.get(nameRow(row)) ?? []) };
        }
        version += 1;
        puts.forEach(row => write(row, row.value));
        remove.forEach(row => write(row, undefined));
        wake();
        return { status: 200 };
    };

    const list = query => {
        const from = query.get("from") ?? "";
        const to = query.get("to") ?? "\u{10ffff}";
        const limit = Math.min(500, Number(query.get("limit") ?? 500));
        const found = [...rows.values()]
            .filter(row => row.table === query.get("table") && row.part === (query.get("part") ?? ""))
            .filter(row => row.key >= from && row.key < to)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return { status: 200, rows: found.slice(0, limit), morePages: found.length > limit };
    };

    const follow = async query => {
        const after = Number(query.get("after"));
        const wait = Math.min(maxWaitMilliseconds, Number(query.get("waitMs") ?? 0));
        const deadline = performance.now() + wait;
        for (;;) {
            if (after > version) {
                return { status: 410 };
            }
            const changed = history.filter(row => row.table === query.get("table") && row.ver > after);
            if (changed.length > 0 || performance.now() >= deadline) {
                return { status: 200, rows: changed };
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

    const listParts = query => {
        const parts = [...rows.values()].filter(row => row.table === query.get("table")).map(row => row.part);
        return { status: 200, parts: [...new Set(parts)].sort(), morePages: false };
    };

    return {
        /** Answers one call. */
        handle: async (method, url, body) => {
            const { pathname, searchParams } = new URL(url, "http://store");
            const answer = pathname === "/api/rows-tx"
                ? transact(JSON.parse(body))
                : pathname === "/api/rows-get"
                ? list(searchParams)
                : pathname === "/api/rows-feed"
                ? await follow(searchParams)
                : pathname === "/api/rows-parts"
                ? listParts(searchParams)
                : { status: 404 };
            const { status, ...fields } = answer;
            return { status, body: { ver: version, nowMs: Math.round(performance.now() - startedAt), ...fields } };
        },
        /** Writes a row of the operator or of a worker. */
        put: (table, key, value) =>
            transact({ puts: [{ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }] }),
        remove: (table, key) => transact({ remove: [{ table, key }] }),
        /** Returns the value of a row; undefined if there is none. */
        setAnswerTime: milliseconds => {
            answerMilliseconds = milliseconds;
        },
        answerTime: () => answerMilliseconds,
        read: (table, key) => {
            const row = rows.get(nameRow({ table, key }));
            return row && JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
        },
        list: table => [...rows.values()].filter(row => row.table === table),
    };
}

/**
 * Serves a store at an address.
 * @param translate rewrites the text of values: `inward` for what is written, `outward` for what is read
 */
export async function serveStore(store, host, port, translate = { inward: text => text, outward: text => text }) {
    const rewrite = (row, change) =>
        row.value === undefined
            ? row
            : { ...row, value: Buffer.from(change(Buffer.from(row.value, "base64").toString("utf8"))).toString("base64") };
    const server = createServer(async (incoming, outgoing) => {
        const pieces = [];
        try {
            for await (const piece of incoming) {
                pieces.push(piece);
            }
        }
        catch {
            return;
        }
        let body = Buffer.concat(pieces).toString("utf8");
        if (incoming.method === "POST") {
            if (body.length > maxBytes) {
                outgoing.writeHead(400);
                outgoing.end("{}");
                return;
            }
            const call = JSON.parse(body);
            call.puts = (call.puts ?? []).map(row => rewrite(row, translate.inward));
            body = JSON.stringify(call);
        }
        const answer = await store.handle(incoming.method, incoming.url, body);
        await new Promise(resolve => setTimeout(resolve, store.answerTime()));
        if (answer.body.rows) {
            answer.body.rows = answer.body.rows.map(row => rewrite(row, translate.outward));
        }
        outgoing.writeHead(answer.status, { "Content-Type": "application/json" });
        outgoing.end(JSON.stringify(answer.body));
    });
    server.keepAliveTimeout = 60_000;
    server.listen(port, host);
    await new Promise(resolve => server.once("listening", resolve));
    return {
        port: server.address().port,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
