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
import { createActiveVersion } from "./createActiveVersion.js";
import { createChangeAcceptor } from "./createChangeAcceptor.js";
import { createConfigurationStore, listGenerations } from "./createConfigurationStore.js";
import { createConfigurationPeers } from "./exchange/createConfigurationPeers.js";
import { runAntiEntropy } from "./exchange/runAntiEntropy.js";
import type {
    ChangePreview,
    FleetConfigurationManager,
    ProcessUsage,
    RetirementReport,
} from "./fleetConfigurationManager.js";
import { createRetirementReport } from "./retirementReport.js";

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

/** Creates the configuration manager of one process, and registers its peer handlers. */
export function createConfigurationManager(options: ConfigurationManagerOptions): FleetConfigurationManager {
    const { clock, eventLog, membership, network, storeClient } = options;
    const timing = { ...defaultConfigurationTiming, ...options.timing };
    const activeVersion = createActiveVersion(eventLog);
    const versionUsage = createVersionUsage(activeVersion.current);
    const store = createConfigurationStore({ storeClient, clock, ...timing });
    const peers = createConfigurationPeers({
        network,
        membership,
        activeVersion,
        usage: versionUsage,
        clock,
        peerCallMilliseconds: timing.peerCallMilliseconds,
    });

    const deadlineIn = (milliseconds: number) => clock.monotonicNow() + milliseconds;

    const catchUpFromStore = async (deadline: number): Promise<Result<void, Failure>> => {
        const newest = await store.readNewest(activeVersion.current(), deadline);
        return newest.map(({ version, changes }) => {
            activeVersion.advance(version, changes);
        });
    };

    const acceptor = createChangeAcceptor({ ...options, store, activeVersion, timing, catchUpFromStore });
    let lastAcceptance: Promise<unknown> = Promise.resolve();

    /** Accepts the changes of this process one after another, so that they do not conflict with each other. */
    const acceptSerially = (request: ChangeRequest) => {
        const acceptance = lastAcceptance.then(() => acceptor.accept(request, deadlineIn(timing.publishMilliseconds)));
        lastAcceptance = acceptance.catch(() => undefined);
        return acceptance;
    };

    const publish = async (request: ChangeRequest): Promise<Result<ChangeAnswer, Failure>> => {
        const accepted = await acceptSerially(request);
        if (accepted.isErr) {
            const { reason, verdict } = accepted.error;
            eventLog.record(EventKind.ConfigurationRejected, { partner: request.partner, reason, verdict });
            return err(accepted.error);
        }
        const change = accepted.value;
        await activate(change);
        const report = await peers.push(change, deadlineIn(timing.confirmMilliseconds));
        return ok({ generation: change.generation, ...report });
    };

    const activate = async (change: AcceptedChange) => {
        activeVersion.applyIfNext(change);
        if (activeVersion.current().generation < change.generation) {
            await catchUpFromStore(deadlineIn(timing.storeCallMilliseconds));
        }
    };

    const preview = async (request: ChangeRequest): Promise<Result<ChangePreview, Failure>> => {
        const caughtUp = await catchUpFromStore(deadlineIn(timing.storeCallMilliseconds));
        const version = activeVersion.current();
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
        const deadline = deadlineIn(timing.storeCallMilliseconds);
        const head = await store.readGeneration(deadline);
        if (head.isErr) {
            return err(head.error);
        }
        const oldest = Math.max(1, head.value - limit + 1);
        return store.readChanges([...listGenerations(oldest, head.value)].reverse(), deadline);
    };

    const usage = async (): Promise<readonly ProcessUsage[]> => {
        const answers = await peers.requestUsage(0, undefined, deadlineIn(timing.peerCallMilliseconds));
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
        const version = activeVersion.current();
        if (generation === undefined && version.findItem(identity)) {
            return err(
                notRun(FailureReason.Conflict, "the item is in force; name the generation that removed it before"),
            );
        }
        const before = generation ?? version.generation;
        const answers = await peers.requestUsage(before, identity, deadlineIn(timing.peerCallMilliseconds));
        return ok(createRetirementReport(identity, before, answers));
    };

    return {
        current: activeVersion.current,
        onVersion: activeVersion.onVersion,
        pin: versionUsage.pin,
        adopt: signal => adoptVersion({ peers, membership, clock, timing, catchUpFromStore }, signal),
        run: signal => runAntiEntropy({ ...options, peers, activeVersion, timing, catchUpFromStore }, signal),
        publish,
        preview,
        outcomeOf: (partner, writeId) => acceptor.outcomeOf(partner, writeId, deadlineIn(timing.storeCallMilliseconds)),
        cancel: (partner, writeId) => acceptor.cancel(partner, writeId, deadlineIn(timing.storeCallMilliseconds)),
        history,
        usage,
        retirementOf,
    };
}
