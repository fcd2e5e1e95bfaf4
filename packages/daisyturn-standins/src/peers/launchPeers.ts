import { randomUUID } from "node:crypto";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { type ChildProgram, startChildProgram } from "../fleet/childProgram.js";
import type { PeerReport } from "./peerReport.js";

/** A separate process that runs only the peer network, membership and the service guard. */
export interface PeerProgram {
    readonly id: string;
    readonly program: ChildProgram;
    report(): Promise<PeerReport>;
}

const here = path.dirname(fileURLToPath(import.meta.url));
const peerScript = path.join(here, "runPeer.js");
const maxConcurrentStarts = 8;

/** Starts the processes of one cell. The first has no seeds; each other process has the first as its only seed. */
export async function launchPeers(count: number, heartbeatMilliseconds: number): Promise<readonly PeerProgram[]> {
    // A unique name, so that cells measured at the same time on one machine do not merge.
    const cell = randomUUID();
    const peers = [await startPeer(cell, "p1", "", heartbeatMilliseconds)];
    const seed = peers[0]?.program.words.get("peer") ?? "";
    while (peers.length < count) {
        const size = Math.min(maxConcurrentStarts, count - peers.length);
        const names = Array.from({ length: size }, (...[, index]) => `p${peers.length + index + 1}`);
        const started = await Promise.allSettled(names.map(name => startPeer(cell, name, seed, heartbeatMilliseconds)));
        peers.push(...started.flatMap(result => result.status === "fulfilled" ? [result.value] : []));
        const failed = started.find(result => result.status === "rejected");
        if (failed) {
            await Promise.all(peers.map(peer => peer.program.kill()));
            throw failed.reason;
        }
    }
    return peers;
}

async function startPeer(cell: string, id: string, seed: string, heartbeatMilliseconds: number): Promise<PeerProgram> {
    const words = ["--id", id, "--cell", cell, "--seeds", seed, "--heartbeat", String(heartbeatMilliseconds)];
    const program = await startChildProgram(id, peerScript, words);
    const url = program.words.get("report") ?? "";
    const report = async () => {
        const answer = await request(url);
        return await answer.body.json() as PeerReport;
    };
    return { id, program, report };
}
