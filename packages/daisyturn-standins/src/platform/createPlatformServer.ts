import type { VmEntry } from "daisyturn";
import { type Clock, SystemClock } from "daisyturn-utils";
import type { ServerResponse } from "node:http";
import { answerJson, answerNotFound, readBody } from "../httpAnswers.js";
import { listenHttp, type RequestHandler, type StandInServer } from "../httpListener.js";
import { handleControl } from "./controlRoutes.js";
import { HttpStatus } from "./httpStatus.js";
import { OutageKind, type PlatformFaults } from "./platformFaults.js";
import { createPlatformState, type PlatformState } from "./platformState.js";
import { handleResource } from "./resourceRoutes.js";
import { handleTable } from "./tableRoutes.js";

/** Options of the platform's stand-in. */
export interface PlatformServerOptions {
    /** TCP port on the loopback address. Default: 0, which selects a free port. */
    readonly port?: number;
    readonly vms?: readonly VmEntry[];
    readonly faults?: Partial<PlatformFaults>;
    readonly clock?: Clock;
    /** Seed of the random choice of the requests that fail. */
    readonly seed?: number;
}

/** A running stand-in of the platform. */
export interface PlatformServer extends StandInServer {
    setFaults(faults: Partial<PlatformFaults>): void;
    registerVm(entry: VmEntry): void;
    removeVm(vmId: string): void;
    /** Counts of the calls since the start. */
    counts(): PlatformState["counts"];
}

const loopback = "127.0.0.1";

/** Starts a stand-in of the platform: table service, object store, weight store and list of VMs. */
export async function createPlatformServer(options: PlatformServerOptions = {}): Promise<PlatformServer> {
    const state = createPlatformState({
        clock: options.clock ?? new SystemClock(),
        vms: options.vms ?? [],
        faults: options.faults ?? {},
        seed: options.seed ?? 1,
    });
    const server = await listenHttp(loopback, options.port ?? 0, createHandler(state));
    return {
        ...server,
        setFaults: state.setFaults,
        registerVm: state.vmList.register,
        removeVm: state.vmList.remove,
        counts: () => ({ ...state.counts }),
    };
}

function createHandler(state: PlatformState): RequestHandler {
    const { clock, faults } = state;
    return async (request, response, { pathname }) => {
        const body = await readBody(request);
        if (handleControl(state, pathname, body, response)) {
            return;
        }
        state.counts.requests += 1;
        if (faults().slowMilliseconds > 0) {
            await clock.sleepUntil(clock.monotonicNow() + faults().slowMilliseconds);
        }
        const isHandled = failByOutage(faults().down, response)
            || await handleTable(state, pathname, body, response)
            || handleResource(state, request.method, pathname, body, response);
        if (!isHandled) {
            answerNotFound(response, "The platform has no such path.");
        }
    };
}

/** Returns true if there is an outage, which then decides how the request ends. */
function failByOutage(down: OutageKind, response: ServerResponse): boolean {
    switch (down) {
        case OutageKind.None:
            return false;
        case OutageKind.Reset:
            response.destroy();
            return true;
        case OutageKind.ErrorPage:
            answerJson(response, HttpStatus.Unavailable, { message: "The platform is down." });
            return true;
        case OutageKind.Hang:
            return true;
    }
}
