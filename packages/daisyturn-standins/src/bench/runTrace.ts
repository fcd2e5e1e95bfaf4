import { charactersPerToken, OrderKind } from "daisyturn";
import { EventKind } from "daisyturn-utils";
import { readFileSync, rmSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { expectedAnswer } from "../engine/expectedAnswer.js";
import { createBalancer } from "../fleet/createBalancer.js";
import { type Fleet, type FleetPlan, launchFleet } from "../fleet/launchFleet.js";
import { publishChange } from "../fleet/operatorClient.js";
import {
    createCallerKey,
    createPartnerItems,
    createTargetItems,
    PartnerName,
    putItems,
} from "../fleet/partnerConfiguration.js";
import { type CallerClient, createCallerClient } from "../load/callerClient.js";
import { benchLimits, createProfileLimits } from "./benchFleet.js";
import { createPrompt } from "./createTrace.js";
import type { MeasuredRequest } from "./goodput.js";
import type { TracedRequest } from "./tracedRequest.js";

export interface TraceRun {
    readonly plan: FleetPlan;
    readonly trace: readonly TracedRequest[];
    readonly speed: number;
    readonly seed: number;
    /** Keeps the logs of the fleet after the run, for analysis. */
    readonly keepLogs?: boolean;
}

/** Time for the fleet to settle before the first request, in real milliseconds. */
const settleMilliseconds = 1_000;
const kindField = ` kind=${OrderKind.ChangeRole} `;

export interface TraceResult {
    readonly measured: readonly MeasuredRequest[];
    readonly roleChanges: number;
}

/** Starts a fleet, sends the requests of the trace at their arrival times, and stops the fleet. */
export async function runTrace(run: TraceRun): Promise<TraceResult> {
    const fleet = await launchFleet(run.plan);
    const balancer = createBalancer(fleet);
    try {
        await publishBench(fleet, run);
        await balancer.waitForReady(run.plan.entryCount);
        await delay(settleMilliseconds);
        const measured = await sendTrace(run, balancer.readyUrls);
        // The logs are complete only after the processes have exited.
        await fleet.stop();
        return { measured, roleChanges: countRoleChanges(fleet) };
    }
    finally {
        await balancer.stop();
        await fleet.stop();
        if (run.keepLogs) {
            process.stderr.write(`logs: ${fleet.folder}\n`);
        }
        else {
            rmSync(fleet.folder, { recursive: true });
        }
    }
}

/** Counts the role change orders that were sent, from the entry processes' logs. */
function countRoleChanges(fleet: Fleet): number {
    const lines = fleet.entries.flatMap(entry => readFileSync(entry.logFile, "utf8").split("\n"));
    return lines.filter(line => line.includes(` event=${EventKind.OrderSent} `) && line.includes(kindField)).length;
}

async function publishBench(fleet: Fleet, { plan, speed }: TraceRun): Promise<void> {
    const operatorUrl = fleet.entries[0]?.operatorUrl ?? "";
    const limits = createProfileLimits(speed);
    for (const partner of [PartnerName.Nyamata, PartnerName.Jizdenka]) {
        const targets = partner === PartnerName.Nyamata
            ? createTargetItems(partner, plan.engines, plan.services, fleet)
            : [];
        const items = createPartnerItems(partner, limits);
        await publishChange(operatorUrl, fleet.operatorKey(partner), putItems([...targets, ...items]));
    }
}

async function sendTrace(run: TraceRun, entryUrls: () => readonly string[]): Promise<MeasuredRequest[]> {
    const clients = {
        [PartnerName.Nyamata]: createClient(PartnerName.Nyamata, entryUrls),
        [PartnerName.Jizdenka]: createClient(PartnerName.Jizdenka, entryUrls),
    };
    const startedAt = performance.now();
    const running: Promise<MeasuredRequest>[] = [];
    for (const request of run.trace) {
        await delay(Math.max(0, startedAt + request.arrivesAt / run.speed - performance.now()));
        running.push(sendRequest(run, clients[request.traceClass.partner], request));
    }
    const measured = await Promise.all(running);
    await Promise.all(Object.values(clients).map(client => client.close()));
    return measured;
}

async function sendRequest(run: TraceRun, client: CallerClient, request: TracedRequest): Promise<MeasuredRequest> {
    const { traceClass } = request;
    const prompt = createPrompt(request, charactersPerToken, run.seed);
    const record = await client.complete({
        service: traceClass.service,
        prompt,
        maxTokens: request.outputTokens,
    });
    const isCorrect = record.text === expectedAnswer({ model: traceClass.model, prompt }, request.outputTokens);
    // Drops the text to save memory: a run has many records, and the text is not used any more.
    return { request, record: { ...record, text: "" }, limits: benchLimits, speed: run.speed, isCorrect };
}

/** A refused request does not count towards goodput, so the client does not retry it. */
function createClient(partner: PartnerName, entryUrls: () => readonly string[]): CallerClient {
    return createCallerClient({ key: createCallerKey(partner), entryUrls, maximumTries: 1 });
}
