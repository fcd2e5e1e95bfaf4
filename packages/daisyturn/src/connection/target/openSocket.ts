import type { Clock } from "daisyturn-utils";
import { connect, type Socket } from "node:net";
import { err, ok, type Result } from "true-myth/result";
import type { LinkFailure } from "../../process/forwarding/index.js";
import { splitAddress } from "./splitAddress.js";

/** Options of {@link openSocket}. */
export interface OpenSocketOptions {
    /** Monotonic time after which the attempt is abandoned. */
    readonly deadline: number;
    readonly clock: Clock;
    readonly signal?: AbortSignal;
}

/** Opens a TCP connection to an address (host:port). */
export function openSocket(
    address: string,
    { deadline, clock, signal }: OpenSocketOptions,
): Promise<Result<Socket, LinkFailure>> {
    const [host, port] = splitAddress(address);
    return new Promise(resolve => {
        let isSettled = false;
        const socket = connect({ host, port, noDelay: true });
        const finish = (result: Result<Socket, LinkFailure>) => {
            isSettled = true;
            clearTimeout(timer);
            socket.off("error", handleError);
            signal?.removeEventListener("abort", abandon);
            resolve(result);
        };
        const abort = (message: string) => {
            if (isSettled) {
                return;
            }
            finish(err({ isRefused: false, message }));
            socket.once("error", () => undefined);
            socket.destroy();
        };
        const abandon = () => abort("abandoned");
        const handleError = (error: Error & { code?: string; }) =>
            finish(err({ isRefused: error.code === "ECONNREFUSED", message: error.code ?? error.message }));
        // Where the process was busy, a connection that is already open is noticed before the timeout takes effect.
        const expire = () => setImmediate(() => abort("connect timeout"));
        const timer = setTimeout(expire, Math.max(0, deadline - clock.monotonicNow()));
        socket.once("error", handleError);
        socket.once("connect", () => finish(ok(socket)));
        if (signal?.aborted) {
            abandon();
        }
        signal?.addEventListener("abort", abandon, { once: true });
    });
}
