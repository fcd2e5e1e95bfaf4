import { EventKind, type EventLog } from "daisyturn-utils";
import type { FeedRow } from "../../../ports/changeFeed.js";
import { createRouteTable, type RouteTable } from "../../../version/forwarding/createRouteTable.js";
import type { ForwardingConfiguration } from "../../../version/forwarding/forwardingConfiguration.js";
import type { TableObserver } from "./watchTable.js";

/** Stores the latest configuration that the operators have published. */
export interface ForwardingConfigurationManager extends TableObserver {
    current(): RouteTable | undefined;
    /** Calls the listener whenever another version becomes active. */
    onChanged(listener: (table: RouteTable) => void): void;
}

/** What {@link createForwardingConfigurationManager} needs. */
export interface ForwardingConfigurationManagerOptions {
    /** Key of the row that holds the configuration. */
    readonly key: string;
    /** Throws if the text is not a valid configuration. */
    readonly decode: (text: string) => ForwardingConfiguration;
    readonly eventLog: EventLog;
}

/**
 * Creates the manager. A version is never replaced by a lower one, even if the store returns one after an outage. A row
 * that is missing or can't be decoded leaves the active version unchanged.
 */
export function createForwardingConfigurationManager(
    options: ForwardingConfigurationManagerOptions,
): ForwardingConfigurationManager {
    const { eventLog } = options;
    const listeners: ((table: RouteTable) => void)[] = [];
    /** Faults repeat in each version until they are corrected. */
    const reportedFaults = new Set<string>();
    let table: RouteTable | undefined;

    const apply = (row: FeedRow) => {
        if (row.key !== options.key || row.text === undefined) {
            return;
        }
        const configuration = tryDecode(row.text);
        if (!configuration || configuration.version <= (table?.configuration.version ?? -1)) {
            return;
        }
        table = createRouteTable(configuration);
        eventLog.record(EventKind.ConfigurationInForce, {
            generation: configuration.version,
            routes: configuration.routes.length,
            accounts: configuration.accounts?.length,
            keys: table.accounts?.keyCount,
            storeVersion: row.version,
        });
        reportFaults(configuration, table);
        listeners.forEach(listener => table && listener(table));
    };

    const reportFaults = ({ faults = [] }: ForwardingConfiguration, { accounts }: RouteTable) => {
        const ambiguous = (accounts?.ambiguousAccounts ?? []).map(name => `account ${name} shares a key with another`);
        [...faults, ...ambiguous].forEach(reason => {
            if (!reportedFaults.has(reason)) {
                reportedFaults.add(reason);
                eventLog.record(EventKind.Fault, { reason });
            }
        });
    };

    const tryDecode = (text: string): ForwardingConfiguration | undefined => {
        try {
            return options.decode(text);
        }
        catch (error) {
            eventLog.record(EventKind.ConfigurationRejected, { reason: String(error) });
            return undefined;
        }
    };

    return {
        current: () => table,
        onChanged: listener => listeners.push(listener),
        replace: rows => rows.forEach(apply),
        change: rows => rows.forEach(apply),
    };
}
