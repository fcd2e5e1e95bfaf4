import type { Socket } from "node:net";

/**
 * Whether the other side has reset a connection whose socket emits `end`. Node.js reports a reset that arrives together
 * with the last bytes as an end; the socket has no remote address then.
 */
export function isReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}
