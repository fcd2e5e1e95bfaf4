import type { Server } from "node:net";
import type { ListenAddress } from "./caller/callerServerOptions.js";

/**
 * Opens a server's port. Rejects if it can't be opened.
 * @param backlog maximum number of connections that wait to be accepted; the system's default if absent
 */
export function listenAt(server: Server, { address, port }: ListenAddress, backlog?: number): Promise<void> {
    return new Promise((resolve, reject) => {
        const finish = (settle: () => void) => {
            server.off("error", handleError).off("listening", handleListening);
            settle();
        };
        const handleError = (error: Error) => finish(() => reject(error));
        const handleListening = () => finish(resolve);
        server.on("error", handleError).on("listening", handleListening);
        server.listen({ port, host: address, backlog });
    });
}
