import type { Server } from "node:net";
import type { ListenAddress } from "./caller/callerServerOptions.js";

/**
 * Opens a server's port. Rejects if it can't be opened.
 * @param backlog maximum number of connections that wait to be accepted; the system's default if absent
 */
export function listenAt(server: Server, { address, port }: ListenAddress, backlog?: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ port, host: address, backlog }, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
