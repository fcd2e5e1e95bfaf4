import type { Clock } from "daisyturn-utils";
import type { Duplex } from "node:stream";
import { err, ok, type Result } from "true-myth/result";
import type { RegisteredPeer } from "../../ports/peerRegistry.js";
import type { Relays } from "../../process/forwarding/index.js";
import { ProbeResult } from "../target/probeAddress.js";
import { TunnelAnswer } from "./tunnelAnswer.js";

/** A connection to a target that a peer carries. */
export interface RelayedConnection<Stream extends Duplex> {
    readonly socket: Stream;
    readonly relayId: string;
}

/**
 * Opens a connection to a target (host:port) by way of a peer.
 * @param signal aborts the attempt; an open connection is not affected
 * @returns a stream that carries the target's bytes; or the answer of the peer, undefined if it could not be reached
 */
export type OpenTunnel<Stream extends Duplex> = (
    peer: RegisteredPeer,
    address: string,
    signal: AbortSignal,
) => Promise<Result<Stream, TunnelAnswer | undefined>>;

/** Why no peer opened a connection. */
export interface RelayFailure {
    /** What peers that reach other targets found at this one; `LinkLost` if none of them could tell. */
    readonly found: ProbeResult;
}

/** Options of {@link openThroughPeers}. */
export interface OpenThroughPeersOptions<Stream extends Duplex> {
    readonly relays: Relays;
    readonly openTunnel: OpenTunnel<Stream>;
    /** Address of the target (host:port). */
    readonly address: string;
    /** Monotonic time. */
    readonly deadline: number;
    readonly clock: Clock;
    readonly signal?: AbortSignal;
}

/** A peer answers within a few round trips, so another one is asked after this time. */
const nextPeerMilliseconds = 75;
/** Peers asked for one connection. */
const maxPeers = 8;
/** One peer may not yet know that its own links are lost. */
const findingsNeeded = 2;

/** Asks peers, one after the other, to open a connection to a target. The first one that is opened is used. */
export function openThroughPeers<Stream extends Duplex>(
    options: OpenThroughPeersOptions<Stream>,
): Promise<Result<RelayedConnection<Stream>, RelayFailure>> {
    const { relays, openTunnel, address, deadline, clock, signal } = options;
    const peers = relays.list(address).slice(0, maxPeers);
    const attempts = new AbortController();
    const findings: ProbeResult[] = [];
    const waiting = new Set<string>();
    let asked = 0;
    let nextPeer: NodeJS.Timeout | undefined;

    return new Promise(resolve => {
        const finish = (result: Result<RelayedConnection<Stream>, RelayFailure>) => {
            clearTimeout(nextPeer);
            clearTimeout(limit);
            signal?.removeEventListener("abort", fail);
            resolve(result);
            attempts.abort();
        };
        const fail = () => finish(err({ found: findings[0] ?? ProbeResult.LinkLost }));

        const ask = () => {
            clearTimeout(nextPeer);
            const peer = peers[asked++];
            if (!peer) {
                if (waiting.size === 0) {
                    fail();
                }
                return;
            }
            const { peerId } = peer;
            waiting.add(peerId);
            nextPeer = setTimeout(ask, nextPeerMilliseconds);
            void openTunnel(peer, address, attempts.signal).then(opened => {
                waiting.delete(peerId);
                if (attempts.signal.aborted) {
                    opened.map(socket => socket.destroy());
                    return;
                }
                if (opened.isOk) {
                    relays.recordOpened(peerId, address);
                    finish(ok({ socket: opened.value, relayId: peerId }));
                    return;
                }
                recordFailure(peerId, opened.error);
                if (findings.length >= findingsNeeded) {
                    fail();
                }
                else {
                    ask();
                }
            });
        };

        const recordFailure = (peerId: string, answer: TunnelAnswer | undefined) => {
            if (answer === undefined) {
                relays.recordUnreachable(peerId);
            }
            else if (answer === TunnelAnswer.TargetRefused || answer === TunnelAnswer.TargetUnanswered) {
                findings.push(answer === TunnelAnswer.TargetRefused ? ProbeResult.Refused : ProbeResult.Unknown);
            }
            else {
                relays.recordRefused(peerId, address);
            }
        };

        const limit = setTimeout(() => {
            waiting.forEach(peerId => relays.recordUnreachable(peerId));
            fail();
        }, Math.max(0, deadline - clock.monotonicNow()));
        signal?.addEventListener("abort", fail, { once: true });
        ask();
    });
}
