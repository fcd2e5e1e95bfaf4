import type { Clock } from "daisyturn-utils";
import type { Socket } from "node:net";
import { isReset } from "../target/isReset.js";
import { resetConnection } from "../target/resetConnection.js";

/** A connection of a peer that is carried to a target. */
export interface Tunnel {
    /** Starts to carry bytes. @param head bytes that the peer has already sent */
    start(head: Buffer): void;
    /** Whether no call is under way: the target sent the last bytes, some time ago. */
    isIdle(): boolean;
    close(): void;
}

/** Options of {@link createTunnel}. */
export interface TunnelOptions {
    readonly client: Socket;
    readonly target: Socket;
    readonly clock: Clock;
    readonly onClosed: () => void;
}

/**
 * Longer than callers wait for the next piece of an answer, as silence does not tell an unused tunnel from a target that
 * pauses. Peers close an unused tunnel sooner.
 */
const idleMilliseconds = 3_000;
/** Longer than a call lasts without a byte of its answer. */
const silenceMilliseconds = 60_000;
/** Bytes of a request that wait for a target. Most requests are shorter; all tunnels together hold up to 64 MiB. */
const maxHeldBytes = 128 * 1024;

/** Creates a tunnel between two open connections. A side that reads slowly holds back the other. */
export function createTunnel({ client, target, clock, onClosed }: TunnelOptions): Tunnel {
    let isAwaitingAnswer = true;
    /** Whether bytes of a request were carried of which the target has not answered any. */
    let isUnanswered = false;
    let isTargetEnded = false;
    let lastBytesAt = clock.monotonicNow();

    const carry = (from: Socket, to: Socket) => {
        from.on("data", chunk => {
            isAwaitingAnswer = from === client;
            isUnanswered = isAwaitingAnswer;
            lastBytesAt = clock.monotonicNow();
            // The close of a peer is not seen while its connection is paused.
            if (!to.write(chunk) && (to === client || to.writableLength > maxHeldBytes)) {
                from.pause();
            }
        });
        to.on("drain", () => from.resume());
    };

    /** The end of an answer without a length must not be taken for its close by this process. */
    const close = () => {
        if (isTargetEnded || client.writableEnded) {
            client.destroy();
        }
        else {
            client.resetAndDestroy();
        }
        if (isUnanswered && !isTargetEnded) {
            // The peer has abandoned its call, of which the kernel may hold bytes.
            resetConnection(target);
        }
        else {
            target.destroy();
        }
        onClosed();
    };
    /** A broken connection must not look like one that was closed after its last byte. */
    const reset = (other: Socket) => {
        resetConnection(other);
        close();
    };

    return {
        start: head => {
            client.setNoDelay(true);
            client.setTimeout(silenceMilliseconds, close);
            // A peer that closes its connection has abandoned its call, so the target must see that at once.
            client.on("end", close);
            client.on("close", close);
            client.on("error", () => reset(target));
            target.on("end", () => {
                if (isReset(target)) {
                    reset(client);
                    return;
                }
                isTargetEnded = true;
                client.end();
            });
            target.on("close", () => client.end());
            target.on("error", () => reset(client));
            carry(client, target);
            carry(target, client);
            if (head.length > 0) {
                isUnanswered = true;
                target.write(head);
            }
        },
        isIdle: () => !isAwaitingAnswer && clock.monotonicNow() - lastBytesAt > idleMilliseconds,
        close,
    };
}
