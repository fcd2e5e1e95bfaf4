import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import { test } from "node:test";
import { listenAt } from "../listenAt.js";

const attempts = 20;

// Guards against memory that grows with each try while another socket has the port.
test("a failed try leaves no listener behind, and a later one opens the port", async () => {
    const address = "127.0.0.1";
    const holder = createServer().listen(0, address).unref();
    await once(holder, "listening");
    const { port } = holder.address() as { port: number; };
    const server = createServer().unref();
    for (let attempt = 0; attempt < attempts; attempt++) {
        await assert.rejects(listenAt(server, { address, port }));
    }
    assert.equal(server.listenerCount("listening") + server.listenerCount("error"), 0);
    holder.close();
    await once(holder, "close");
    await listenAt(server, { address, port });
    server.close();
});
