import { type Clock, SystemClock } from "daisyturn-utils";
import { listenHttp, type StandInServer } from "../httpListener.js";
import { createEngineRun, type EngineRun } from "./batch/engineRun.js";
import { createHttpKvImporter } from "./cache/kvImport.js";
import type { EngineFaults } from "./engineFaults.js";
import { type EngineOptions, engineOptionsSchema } from "./engineOptions.js";
import { createEngineRoutes } from "./engineRoutes.js";
import type { OrderRecord } from "./orderHandler.js";

/** A running engine stand-in. */
export interface EngineServer extends StandInServer {
    /** Orders received by all incarnations, including refused ones. */
    readonly orders: readonly OrderRecord[];
    setFaults(faults: EngineFaults): void;
    incarnation(): string;
    /** Cuts every stream and starts a new incarnation after `downMilliseconds` of real time. */
    restart(downMilliseconds: number): Promise<void>;
}

/** Starts an engine stand-in. */
export async function createEngineServer(
    options: EngineOptions,
    clock: Clock = new SystemClock(),
): Promise<EngineServer> {
    const settings = engineOptionsSchema.parse(options);
    const faults: EngineFaults = {};
    const orders: OrderRecord[] = [];
    const importer = createHttpKvImporter();
    const stopper = new AbortController();
    let incarnationNumber = 0;

    const startRun = (highestFencingNumber: number, startsStuck: boolean): EngineRun => {
        incarnationNumber += 1;
        return createEngineRun({
            settings,
            clock,
            incarnation: `${settings.id}-${Math.floor(clock.wallNow())}-${incarnationNumber}`,
            faults,
            importer,
            address: () => listener.url,
            highestFencingNumber,
            startsStuck,
            crash: () => void restart(0, true),
        });
    };

    const restart = async (downMilliseconds: number, isWithinChange = false) => {
        const { highestFencingNumber } = run.orderHandler;
        run.end();
        const { port } = new URL(listener.url);
        await listener.close();
        await clock.sleepUntil(clock.monotonicNow() + downMilliseconds, stopper.signal);
        if (stopper.signal.aborted) {
            return;
        }
        run = startRun(settings.keepsFencingOverRestart ? highestFencingNumber : 0, isWithinChange);
        listener = await listenHttp(settings.host, Number(port), routes);
    };

    const routes = createEngineRoutes({
        clock,
        run: () => run,
        faults,
        orders,
        crashes: [],
        restart: downMilliseconds => void restart(downMilliseconds),
    });
    let listener = await listenHttp(settings.host, settings.port, routes);
    let run = startRun(0, false);

    const close = async () => {
        stopper.abort();
        run.end();
        await listener.close();
    };
    return {
        url: listener.url,
        orders,
        setFaults: changes => void Object.assign(faults, changes),
        incarnation: () => run.incarnation,
        restart: downMilliseconds => restart(downMilliseconds),
        close,
    };
}
