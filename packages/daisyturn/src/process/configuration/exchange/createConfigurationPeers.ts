import type { Clock } from "daisyturn-utils";
import type { AcceptedChange } from "../../../version/configurationChange.js";
import type { ItemIdentity } from "../../../version/configurationItems.js";
import type { VersionUsage } from "../../../version/createVersionUsage.js";
import { type Membership, MemberState, PeerMethod, type PeerNetwork, type ProcessIdentity } from "../../peers/index.js";
import type { ActiveVersion } from "../createActiveVersion.js";
import { answerPull } from "./answerPull.js";
import {
    decodeMessage,
    decodePush,
    encodeMessage,
    type PullMessage,
    type PushAnswer,
    type UsageAnswer,
    type UsageMessage,
} from "./configurationMessages.js";
import { type PullReport, pullVersion } from "./pullVersion.js";

/** The processes that a push has reached, and those that have not confirmed it. */
export interface PushReport {
    readonly inForceAt: readonly string[];
    readonly notConfirmedBy: readonly string[];
}

/** The usage of one process. `answer` is absent if the process did not respond. */
export interface PeerUsage {
    readonly processId: string;
    readonly answer?: UsageAnswer;
}

/** Exchanges configuration with the other processes. */
export interface ConfigurationPeers {
    /**
     * Sends a change to every other process. Resolves when all processes that are not presumed dead have answered, or
     * at the deadline.
     */
    push(change: AcceptedChange, deadline: number): Promise<PushReport>;
    /** Sends a change to every live process without waiting for answers. */
    announce(change: AcceptedChange): void;
    /** Adopts what the peer has beyond the active version. Undefined if the exchange could not be completed. */
    pullFrom(processId: string): Promise<PullReport | undefined>;
    /** Requests the usage of every process that may still be running, this one included. */
    requestUsage(
        generation: number,
        identity: ItemIdentity | undefined,
        deadline: number,
    ): Promise<readonly PeerUsage[]>;
    /** Number of processes of the cell that are not known to have ended, this one included. */
    cellSize(): number;
}

export interface ConfigurationPeersOptions {
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly activeVersion: ActiveVersion;
    readonly usage: VersionUsage;
    readonly clock: Clock;
    readonly peerCallMilliseconds: number;
}

/** Creates the exchange, and registers its handlers on the peer network. */
export function createConfigurationPeers(options: ConfigurationPeersOptions): ConfigurationPeers {
    const { network, membership, activeVersion, usage } = options;
    const pulls = new Map<string, Promise<PullReport | undefined>>();

    /** A member in state Dead may only be paused and resume later, so it counts until it is known to have ended. */
    const presentMembers = () =>
        membership.others().filter(member =>
            member.state !== MemberState.Left && !membership.hasEnded(member.identity)
        );

    const cellSize = () => presentMembers().length + 1;

    const isConfirmedBy = async (peer: ProcessIdentity, change: AcceptedChange, deadline: number) => {
        const message = encodeMessage({ change });
        const answer = await network.request(peer.processId, PeerMethod.PushConfiguration, message, deadline);
        const pushAnswer = answer.isOk ? decodeMessage<PushAnswer>(answer.value) : undefined;
        return pushAnswer !== undefined && pushAnswer.generation >= change.generation;
    };

    const push = async (change: AcceptedChange, deadline: number): Promise<PushReport> => {
        const confirmations = await Promise.all(
            presentMembers().map(async ({ identity, state }) => {
                // The operator does not wait for dead members. The change is still sent to them, because one may have
                // resumed without this having been detected.
                const shouldWait = state !== MemberState.Dead;
                if (!shouldWait) {
                    network.notify(identity.processId, PeerMethod.PushConfiguration, encodeMessage({ change }));
                }
                const confirmed = shouldWait && await isConfirmedBy(identity, change, deadline);
                return { processId: identity.processId, confirmed };
            }),
        );
        const confirmed = confirmations.filter(one => one.confirmed).map(one => one.processId);
        const unconfirmed = confirmations.filter(one => !one.confirmed).map(one => one.processId);
        return { inForceAt: [network.self.processId, ...confirmed], notConfirmedBy: unconfirmed };
    };

    const announce = (change: AcceptedChange) => {
        for (const peer of membership.livePeers()) {
            network.notify(peer.processId, PeerMethod.PushConfiguration, encodeMessage({ change }));
        }
    };

    /** Joins a pull from the same peer that is already running: pushes that follow a gap start only one pull. */
    const pullFrom = (processId: string) => {
        const running = pulls.get(processId);
        if (running) {
            return running;
        }
        const started = pullVersion(options, processId).finally(() => pulls.delete(processId));
        pulls.set(processId, started);
        return started;
    };

    const applyPush = async (processId: string, change: AcceptedChange): Promise<PushAnswer> => {
        activeVersion.applyIfNext(change);
        if (activeVersion.current().generation < change.generation) {
            await pullFrom(processId);
        }
        return { generation: activeVersion.current().generation };
    };

    const answerUsage = ({ generation, identity }: UsageMessage): UsageAnswer => ({
        generation: activeVersion.current().generation,
        requests: identity ? usage.countBefore(generation, identity) : 0,
        byGeneration: usage.list(),
    });

    const requestUsage = async (generation: number, identity: ItemIdentity | undefined, deadline: number) => {
        const message: UsageMessage = { generation, ...(identity && { identity }) };
        const others = await Promise.all(
            presentMembers().map(async (member): Promise<PeerUsage> => {
                const { processId } = member.identity;
                const parameters = encodeMessage(message);
                const result = await network.request(processId, PeerMethod.AskUsage, parameters, deadline);
                const answer = result.isOk ? decodeMessage<UsageAnswer>(result.value) : undefined;
                return answer ? { processId, answer } : { processId };
            }),
        );
        return [{ processId: network.self.processId, answer: answerUsage(message) }, ...others];
    };

    network.handle(PeerMethod.PushConfiguration, async (from, parameters) => {
        const change = decodePush(parameters);
        const generation = activeVersion.current().generation;
        return encodeMessage(change ? await applyPush(from.processId, change) : { generation });
    });
    network.handle(PeerMethod.PullConfiguration, (...[, parameters]) => {
        const message = decodeMessage<PullMessage>(parameters) ?? { generation: activeVersion.current().generation };
        return encodeMessage(answerPull(activeVersion, cellSize(), message));
    });
    network.handle(PeerMethod.AskUsage, (...[, parameters]) => {
        const message = decodeMessage<UsageMessage>(parameters) ?? { generation: 0 };
        return encodeMessage(answerUsage(message));
    });

    return { push, announce, pullFrom, requestUsage, cellSize };
}
