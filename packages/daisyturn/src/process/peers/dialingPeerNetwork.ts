import { PeerNetwork, type ProcessIdentity } from "./peerNetwork.js";

/** Told whenever a peer has said who it is on a new connection, made from either side. */
export type HelloListener = (peer: ProcessIdentity) => void;

/** A network that also keeps connections: what membership needs beside the calls themselves. */
export abstract class DialingPeerNetwork extends PeerNetwork {
    /** Keeps a connection to `address` (`address:port`) until told otherwise; does nothing if it is kept already. */
    abstract connect(address: string): void;
    /** No longer dials `address`. An open connection stays until either side closes it. */
    abstract disconnect(address: string): void;
    abstract onHello(listener: HelloListener): void;
}
