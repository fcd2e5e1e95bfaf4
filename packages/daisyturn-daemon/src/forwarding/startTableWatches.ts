import type { Clock, EventLog, Random } from "daisyturn-utils";
import {
    type ChangeFeed,
    type Coordination,
    type TableObserver,
    watchTable,
    type WatchTiming,
} from "daisyturn/forwarding";
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
/** Store state relayed by a coordinator is valid for this fraction of the time within which it must be applied. */
const stateAgeFraction = 0.75;
/** A coordinator's read of the store waits at most this fraction, so that relayed state never exceeds the age above. */
const readerWaitFraction = 0.5;
/**
 * Store answers are priced: changes of several targets are merged into one answer for up to this fraction of the time
 * within which they must be applied.
 */
const mergeFraction = 0.25;
/** Upper bound of the random delay before re-reading the tables and rewriting the peer entry after a store rollback. */
const rollbackJitterMilliseconds = 400;

/** Returns how old state of the store that a coordinator relays may be, in milliseconds. */
export function computeMaxStateAge(settings: ForwardingSettings): number {
    return computeApplyLimit(settings) * stateAgeFraction;
}

/** Returns the time from the store's acknowledgement of a change until the change must be applied, in milliseconds. */
function computeApplyLimit({ drainMilliseconds, configurationMilliseconds }: ForwardingSettings): number {
    return Math.min(drainMilliseconds, configurationMilliseconds);
}

/** Starts the tasks that follow the configuration and the list of targets. */
export function startTableWatches(options: TableWatchesOptions): void {
    const { settings, adapters, parts, coordination, clock, random, eventLog, signal } = options;
    const ownWait = () => Math.max(minFeedWaitMilliseconds, settings().contactMilliseconds - feedMarginMilliseconds);
    const readerWait = () => Math.max(minFeedWaitMilliseconds, computeApplyLimit(settings()) * readerWaitFraction);
    const timing: WatchTiming = {
        waitMilliseconds: () => Math.min(ownWait(), coordination.isReader() ? readerWait() : Infinity),
        mergeMilliseconds: settings().drainMilliseconds * mergeFraction,
        rereadDelayMilliseconds: () => random.fraction() * rollbackJitterMilliseconds,
    };
    const refreshEntry = async () => {
        await clock.sleepUntil(clock.monotonicNow() + random.fraction() * rollbackJitterMilliseconds, signal);
        coordination.refreshEntry();
    };
    const watch = (name: string, feed: ChangeFeed, observer: TableObserver) =>
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
        }, signal);
    void watch("configuration", adapters.configurationFeed, parts.configurationManager);
    void watch("targets", adapters.targetFeed, parts.targets);
}
