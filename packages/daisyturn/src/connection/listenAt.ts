import type { Server } from "node:net";
import type { ListenAddress } from "./caller/callerServerOptions.js";

/**
 * Opens a server's port; rejects where it can't be opened.
 * @param backlog connections that wait to be taken; the system's own number if absent
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
