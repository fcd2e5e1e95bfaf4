import { type Clock, type JsonObject } from "daisyturn-utils";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { err, ok } from "true-myth/result";
import { z } from "zod";
import type { TargetLinks } from "../../process/forwarding/index.js";
import { PeerMethod, type PeerNetwork, type ProcessIdentity } from "../../process/peers/index.js";
import { resetConnection } from "../target/resetConnection.js";
import { createPeerConnector } from "./createPeerConnector.js";
import { createTunnelStream, type TunnelStream } from "./createTunnelStream.js";
import type { OpenTunnel } from "./openThroughPeers.js";
import { readTunnelAnswer, TunnelAnswer } from "./tunnelAnswer.js";

/**
 * Connections to targets that peers carry for this process, and that it carries for them, as messages between
 * processes that have proved who they are.
 */
export interface PeerTunnels {
    readonly open: OpenTunnel<Duplex>;
    /** Number of connections that this process carries. */
    carried(): number;
    /**
     * Carries no more connections, and closes each one once no call is under way on it.
     * @param deadline monotonic time at which the rest is closed
     */
    drain(deadline: number): Promise<void>;
}

/** What {@link createPeerTunnels} needs. */
export interface PeerTunnelsOptions {
    readonly network: PeerNetwork;
    readonly links: TargetLinks;
    /** Whether a target of the configuration has an address (host:port). */
    readonly isListed: (address: string) => boolean;
    readonly clock: Clock;
}

const maxNameLength = 200;
const openSchema = z.object({ tunnelId: z.string().max(maxNameLength), address: z.string().max(maxNameLength) });
const bytesSchema = z.object({ tunnelId: z.string(), isAnswer: z.boolean(), bytes: z.base64() });
const closeSchema = z.object({ tunnelId: z.string(), isAnswer: z.boolean(), isEnd: z.boolean() });

/** Far longer than a round trip, since a reader that is slow holds back the sender. */
const sendTimeoutMilliseconds = 30_000;
/** Bounds the memory for bytes in transit. */
const maxCarried = 512;
/** Longer than callers wait for the next token, as silence does not tell an unused tunnel from a pause within an answer. */
const idleMilliseconds = 3_000;
const drainPollMilliseconds = 50;

interface Carried {
    readonly end: TunnelStream;
    readonly target: Socket;
    isAwaitingAnswer: boolean;
    /** Monotonic time. */
    lastBytesAt: number;
}

/** Creates the tunnels of one process and handles those of its peers. */
export function createPeerTunnels({ network, links, isListed, clock }: PeerTunnelsOptions): PeerTunnels {
    const connectForPeer = createPeerConnector(links, clock);
    /** Ends of connections that peers carry, by peer and tunnel. */
    const opened = new Map<string, TunnelStream>();
    const carried = new Map<string, Carried>();
    let openingCount = 0;
    let lastNumber = 0;
    let isStopping = false;

    const describeKey = (peerId: string, tunnelId: string) => `${peerId} ${tunnelId}`;

    /** @param isAnswer whether this process carries the connection */
    const createEnd = (peerId: string, tunnelId: string, isAnswer: boolean, remove: () => void): TunnelStream =>
        createTunnelStream({
            send: async bytes => {
                const parameters = { tunnelId, isAnswer, bytes: bytes.toString("base64") };
                const deadline = clock.monotonicNow() + sendTimeoutMilliseconds;
                return (await network.request(peerId, PeerMethod.SendThroughTunnel, parameters, deadline)).isOk;
            },
            close: isEnd => {
                if (!isEnd) {
                    remove();
                }
                const deadline = clock.monotonicNow() + sendTimeoutMilliseconds;
                void network.request(peerId, PeerMethod.CloseTunnel, { tunnelId, isAnswer, isEnd }, deadline);
            },
        });

    const open: OpenTunnel<Duplex> = async (peer, address, signal) => {
        lastNumber += 1;
        const tunnelId = `${network.self.incarnation}-${lastNumber}`;
        const key = describeKey(peer.peerId, tunnelId);
        const end = createEnd(peer.peerId, tunnelId, false, () => opened.delete(key));
        opened.set(key, end);
        end.stream.once("close", () => opened.delete(key));
        end.stream.on("error", () => undefined);
        const abandon = () => end.stream.destroy();
        signal.addEventListener("abort", abandon, { once: true });
        const deadline = clock.monotonicNow() + sendTimeoutMilliseconds;
        const answered = await network.request(peer.peerId, PeerMethod.OpenTunnel, { tunnelId, address }, deadline);
        signal.removeEventListener("abort", abandon);
        const answer = answered.isOk ? readTunnelAnswer(Number(answered.value["answer"])) : undefined;
        if (answer !== TunnelAnswer.Open || signal.aborted) {
            end.stream.destroy();
            return err(answer);
        }
        return ok(end.stream);
    };

    const checkOpen = (address: string): TunnelAnswer => {
        if (!isListed(address)) {
            return TunnelAnswer.Forbidden;
        }
        const isFull = carried.size + openingCount >= maxCarried;
        return isStopping || isFull || links.isLost(address) ? TunnelAnswer.Unavailable : TunnelAnswer.Open;
    };

    const carry = (from: ProcessIdentity, tunnelId: string, target: Socket) => {
        const key = describeKey(from.processId, tunnelId);
        const end = createEnd(from.processId, tunnelId, true, () => carried.delete(key));
        const tunnel: Carried = { end, target, isAwaitingAnswer: true, lastBytesAt: clock.monotonicNow() };
        carried.set(key, tunnel);
        const recordBytes = (isAwaitingAnswer: boolean) => {
            tunnel.isAwaitingAnswer = isAwaitingAnswer;
            tunnel.lastBytesAt = clock.monotonicNow();
        };
        const { stream } = end;
        target.on("data", () => recordBytes(false));
        stream.on("data", () => recordBytes(true));
        target.on("error", error => stream.destroy(error));
        // A peer that breaks off has abandoned its call, so the target must see that at once.
        stream.on("error", () => resetConnection(target));
        target.on("close", () => stream.end());
        stream.on("close", () => {
            carried.delete(key);
            target.destroy();
        });
        target.pipe(stream);
        stream.pipe(target);
    };

    const accept = async (from: ProcessIdentity, parameters: JsonObject): Promise<JsonObject> => {
        const { tunnelId, address } = openSchema.parse(parameters);
        const checked = checkOpen(address);
        if (checked !== TunnelAnswer.Open) {
            return { answer: checked };
        }
        openingCount += 1;
        const connected = await connectForPeer(address, new AbortController().signal);
        openingCount -= 1;
        if (connected.isErr) {
            return { answer: connected.error };
        }
        if (isStopping) {
            connected.value.destroy();
            return { answer: TunnelAnswer.Unavailable };
        }
        carry(from, tunnelId, connected.value);
        return { answer: TunnelAnswer.Open };
    };

    const findEnd = (from: ProcessIdentity, { tunnelId, isAnswer }: { tunnelId: string; isAnswer: boolean; }) => {
        const key = describeKey(from.processId, tunnelId);
        return isAnswer ? opened.get(key) : carried.get(key)?.end;
    };

    network.handle(PeerMethod.OpenTunnel, accept);
    network.handle(PeerMethod.SendThroughTunnel, async (from, parameters) => {
        const message = bytesSchema.parse(parameters);
        const end = findEnd(from, message);
        if (!end || end.stream.destroyed) {
            throw new Error("no such tunnel");
        }
        await end.receive(Buffer.from(message.bytes, "base64"));
        return {};
    });
    network.handle(PeerMethod.CloseTunnel, (from, parameters) => {
        const message = closeSchema.parse(parameters);
        findEnd(from, message)?.receiveClose(message.isEnd);
        return {};
    });

    const isIdle = ({ isAwaitingAnswer, lastBytesAt }: Carried) =>
        !isAwaitingAnswer && clock.monotonicNow() - lastBytesAt > idleMilliseconds;

    return {
        open,
        carried: () => carried.size,
        drain: async deadline => {
            isStopping = true;
            while (carried.size > 0 && clock.monotonicNow() < deadline) {
                carried.forEach(tunnel => isIdle(tunnel) && tunnel.end.stream.destroy());
                await clock.sleepUntil(clock.monotonicNow() + drainPollMilliseconds);
            }
            carried.forEach(({ end }) => end.stream.destroy());
        },
    };
}
