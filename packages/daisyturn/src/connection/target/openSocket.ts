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
        const socket = connect({ host, port, noDelay: true });
        const finish = (result: Result<Socket, LinkFailure>) => {
            clearTimeout(timer);
            socket.off("error", handleError);
            signal?.removeEventListener("abort", abandon);
            resolve(result);
        };
        const abort = (message: string) => {
            finish(err({ isRefused: false, message }));
            socket.once("error", () => undefined);
            socket.destroy();
        };
        const abandon = () => abort("abandoned");
        const handleError = (error: Error & { code?: string; }) =>
            finish(err({ isRefused: error.code === "ECONNREFUSED", message: error.code ?? error.message }));
        const timer = setTimeout(() => abort("connect timeout"), Math.max(0, deadline - clock.monotonicNow()));
        socket.once("error", handleError);
        socket.once("connect", () => finish(ok(socket)));
        if (signal?.aborted) {
            abandon();
        }
        signal?.addEventListener("abort", abandon, { once: true });
    });
}
