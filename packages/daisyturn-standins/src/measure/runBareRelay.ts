import { pipeline } from "node:stream/promises";
import { Agent, request } from "undici";
import { listenHttp } from "../httpListener.js";
import { runUntilTerminated } from "../runUntilTerminated.js";

// A minimal proxy for comparison with an entry process: it forwards bytes to the URL in a header and does nothing else.
// Its added latency is the cost of one more process on the path, a lower bound for that of the entry process.

const dispatcher = new Agent({ pipelining: 1 });

await runUntilTerminated(() =>
    listenHttp("127.0.0.1", 0, async (incoming, outgoing) => {
        const { "x-target": target, "content-type": type, "x-call-id": callId } = incoming.headers;
        const answer = await request(String(target), {
            method: incoming.method === "POST" ? "POST" : "GET",
            dispatcher,
            headers: {
                ...type !== undefined && { "content-type": type },
                ...callId !== undefined && { "x-call-id": callId },
            },
            body: incoming.method === "POST" ? incoming : undefined,
        });
        outgoing.writeHead(answer.statusCode);
        await pipeline(answer.body, outgoing);
    })
);
