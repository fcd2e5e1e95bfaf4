import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** A port of the host that nothing listens at; it is let go before it is returned. */
export async function findFreePort(host: string): Promise<number> {
    const server = createServer().listen(0, host);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
