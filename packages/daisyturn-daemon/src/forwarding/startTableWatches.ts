import type { Clock, EventLog, Random } from "daisyturn-utils";
import {
    type ChangeFeed,
    type Coordination,
    type TableConfirmation,
    type TableObserver,
    watchTable,
    type WatchTiming,
} from "daisyturn/forwarding";
import { computeApplyLimit } from "./computeStateAge.js";
import type { ForwardingProcessParts } from "./createForwardingParts.js";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import type { ForwardingSettings } from "./forwardingSettings.js";

/** What {@link startTableWatches} needs. */
export interface TableWatchesOptions {
    /** Called on each use, because settings may be reloaded while the process runs. */
    readonly settings: () => ForwardingSettings;
    readonly adapters: ForwardingAdapters;
    readonly parts: ForwardingProcessParts;
    readonly coordination: Coordination;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly signal: AbortSignal;
}

/**
 * A feed's call ends this long before the contact time, so that a second call can still fetch within that time what a
 * silent connection has not delivered.
 */
const feedMarginMilliseconds = 1_200;
const minFeedWaitMilliseconds = 500;
/** A coordinator's read of the store waits at most this fraction, so that relayed state never exceeds the age above. */
const readerWaitFraction = 0.5;
/**
 * Store answers are priced: changes of several targets are merged into one answer for up to this fraction of the time
 * within which they must be applied.
 */
const mergeFraction = 0.25;
/** Upper bound of the random delay before re-reading the tables and rewriting the peer entry after a store rollback. */
const rollbackJitterMilliseconds = 400;

/** Starts the tasks that follow the configuration and the list of targets. */
export function startTableWatches(options: TableWatchesOptions): void {
    const { settings, adapters, parts, coordination, clock, random, eventLog, signal } = options;
    const ownWait = () => Math.max(minFeedWaitMilliseconds, settings().contactMilliseconds - feedMarginMilliseconds);
    const readerWait = () => Math.max(minFeedWaitMilliseconds, computeApplyLimit(settings()) * readerWaitFraction);
    const timing: WatchTiming = {
        waitMilliseconds: () => Math.min(ownWait(), coordination.isReader() ? readerWait() : Infinity),
        mergeMilliseconds: settings().drainMilliseconds * mergeFraction,
        isReader: coordination.isReader,
        rereadDelayMilliseconds: () => random.fraction() * rollbackJitterMilliseconds,
    };
    const refreshEntry = async () => {
        await clock.sleepUntil(clock.monotonicNow() + random.fraction() * rollbackJitterMilliseconds, signal);
        coordination.refreshEntry();
    };
    const watch = (name: string, feed: ChangeFeed, observer: TableObserver, confirmation?: TableConfirmation) =>
        watchTable({
            name,
            feed,
            observer,
            timing,
            clock,
            eventLog,
            onCall: parts.targets.recordStoreCall,
            onRolledBack: () => void refreshEntry(),
            relay: coordination.relayedTable(name),
            reader: coordination.tableReader,
            confirmation,
        }, signal);
    void watch("configuration", adapters.configurationFeed, parts.configurationManager, parts.keyConfirmation);
    void watch("targets", adapters.targetFeed, parts.targets);
}
