import { PeerNetwork, type ProcessIdentity } from "./peerNetwork.js";

/** Called when a peer has identified itself on a new connection, opened by either side. */
export type HelloListener = (peer: ProcessIdentity) => void;

/** A peer network that also maintains connections, for use by membership. */
export abstract class DialingPeerNetwork extends PeerNetwork {
    /** Maintains a connection to `address` (`address:port`) until `disconnect` is called. Idempotent. */
    abstract connect(address: string): void;
    /** Stops dialing `address`. An open connection remains until either side closes it. */
    abstract disconnect(address: string): void;
    abstract onHello(listener: HelloListener): void;
}
