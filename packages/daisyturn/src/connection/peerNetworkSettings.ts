import { z } from "zod";

/** Address of the listener for peers. Port 0 selects any free port. */
export interface PeerListenSettings {
    readonly host: string;
    readonly port: number;
}

/** Mutual TLS between peers, as PEM texts. A peer must present a certificate signed by `authority`. */
export interface PeerTlsSettings {
    readonly certificate: string;
    readonly key: string;
    readonly authority: string;
}

/** Settings of the connections to peers. */
export interface PeerNetworkSettings {
    readonly listen: PeerListenSettings;
    /** Secret shared by all processes of the cell, and by nobody else. */
    readonly secret: string;
    /**
     * Name of the cell, part of every proof. It separates cells that share a secret, even if a VM gets an address that
     * was used in another cell.
     */
    readonly cell: string;
    readonly tls?: PeerTlsSettings;
    /** A connection on which nothing is received for this time is closed and reopened. */
    readonly silenceLimitMilliseconds: number;
    /** Time limit for connecting and for the handshake. */
    readonly handshakeLimitMilliseconds: number;
    /** Maximum length of a line from a peer. */
    readonly maximumLineBytes: number;
    /** Bytes that may be buffered for a slow peer. Notifications are dropped once half of it is used. */
    readonly maximumOutgoingBytes: number;
    /** Calls of one peer that may run concurrently. Further calls are refused as not run. */
    readonly maximumRunningCalls: number;
}

const minimumSecretLength = 16;

/** Validates settings and applies defaults. */
export const peerNetworkSettingsSchema = z.strictObject({
    listen: z.strictObject({
        host: z.string().min(1),
        port: z.int().min(0).max(65_535),
    }),
    secret: z.string().min(minimumSecretLength),
    cell: z.string().default(""),
    tls: z.strictObject({
        certificate: z.string().min(1),
        key: z.string().min(1),
        authority: z.string().min(1),
    }).optional(),
    silenceLimitMilliseconds: z.number().positive().default(10_000),
    handshakeLimitMilliseconds: z.number().positive().default(3_000),
    maximumLineBytes: z.int().min(4_096).default(4_194_304),
    maximumOutgoingBytes: z.int().min(4_096).default(8_388_608),
    maximumRunningCalls: z.int().min(1).default(256),
});

/** Settings as given, before defaults are applied. */
export type PeerNetworkSettingsInput = z.input<typeof peerNetworkSettingsSchema>;
