/**
 * How a peer answers a request for a tunnel to a target: the HTTP status of its answer to CONNECT. The path of the
 * request is the target's address (host:port), and after `Open` the connection carries the bytes of both sides.
 */
export enum TunnelAnswer {
    Open = 200,
    /** The sender is not registered as a process of the fleet, or no listed target has the address. */
    Forbidden = 403,
    /** The target refuses connections, and the peer reaches other targets. */
    TargetRefused = 502,
    /** The peer takes no tunnels at present, or its own links to targets may be at fault. */
    Unavailable = 503,
    /** The target does not answer, and the peer reaches other targets. */
    TargetUnanswered = 504,
}

const answers: ReadonlySet<number> = new Set(Object.values(TunnelAnswer).filter(value => typeof value === "number"));

/** Returns the answer with a status; an unknown status, for instance of a later version, means `Unavailable`. */
export function readTunnelAnswer(status: number | undefined): TunnelAnswer {
    return status !== undefined && answers.has(status) ? status : TunnelAnswer.Unavailable;
}
