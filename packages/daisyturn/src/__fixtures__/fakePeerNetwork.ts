import { type Clock, type Failure, FailureReason, type JsonObject, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import {
    DialingPeerNetwork,
    type HelloListener,
    type PeerHandler,
    type PeerMethod,
    type ProcessIdentity,
} from "../process/peers/index.js";

/** Faults of the messages from one process to another. */
interface Route {
    cut: boolean;
    /** Delivery delay in milliseconds. */
    delay: number;
    answersToLose: number;
    /** While set, answers are queued here until there are two, which are then sent in reverse order. */
    queuedAnswers?: (() => void)[];
}

/** Peer networks connected in memory. Messages are copied through JSON. */
export interface FakePeerNetworks {
    /** Adds a process. Replaces one with the same process id, as in a restart. */
    join(identity: ProcessIdentity): DialingPeerNetwork;
    /** Removes a process. Requests to it fail at once with NotRun, as if the connection was refused. */
    remove(processId: string): void;
    /** Silently drops all messages from one process to another. */
    cut(from: string, to: string): void;
    cutBoth(one: string, other: string): void;
    /** Drops all messages between a process and all others, in both directions. */
    isolate(processId: string): void;
    /** Restores the connection between two processes in both directions. */
    heal(one: string, other: string): void;
    healAll(): void;
    /** Delays messages from one process to another, by the clock. */
    delay(from: string, to: string, milliseconds: number): void;
    /** Drops the next answers from `from` to `to`, after the handler has run. */
    loseAnswers(from: string, to: string, count: number): void;
    /** Delivers the next two answers from `from` to `to` in reverse order. */
    reorderAnswers(from: string, to: string): void;
    /** All messages sent so far, in order, whether delivered or not. */
    readonly sent: readonly SentMessage[];
}

/** A message that was sent, whether delivered or not. */
export interface SentMessage {
    readonly from: string;
    readonly to: string;
    readonly method: PeerMethod;
    readonly parameters: JsonObject;
}

/** Creates the identity of a process for tests, such as `p1` on VM `vm-p1` at the address `p1:1`. */
export function createFakeIdentity(processId: string, incarnation = `${processId}-1`): ProcessIdentity {
    return {
        processId,
        incarnation,
        vmId: `vm-${processId}`,
        availabilityZone: "zone-1",
        peerAddress: `${processId}:1`,
    };
}

/** Milliseconds between two attempts to connect to an address. */
const reconnectInterval = 250;

/** Creates connected networks in memory. `clock` determines when delayed messages arrive and deadlines pass. */
export function createFakePeerNetworks(clock: Clock): FakePeerNetworks {
    const members = new Map<string, FakePeerNetwork>();
    const routes = new Map<string, Route>();
    const sent: SentMessage[] = [];

    const routeOf = (from: string, to: string): Route => {
        const key = `${from}>${to}`;
        const route = routes.get(key) ?? { cut: false, delay: 0, answersToLose: 0 };
        routes.set(key, route);
        return route;
    };

    /** Waits until the message is delivered. Returns false if it was lost. */
    const transmit = async (from: string, to: string): Promise<boolean> => {
        const route = routeOf(from, to);
        if (route.cut) {
            return false;
        }
        if (route.delay > 0) {
            await clock.sleepUntil(clock.monotonicNow() + route.delay);
        }
        return !route.cut;
    };

    const transmitAnswer = async (from: string, to: string): Promise<boolean> => {
        const route = routeOf(from, to);
        if (route.answersToLose > 0) {
            route.answersToLose -= 1;
            return false;
        }
        const queued = route.queuedAnswers;
        if (queued) {
            await new Promise<void>(resolve => {
                queued.push(resolve);
                if (queued.length === 2) {
                    route.queuedAnswers = undefined;
                    resolve();
                    setImmediate(queued[0] ?? resolve);
                }
            });
        }
        return await transmit(from, to);
    };

    class FakePeerNetwork extends DialingPeerNetwork {
        readonly handlers = new Map<PeerMethod, PeerHandler>();
        readonly helloListeners: HelloListener[] = [];
        readonly addresses = new Set<string>();

        constructor(override readonly self: ProcessIdentity) {
            super();
        }

        override async request(
            processId: string,
            method: PeerMethod,
            parameters: JsonObject,
            deadline: number,
        ): Promise<Result<JsonObject, Failure>> {
            const target = members.get(processId);
            if (!target || !this.isJoined() || clock.monotonicNow() >= deadline) {
                return err(notRun(FailureReason.PeerUnavailable, `no connection to ${processId}`));
            }
            const late = new AbortController();
            const answer = await Promise.race([
                this.exchange(target, method, parameters),
                clock.sleepUntil(deadline, late.signal).then(() => undefined),
            ]);
            late.abort();
            return answer ?? err(mayHaveRun(FailureReason.PeerUnavailable, `no answer from ${processId}`));
        }

        private async exchange(
            target: FakePeerNetwork,
            method: PeerMethod,
            parameters: JsonObject,
        ): Promise<Result<JsonObject, Failure>> {
            const { processId } = target.self;
            const message = this.record(processId, method, parameters);
            if (!await transmit(this.self.processId, processId) || !target.isJoined()) {
                return await new Promise(() => undefined);
            }
            const answer = await target.answer(this.self, method, message);
            if (!await transmitAnswer(processId, this.self.processId)) {
                return await new Promise(() => undefined);
            }
            return answer;
        }

        private async answer(
            from: ProcessIdentity,
            method: PeerMethod,
            parameters: JsonObject,
        ): Promise<Result<JsonObject, Failure>> {
            const handler = this.handlers.get(method);
            if (!handler) {
                return err(notRun(FailureReason.PeerUnavailable, `${this.self.processId} has no ${method}`));
            }
            try {
                return ok(copy(await handler(from, parameters)));
            }
            catch (error) {
                return err(mayHaveRun(FailureReason.PeerUnavailable, String(error)));
            }
        }

        override notify(processId: string, method: PeerMethod, parameters: JsonObject): void {
            const target = members.get(processId);
            if (!target || !this.isJoined()) {
                return;
            }
            const message = this.record(processId, method, parameters);
            void transmit(this.self.processId, processId).then(async arrived => {
                if (arrived && target.isJoined()) {
                    await target.answer(this.self, method, message);
                }
            });
        }

        override handle(method: PeerMethod, handler: PeerHandler): void {
            this.handlers.set(method, handler);
        }

        override connect(address: string): void {
            if (!this.addresses.has(address)) {
                this.addresses.add(address);
                void this.keepConnected(address);
            }
        }

        override disconnect(address: string): void {
            this.addresses.delete(address);
        }

        override onHello(listener: HelloListener): void {
            this.helloListeners.push(listener);
        }

        /** Exchanges hellos with the process at the address, and again whenever its incarnation changes. */
        private async keepConnected(address: string): Promise<void> {
            let known: string | undefined;
            while (this.addresses.has(address) && this.isJoined()) {
                const peer = [...members.values()].find(member => member.self.peerAddress === address);
                if (peer && peer !== this && peer.self.incarnation !== known && this.reaches(peer)) {
                    known = peer.self.incarnation;
                    this.helloListeners.forEach(listener => listener(peer.self));
                    peer.helloListeners.forEach(listener => listener(this.self));
                }
                await clock.sleepUntil(clock.monotonicNow() + reconnectInterval);
            }
        }

        private reaches(peer: FakePeerNetwork): boolean {
            const outbound = routeOf(this.self.processId, peer.self.processId);
            const inbound = routeOf(peer.self.processId, this.self.processId);
            return !outbound.cut && !inbound.cut;
        }

        private isJoined(): boolean {
            return members.get(this.self.processId) === this;
        }

        private record(to: string, method: PeerMethod, parameters: JsonObject): JsonObject {
            const message = copy(parameters);
            sent.push({ from: this.self.processId, to, method, parameters: message });
            return message;
        }
    }

    const setCut = (one: string, other: string, cut: boolean) => {
        routeOf(one, other).cut = cut;
        routeOf(other, one).cut = cut;
    };

    return {
        sent,
        join: identity => {
            const network = new FakePeerNetwork(identity);
            members.set(identity.processId, network);
            return network;
        },
        remove: processId => void members.delete(processId),
        cut: (from, to) => {
            routeOf(from, to).cut = true;
        },
        cutBoth: (one, other) => setCut(one, other, true),
        isolate: processId => {
            [...members.keys()].filter(other => other !== processId).forEach(other => setCut(processId, other, true));
        },
        heal: (one, other) => setCut(one, other, false),
        healAll: () => routes.forEach(route => route.cut = false),
        delay: (from, to, milliseconds) => {
            routeOf(from, to).delay = milliseconds;
        },
        loseAnswers: (from, to, count) => {
            routeOf(from, to).answersToLose = count;
        },
        reorderAnswers: (from, to) => {
            routeOf(from, to).queuedAnswers = [];
        },
    };
}

function copy(value: JsonObject): JsonObject {
    return JSON.parse(JSON.stringify(value)) as JsonObject;
}
