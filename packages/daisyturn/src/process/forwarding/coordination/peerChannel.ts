/** Where a process takes datagrams. */
export interface PeerAddress {
    /** IP number. */
    readonly host: string;
    readonly port: number;
}

/** Sends and takes datagrams; none is repeated, since the next one says all again. */
export abstract class DatagramChannel {
    abstract send(to: PeerAddress, datagram: Buffer): void;
    abstract onDatagram(listener: (datagram: Buffer, from: PeerAddress) => void): void;
}
