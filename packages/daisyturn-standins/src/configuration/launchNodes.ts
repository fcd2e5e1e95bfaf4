import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { type ChildProgram, startChildProgram } from "../fleet/childProgram.js";
import { type NodeReport, operatorKeyOf } from "./nodeReport.js";

/** A process whose configuration exchange is measured. */
export interface ConfigurationNode {
    readonly id: string;
    readonly operatorUrl: string;
    readonly peerAddress: string;
    readonly program: ChildProgram;
    report(): Promise<NodeReport>;
}

/** A platform stand-in and the processes of one or more cells that use it. */
export interface ConfigurationNodes {
    readonly platformUrl: string;
    readonly nodes: readonly ConfigurationNode[];
    /** Starts one more process with these peer addresses as seeds. */
    startNode(id: string, seeds: readonly string[]): Promise<ConfigurationNode>;
    stop(): Promise<void>;
}

const here = path.dirname(fileURLToPath(import.meta.url));
const platformScript = path.join(here, "../platform/runPlatform.js");
const nodeScript = path.join(here, "runConfigurationNode.js");

/** Starts cells of these sizes that share one platform stand-in. `headInterval` is in milliseconds. */
export async function launchNodes(cellSizes: readonly number[], headInterval = 1_000): Promise<ConfigurationNodes> {
    const platform = await startChildProgram("platform", platformScript, ["--port", "0"]);
    const platformUrl = platform.words.get("url") ?? "";
    const started: ChildProgram[] = [platform];

    const startNode = async (id: string, seeds: readonly string[]): Promise<ConfigurationNode> => {
        const flags = ["--id", id, "--seeds", seeds.join(","), "--platform", platformUrl];
        const program = await startChildProgram(id, nodeScript, [...flags, "--head-interval", String(headInterval)]);
        started.push(program);
        const operatorUrl = program.words.get("operators") ?? "";
        const peerAddress = program.words.get("peer") ?? "";
        const report = () => callNode<NodeReport>(operatorUrl, "GET", "/measurements");
        return { id, operatorUrl, peerAddress, program, report };
    };

    /** Starts the processes in sequence, each with all earlier ones as seeds, so that every pair connects. */
    const startCell = async (cell: number, size: number): Promise<ConfigurationNode[]> => {
        const nodes: ConfigurationNode[] = [];
        for (let index = 0; index < size; index++) {
            nodes.push(await startNode(`cell-${cell}-node-${index}`, nodes.map(node => node.peerAddress)));
        }
        return nodes;
    };

    const stop = async () => {
        await Promise.all(started.slice(1).map(program => program.stop()));
        await platform.stop();
    };

    // Waits for all cells, also after a failure, so that no program is started after the others have been killed.
    const cells = await Promise.allSettled(cellSizes.map((size, cell) => startCell(cell, size)));
    const failed = cells.find(cell => cell.status === "rejected");
    if (failed) {
        await Promise.all(started.map(program => program.kill()));
        throw failed.reason;
    }
    const nodes = cells.flatMap(cell => cell.status === "fulfilled" ? cell.value : []);
    return { platformUrl, nodes, startNode, stop };
}

/** Calls a node's operator API as the operator of `north`. Throws on any status other than 200. */
export async function callNode<Answer>(
    operatorUrl: string,
    method: "GET" | "POST",
    route: string,
    body?: object,
): Promise<Answer> {
    const answer = await request(`${operatorUrl}${route}`, {
        method,
        headers: { authorization: `Bearer ${operatorKeyOf("north")}`, "content-type": "application/json" },
        ...(body && { body: JSON.stringify(body) }),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
        throw new Error(`${route} failed with ${answer.statusCode}: ${text}`);
    }
    return JSON.parse(text) as Answer;
}
