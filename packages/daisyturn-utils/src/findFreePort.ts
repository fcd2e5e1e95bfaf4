import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** Finds a port of the host at which nothing listens. The port is closed again before this returns. */
export async function findFreePort(host: string): Promise<number> {
    const server = createServer().listen(0, host);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
