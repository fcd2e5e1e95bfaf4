import { createSeededRandom, FakeClock, type JsonValue, MemoryEventLog } from "daisyturn-utils";
import { createFakeIdentity, createFakePeerNetworks } from "../../../__fixtures__/fakePeerNetwork.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import { TableService, type Transaction } from "../../../ports/tableService.js";
import { createTarget } from "../../../version/__fixtures__/items.js";
import type { ConfigurationItem, Hold, Target } from "../../../version/configurationItems.js";
import type { ConfigurationVersion } from "../../../version/configurationVersion.js";
import { createConfigurationVersion } from "../../../version/createConfigurationVersion.js";
import { headKey } from "../../configuration/index.js";
import type { ControllerSettings } from "../orderContext.js";
import {
    type EngineOrders,
    engineOrdersKey,
    isOrderOpen,
    type OrderRequest,
    orderRequestKey,
} from "../rows/orderRows.js";
import { parseEngineOrders, parseOrderRequest } from "../rows/parseOrderRows.js";
import { createOrderedEngine } from "./orderedEngine.js";
import { flightMilliseconds } from "./processHost.js";
import { testCell } from "./worldConstants.js";
import { createWorldProcess, type OrderWorldOptions, type SharedWorld, type WorldProcess } from "./worldProcess.js";

/** Time from the death of a process to the proof of its end. Its last call is still in flight at that moment. */
const proofMilliseconds = flightMilliseconds - 1_000;

const testSettings: Partial<ControllerSettings> = {
    overviewIntervalMilliseconds: 1_000,
    pollIntervalMilliseconds: 500,
    drainLimitMilliseconds: 30_000,
    bytesInFlightMilliseconds: 2_000,
};

/** A cell with one engine and several processes that share a table service, a configuration and a clock. */
export interface OrderWorld extends SharedWorld {
    /** Marks processes as ended that have been dead for long enough, as the platform's list does. */
    proveDeaths(): void;
    /** Adds a process and starts it. */
    addProcess(name: string, incarnation?: string): WorldProcess;
    /** Accepts a configuration in which the hold is set or removed. */
    setHold(hold: Hold, isStanding: boolean): Promise<void>;
    acceptedConfiguration(): ConfigurationVersion;
    orders(): EngineOrders;
    request(): OrderRequest | undefined;
    /** Called after each committed transaction. */
    onCommit(listener: (transaction: Transaction) => void): void;
    /** Advances the clock until the condition holds; returns false if the limit is reached first. */
    advanceUntil(condition: () => boolean, limitMilliseconds: number): Promise<boolean>;
    stop(): Promise<void>;
}

/** Creates a cell. */
export function createOrderWorld(options: OrderWorldOptions): OrderWorld {
    const clock = new FakeClock();
    const peers = createFakePeerNetworks(clock);
    const rows = new Map<string, JsonValue>();
    const listeners: ((transaction: Transaction) => void)[] = [];
    const table = createWatchedTable(rows, transaction => listeners.forEach(listener => listener(transaction)));
    const ended = new Set<string>();
    const processes: WorldProcess[] = [];
    const versions: { version: ConfigurationVersion; acceptedAt: number; }[] = [];

    const engine = createOrderedEngine({
        engineId: "engine-1",
        clock,
        checksFencingNumbers: options.checksFencingNumbers,
        changeMilliseconds: 3_000,
        isRecordedAsSent: orderId => {
            const { last, doubtful } = orders();
            return last?.order.orderId === orderId && isOrderOpen(last) || doubtful?.order.orderId === orderId;
        },
    });
    const target: Target = {
        ...createTarget("nyamata", engine.engineId),
        allowedRoles: undefined,
        checksFencingNumbers: options.checksFencingNumbers,
    };
    versions.push({ version: createConfigurationVersion(0, [target]), acceptedAt: -Infinity });

    const orders = (): EngineOrders => {
        const value = rows.get(engineOrdersKey(testCell, engine.engineId));
        return value === undefined ? { engineId: engine.engineId } : parseEngineOrders(value);
    };
    const request = () => {
        const value = rows.get(orderRequestKey(testCell, engine.engineId));
        return value === undefined ? undefined : parseOrderRequest(value);
    };
    const diedAt = new Map<WorldProcess, number>();
    const proveDeaths = () => {
        for (const process of processes.filter(one => one.host.isDead())) {
            const since = diedAt.get(process) ?? clock.monotonicNow();
            diedAt.set(process, since);
            if (clock.monotonicNow() - since >= proofMilliseconds) {
                ended.add(process.identity.incarnation);
            }
        }
    };

    const accepted = () => versions.at(-1)!.version;

    const setHold = async (hold: Hold, isStanding: boolean) => {
        const others = accepted().items.filter(item => !isSame(item, hold));
        const generation = accepted().generation + 1;
        const items = isStanding ? [...others, hold] : others;
        versions.push({ version: createConfigurationVersion(generation, items), acceptedAt: clock.monotonicNow() });
        const writes = [{ key: headKey, value: { generation } }];
        await table.transact({ writeId: `head-${generation}`, conditions: [], writes }, Infinity);
    };

    const configurationAt = (processName: string) => {
        const lag = options.configurationLag?.(processName) ?? 0;
        return versions.findLast(one => one.acceptedAt + lag <= clock.monotonicNow())!.version;
    };

    const world: OrderWorld = {
        clock,
        engine,
        processes,
        table,
        ended,
        peers,
        options,
        settings: { ...testSettings, ...options.settings },
        proveDeaths,
        addProcess: (name, incarnation) => {
            const identity = createFakeIdentity(name, incarnation);
            const random = createSeededRandom((options.seed ?? 1) + processes.length);
            const process = createWorldProcess(world, identity, random, new MemoryEventLog());
            processes.push(process);
            return process;
        },
        setHold,
        configurationAt,
        acceptedConfiguration: accepted,
        orders,
        request,
        onCommit: listener => listeners.push(listener),
        advanceUntil: async (condition, limitMilliseconds) => {
            const limit = clock.monotonicNow() + limitMilliseconds;
            while (!condition() && clock.monotonicNow() < limit) {
                await clock.advance(250);
            }
            return condition();
        },
        stop: async () => {
            processes.forEach(process => process.host.kill());
            await clock.advance(0);
        },
    };
    for (let index = 1; index <= (options.processCount ?? 2); index++) {
        world.addProcess(`p${index}`);
    }
    return world;
}

function isSame(item: ConfigurationItem, other: ConfigurationItem): boolean {
    return item.kind === other.kind && item.partner === other.partner && item.name === other.name;
}

/** Creates a table service whose rows and commits the test can observe. */
function createWatchedTable(rows: Map<string, JsonValue>, onCommit: (transaction: Transaction) => void): TableService {
    const inner = createMemoryTableService();

    class WatchedTable extends TableService {
        override async transact(transaction: Transaction, deadline: number) {
            const answer = await inner.transact(transaction, deadline);
            if (answer.version !== undefined) {
                transaction.writes.forEach(({ key, value }) =>
                    value === undefined ? rows.delete(key) : rows.set(key, structuredClone(value))
                );
                onCommit(transaction);
            }
            return answer;
        }

        override read(keys: readonly string[], deadline: number) {
            return inner.read(keys, deadline);
        }

        override list(prefix: string, limit: number, afterKey: string | undefined, deadline: number) {
            return inner.list(prefix, limit, afterKey, deadline);
        }
    }
    return new WatchedTable();
}
