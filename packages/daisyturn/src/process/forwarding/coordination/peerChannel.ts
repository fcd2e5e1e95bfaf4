/** Address at which a process receives datagrams. */
export interface PeerAddress {
    /** IP address. */
    readonly host: string;
    readonly port: number;
}

/** Sends and receives datagrams. Lost datagrams are not resent, because the next message repeats the whole state. */
export abstract class DatagramChannel {
    abstract send(to: PeerAddress, datagram: Buffer): void;
    abstract onDatagram(listener: (datagram: Buffer, from: PeerAddress) => void): void;
}
