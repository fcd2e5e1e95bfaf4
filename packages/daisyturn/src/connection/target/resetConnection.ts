import { Socket } from "node:net";
import type { Duplex } from "node:stream";

/**
 * Breaks a connection off, so that bytes that are not delivered yet are dropped. After an orderly close, the kernel would
 * still deliver them, and the other side would learn of the close only after the last one.
 * @param stream a TCP connection, or one that a peer carries
 */
export function resetConnection(stream: Duplex): void {
    // Node.js 20 can't reset a connection on which `end` was called, and would leave its handle open.
    if (stream instanceof Socket && !stream.writableEnded && !stream.destroyed) {
        stream.resetAndDestroy();
    }
    else {
        stream.destroy();
    }
}

/**
 * Resets a connection when it is destroyed with an error, as HTTP clients do when a request is aborted.
 * @param stream what the client uses: `connection` itself, or a layer over it
 */
export function resetOnError(stream: Duplex, connection: Duplex): void {
    const destroy = stream.destroy.bind(stream);
    stream.destroy = error => {
        // resetAndDestroy calls destroy without an error.
        stream.destroy = () => destroy(error);
        if (error) {
            resetConnection(connection);
        }
        return destroy(error);
    };
}
