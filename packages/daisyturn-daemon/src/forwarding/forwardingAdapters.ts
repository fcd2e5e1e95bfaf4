import type {
    CallerProtocol,
    ChangeFeed,
    ForwardingConfiguration,
    ListedTarget,
    PeerRegistry,
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
    /** Path at which the balancer asks whether the process takes requests. */
    readonly readinessPath: string;
    close(): Promise<void>;
}
