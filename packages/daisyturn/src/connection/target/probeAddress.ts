import { connect } from "node:net";
import { splitAddress } from "./splitAddress.js";

/** What became of an attempt to open a connection. */
export enum ProbeResult {
    Accepted = "accepted",
    /** Nothing listens at the address. */
    Refused = "refused",
    /** No answer, or an error that does not tell whether anything listens there. */
    Unknown = "unknown",
    /** Nothing shows whether the target or the links to it are at fault. */
    LinkLost = "link_lost",
}

/** A connection is opened within a few milliseconds; a lost first packet is sent again after a second. */
const probeTimeoutMilliseconds = 400;

/** Opens a connection to an address (host:port) and closes it at once. */
export function probeAddress(address: string): Promise<ProbeResult> {
    const [host, port] = splitAddress(address);
    return new Promise(resolve => {
        const socket = connect({ host, port });
        const finish = (result: ProbeResult) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(result);
        };
        const timer = setTimeout(() => finish(ProbeResult.Unknown), probeTimeoutMilliseconds);
        socket.once("connect", () => finish(ProbeResult.Accepted));
        socket.once(
            "error",
            (error: Error & { code?: string; }) =>
                finish(error.code === "ECONNREFUSED" ? ProbeResult.Refused : ProbeResult.Unknown),
        );
    });
}
