import type {
    CallerProtocol,
    ChangeFeed,
    EngineOrders,
    FleetDuties,
    ForwardingConfiguration,
    ListedTarget,
    PeerRegistry,
    StoreEraTracker,
    TableService,
    TargetProtocol,
} from "daisyturn/forwarding";

/** Adapters to everything outside the process, provided by the program that embeds it. */
export interface ForwardingAdapters {
    readonly callerProtocol: CallerProtocol;
    readonly targetProtocol: TargetProtocol;
    readonly configurationFeed: ChangeFeed;
    /** Key of the row with the configuration. */
    readonly configurationKey: string;
    readonly decodeConfiguration: (text: string) => ForwardingConfiguration;
    readonly targetFeed: ChangeFeed;
    readonly decodeTarget: (targetId: string, text: string) => ListedTarget;
    readonly peerRegistry: PeerRegistry;
    /** Access to the rows that only the entry processes read and write. */
    readonly tableService: TableService;
    readonly storeEra: StoreEraTracker;
    readonly engineOrders: EngineOrders;
    /** Undefined if the platform takes no calls for the whole fleet. */
    readonly fleetDuties?: FleetDuties;
    /** Path of the balancer's readiness probe. */
    readonly readinessPath: string;
    close(): Promise<void>;
}
