import type {
    CallerProtocol,
    ChangeFeed,
    EngineOrders,
    ForwardingConfiguration,
    ListedTarget,
    PeerRegistry,
    StoreEraTracker,
    TableService,
    TargetProtocol,
} from "daisyturn/forwarding";

/** All that speaks to the outside; whoever embeds the process brings its own. */
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
    /** Rows of the system's own. */
    readonly tableService: TableService;
    readonly storeEra: StoreEraTracker;
    readonly engineOrders: EngineOrders;
    /** Path at which the balancer asks whether the process takes requests. */
    readonly readinessPath: string;
    close(): Promise<void>;
}
