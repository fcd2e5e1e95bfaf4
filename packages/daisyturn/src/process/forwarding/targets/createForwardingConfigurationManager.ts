import { EventKind, type EventLog } from "daisyturn-utils";
import type { FeedRow } from "../../../ports/changeFeed.js";
import { createRouteTable, type RouteTable } from "../../../version/forwarding/createRouteTable.js";
import type { ForwardingConfiguration } from "../../../version/forwarding/forwardingConfiguration.js";
import type { TableObserver } from "./watchTable.js";

/** Keeps the newest configuration that the operators have published. */
export interface ForwardingConfigurationManager extends TableObserver {
    current(): RouteTable | undefined;
    /** Called each time another version is put in force. */
    onChanged(listener: (table: RouteTable) => void): void;
}

/** What {@link createForwardingConfigurationManager} needs. */
export interface ForwardingConfigurationManagerOptions {
    /** Key of the row that holds the configuration. */
    readonly key: string;
    /** Throws where the text is no configuration. */
    readonly decode: (text: string) => ForwardingConfiguration;
    readonly eventLog: EventLog;
}

/**
 * Creates the keeper. A version never gives way to a lower one, whatever the store shows after an outage; a row that
 * can't be read, or is missing, leaves the version in force as it is.
 */
export function createForwardingConfigurationManager(
    options: ForwardingConfigurationManagerOptions,
): ForwardingConfigurationManager {
    const { eventLog } = options;
    const listeners: ((table: RouteTable) => void)[] = [];
    let table: RouteTable | undefined;

    const take = (row: FeedRow) => {
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
            storeVersion: row.version,
        });
        listeners.forEach(listener => table && listener(table));
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
        replace: rows => rows.forEach(take),
        change: rows => rows.forEach(take),
    };
}
