import { type Clock, type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { err, ok, type Result } from "true-myth/result";
import { DialPlan, type LinkFailure, type Relays, type TargetLinks } from "../../process/forwarding/index.js";
import { openThroughPeers, type OpenTunnel } from "../tunnel/openThroughPeers.js";
import { createReachCheck } from "./createReachCheck.js";
import { openSocket } from "./openSocket.js";
import { probeAddress, ProbeResult } from "./probeAddress.js";

/** An open connection to a target. */
export interface DialedConnection<Stream extends Duplex = Socket> {
    readonly socket: Stream;
    /** The peer that carries the connection; undefined for a direct one. */
    readonly relayId?: string;
}

/**
 * Opens connections to targets: directly, or by way of a peer where the link of this process is lost. `Stream` is the
 * type of what peers carry.
 */
export interface TargetDialer<Stream extends Duplex = Socket> {
    /**
     * @returns a failure with reason `LinkFailed` if nothing shows that the target is at fault, and else `TargetFailed`
     */
    dial(address: string): Promise<Result<DialedConnection<Stream | Socket>, Failure>>;
    /** Tries a lost link again, if that is due. */
    retryLink(address: string): void;
    /** Finds out whether anything listens at an address. A refusal must be confirmed by peers, if there are any. */
    probe(address: string): Promise<ProbeResult>;
    /** Finds out whether a peer that carries connections is still there. */
    probePeer(peerId: string): Promise<ProbeResult>;
}

/** What {@link createTargetDialer} needs. */
export interface TargetDialerOptions<Stream extends Duplex = Socket> {
    readonly links: TargetLinks;
    readonly relays: Relays;
    readonly openTunnel: OpenTunnel<Stream>;
    readonly clock: Clock;
    /** Replaces direct connections in tests. */
    readonly open?: typeof openSocket;
}

/**
 * Round trips take a few milliseconds. A lost first packet is retransmitted only after a second, and by then another
 * target would have answered.
 */
const connectTimeoutMilliseconds = 400;
/** Longer than a few round trips between regions. */
const relayDelayMilliseconds = 100;

/** Creates the dialer of one process. */
export function createTargetDialer<Stream extends Duplex = Socket>(
    options: TargetDialerOptions<Stream>,
): TargetDialer<Stream> {
    const { links, relays, openTunnel, clock, open = openSocket } = options;

    const reachesOthers = createReachCheck(links, clock, open);

    const openDirect = async (address: string, deadline: number): Promise<Result<DialedConnection, LinkFailure>> => {
        const opened = await open(address, { deadline, clock });
        if (opened.isOk) {
            links.recordOpened(address);
        }
        else {
            links.recordFailure(address, opened.error);
        }
        return opened.map(socket => ({ socket }));
    };

    const openRelayed = (address: string, deadline: number, signal?: AbortSignal) =>
        openThroughPeers({ relays, openTunnel, address, deadline, clock, signal });

    /** Whether the target, and not a link, is at fault for a failure, by what peers found or by the other links. */
    const isTargetFault = (address: string, found: ProbeResult) =>
        found !== ProbeResult.LinkLost || !relays.hasPeers()
        || (!links.isLost(address) && links.hasOpenedSinceFailure(address));

    const createFailure = (address: string, direct: LinkFailure | undefined, found: ProbeResult): Failure => {
        if (direct) {
            links.recordNoWay(address, direct.isRefused);
        }
        const message = direct?.message ?? "no peer reaches the target";
        if (isTargetFault(address, found)) {
            return notRun(FailureReason.TargetFailed, `The connection failed: ${message}.`);
        }
        return notRun(FailureReason.LinkFailed, `No way to the target was found: ${message}.`);
    };

    /** Uses the connection that is opened first, and closes the other one. */
    const race = async (
        address: string,
        deadline: number,
        direct?: Promise<Result<DialedConnection, LinkFailure>>,
    ): Promise<Result<DialedConnection<Stream | Socket>, Failure>> => {
        const controller = new AbortController();
        const relayed = openRelayed(address, deadline, controller.signal);
        const attempts: readonly Promise<Result<DialedConnection<Stream | Socket>, unknown>>[] = direct
            ? [direct, relayed]
            : [relayed];
        const first = await findFirstOpened(attempts);
        if (!first) {
            const found = (await relayed).match({ Ok: () => ProbeResult.Accepted, Err: failure => failure.found });
            return err(
                createFailure(address, (await direct)?.match({ Ok: () => undefined, Err: failure => failure }), found),
            );
        }
        controller.abort();
        attempts.forEach(attempt => void attempt.then(opened => closeUnused(opened, first)));
        if (first.relayId !== undefined) {
            void direct?.then(opened => opened.isErr && links.recordLost(address));
        }
        return ok(first);
    };

    const dial = async (address: string): Promise<Result<DialedConnection<Stream | Socket>, Failure>> => {
        const plan = links.planDial(address);
        if (plan === DialPlan.None) {
            return err(notRun(FailureReason.LinkFailed, "No way to the target was found a moment ago."));
        }
        const deadline = clock.monotonicNow() + connectTimeoutMilliseconds;
        const direct = plan === DialPlan.Relay ? undefined : openDirect(address, deadline);
        if (direct && plan === DialPlan.Direct) {
            const opened = await waitFor(direct, relayDelayMilliseconds);
            if (opened?.isOk) {
                return ok(opened.value);
            }
        }
        return race(address, deadline, direct);
    };

    const probe = async (address: string): Promise<ProbeResult> => {
        const isLost = links.isLost(address);
        const found = isLost ? ProbeResult.LinkLost : await probeAddress(address);
        if (found === ProbeResult.Accepted || !relays.hasPeers()) {
            return found;
        }
        links.recordFailure(address, { isRefused: found === ProbeResult.Refused, message: found });
        const relayed = await openRelayed(address, clock.monotonicNow() + connectTimeoutMilliseconds);
        if (relayed.isOk) {
            relayed.value.socket.destroy();
            return ProbeResult.Accepted;
        }
        if (relayed.error.found !== ProbeResult.LinkLost) {
            return relayed.error.found;
        }
        // Peers don't connect to a target that is no longer listed.
        return !isLost && await reachesOthers(address) ? found : ProbeResult.LinkLost;
    };

    return {
        dial,
        retryLink: address => {
            if (links.isLost(address) && links.planDial(address) === DialPlan.Both) {
                void openDirect(address, clock.monotonicNow() + connectTimeoutMilliseconds).then(opened => {
                    if (opened.isOk) {
                        opened.value.socket.destroy();
                    }
                    else {
                        links.recordLost(address);
                    }
                });
            }
        },
        probe,
        probePeer: async peerId => {
            const peer = relays.find(peerId);
            return peer ? probeAddress(`${peer.host}:${peer.port}`) : ProbeResult.Unknown;
        },
    };
}

/** Returns the connection that is opened first; undefined once all attempts have failed. */
async function findFirstOpened<Connection>(
    attempts: readonly Promise<Result<Connection, unknown>>[],
): Promise<Connection | undefined> {
    const opened = attempts.map(async attempt => (await attempt).unwrapOrElse(() => Promise.reject(notOpened)));
    return Promise.any(opened).catch(() => undefined);
}

const notOpened = new Error("not opened");

function closeUnused(opened: Result<DialedConnection<Duplex>, unknown>, used: DialedConnection<Duplex>): void {
    if (opened.isOk && opened.value !== used) {
        opened.value.socket.destroy();
    }
}

/**
 * Returns the result of an attempt, or undefined after a time. Events that arrived while the process was busy are
 * handled first, so that a late timer does not hide a connection that is already open.
 */
function waitFor<Value>(attempt: Promise<Value>, milliseconds: number): Promise<Value | undefined> {
    return new Promise(resolve => {
        const timer = setTimeout(() => setImmediate(() => resolve(undefined)), milliseconds);
        void attempt.then(value => {
            clearTimeout(timer);
            resolve(value);
        });
    });
}
