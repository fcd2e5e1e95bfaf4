import {
    type Clock,
    EventKind,
    type EventLog,
    type Failure,
    FailureReason,
    type IdSource,
    notRun,
    type Random,
} from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { compareChange } from "../../version/compareChange.js";
import type { AcceptedChange, ChangeAnswer, ChangeRequest } from "../../version/configurationChange.js";
import type { ItemIdentity } from "../../version/configurationItems.js";
import { createVersionUsage } from "../../version/createVersionUsage.js";
import { validateChange } from "../../version/validateChange.js";
import type { Membership, PeerNetwork, ProcessIdentity } from "../peers/index.js";
import type { StoreClient } from "../store/index.js";
import { adoptVersion } from "./adoptVersion.js";
import { type ConfigurationTiming, defaultConfigurationTiming } from "./configurationTiming.js";
import { createChangeAcceptor } from "./createChangeAcceptor.js";
import { createConfigurationStore, listGenerations } from "./createConfigurationStore.js";
import { createInForce } from "./createInForce.js";
import { createConfigurationPeers } from "./exchange/createConfigurationPeers.js";
import { spreadVersions } from "./exchange/spreadVersions.js";
import type {
    ChangePreview,
    FleetConfigurationManager,
    ProcessUsage,
    RetirementReport,
} from "./fleetConfigurationManager.js";
import { createRetirementReport } from "./retirementReport.js";

/** What the keeper is made of. */
export interface ConfigurationManagerOptions {
    readonly self: ProcessIdentity;
    readonly storeClient: StoreClient;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly ids: IdSource;
    readonly timing?: Partial<ConfigurationTiming>;
}

/** Creates the keeper of one process and registers its peer handlers. */
export function createConfigurationManager(options: ConfigurationManagerOptions): FleetConfigurationManager {
    const { clock, eventLog, membership, network, storeClient } = options;
    const timing = { ...defaultConfigurationTiming, ...options.timing };
    const inForce = createInForce(eventLog);
    const versionUsage = createVersionUsage(inForce.current);
    const store = createConfigurationStore({ storeClient, clock, ...timing });
    const peers = createConfigurationPeers({
        network,
        membership,
        inForce,
        usage: versionUsage,
        clock,
        peerCallMilliseconds: timing.peerCallMilliseconds,
    });

    const after = (milliseconds: number) => clock.monotonicNow() + milliseconds;

    const catchUpFromStore = async (deadline: number): Promise<Result<void, Failure>> => {
        const newest = await store.readNewest(inForce.current(), deadline);
        return newest.map(({ version, chain }) => {
            inForce.advance(version, chain);
        });
    };

    const acceptor = createChangeAcceptor({ ...options, store, inForce, timing, catchUpFromStore });
    let lastAcceptance: Promise<unknown> = Promise.resolve();

    /** One after the other within a process, so that a process never races itself. */
    const acceptInTurn = (request: ChangeRequest) => {
        const acceptance = lastAcceptance.then(() => acceptor.accept(request, after(timing.publishMilliseconds)));
        lastAcceptance = acceptance.catch(() => undefined);
        return acceptance;
    };

    const publish = async (request: ChangeRequest): Promise<Result<ChangeAnswer, Failure>> => {
        const accepted = await acceptInTurn(request);
        if (accepted.isErr) {
            const { reason, verdict } = accepted.error;
            eventLog.record(EventKind.ConfigurationRejected, { partner: request.partner, reason, verdict });
            return err(accepted.error);
        }
        const change = accepted.value;
        await bringIntoForce(change);
        const report = await peers.push(change, after(timing.confirmMilliseconds));
        return ok({ generation: change.generation, ...report });
    };

    const bringIntoForce = async (change: AcceptedChange) => {
        inForce.offer(change);
        if (inForce.current().generation < change.generation) {
            await catchUpFromStore(after(timing.storeCallMilliseconds));
        }
    };

    const preview = async (request: ChangeRequest): Promise<Result<ChangePreview, Failure>> => {
        const caughtUp = await catchUpFromStore(after(timing.storeCallMilliseconds));
        const version = inForce.current();
        const { expectedGeneration } = request;
        if (expectedGeneration !== undefined && expectedGeneration !== version.generation) {
            return err(notRun(FailureReason.Conflict, `the fleet stands at generation ${version.generation}`));
        }
        return validateChange(version, request).map(() => ({
            generation: version.generation,
            isCurrent: caughtUp.isOk,
            differences: compareChange(version, request.changes),
        }));
    };

    const history = async (limit: number): Promise<Result<readonly AcceptedChange[], Failure>> => {
        const deadline = after(timing.storeCallMilliseconds);
        const head = await store.readGeneration(deadline);
        if (head.isErr) {
            return err(head.error);
        }
        const oldest = Math.max(1, head.value - limit + 1);
        return store.readChanges([...listGenerations(oldest, head.value)].reverse(), deadline);
    };

    const usage = async (): Promise<readonly ProcessUsage[]> => {
        const answers = await peers.askUsage(0, undefined, after(timing.peerCallMilliseconds));
        return answers.map(({ processId, answer }) =>
            answer
                ? { processId, generation: answer.generation, byGeneration: answer.byGeneration }
                : { processId }
        );
    };

    const retirementOf = async (
        identity: ItemIdentity,
        generation?: number,
    ): Promise<Result<RetirementReport, Failure>> => {
        const version = inForce.current();
        if (generation === undefined && version.findItem(identity)) {
            return err(
                notRun(FailureReason.Conflict, "the item is in force; name the generation that removed it before"),
            );
        }
        const before = generation ?? version.generation;
        const answers = await peers.askUsage(before, identity, after(timing.peerCallMilliseconds));
        return ok(createRetirementReport(identity, before, answers));
    };

    return {
        current: inForce.current,
        onVersion: inForce.onVersion,
        pin: versionUsage.pin,
        adopt: signal => adoptVersion({ peers, membership, clock, timing, catchUpFromStore }, signal),
        run: signal => spreadVersions({ ...options, peers, inForce, timing, catchUpFromStore }, signal),
        publish,
        preview,
        outcomeOf: (partner, writeId) => acceptor.outcomeOf(partner, writeId, after(timing.storeCallMilliseconds)),
        cancel: (partner, writeId) => acceptor.cancel(partner, writeId, after(timing.storeCallMilliseconds)),
        history,
        usage,
        retirementOf,
    };
}
